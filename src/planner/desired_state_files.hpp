// The planner's settings: its own, and the fleet's, which is watched and taken whole or not at all.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "planner/core.hpp"
#include "settings/ini.hpp"

namespace knotvane::planner {

// The planner's own: where it listens, its store, the fleet's file, and its times.
void read_own(settings::File &file,
              const std::function<void(std::string listen, std::string store, std::string fleet,
                                       std::uint64_t seed)> &where,
              const std::function<void(Time lease, Time margin, Time fade, Time silent_for,
                                       Time out_after, Time back_after, Time drain_time)> &times);

// The fleet's nodes, plans and volumes. A file that is cut short, counts wrong or contradicts
// itself adds faults and must not be used; `name` is what faults call it.
DesiredState read_fleet(const std::string &name, const std::string &text,
                        std::vector<std::string> &faults);
// The text that read_fleet reads.
std::string write_fleet(const DesiredState &desired);

} // namespace knotvane::planner
