// An operator's visit to a planner: one question over a connection of its own, waited for.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::planner {

// The planner's and its edges' state as JSON. Throws std::runtime_error where no answer comes
// within `wait`.
std::string ask_status(const std::string &address, Time wait);
// A drain, or its end: `how` 0 asks what it would do, 1 does it, 2 does it even where nothing else
// serves the node's shard. Gives the effect as text, whether it may be done (without force), and
// whether it was. Of snapshots: 0 take (volume, name), 1 drop (name), 2 clone (snapshot, name, plan
// or nothing), 3 compare (two names). Gives the answer as text, whether it may be done, and whether
// it was.
std::string ask_cut(const std::string &address, std::uint8_t what, const std::string &name,
                    const std::string &as, const std::string &plan, bool &allowed, bool &done,
                    Time wait);
std::string ask_drain(const std::string &address, NodeId node, bool draining, std::uint8_t how,
                      bool &allowed, bool &done, Time wait);

} // namespace knotvane::planner
