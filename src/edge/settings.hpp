// An edge's settings: read, checked against each other, and told part by part. Nothing is kept
// here.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "edge/core.hpp"
#include "settings/ini.hpp"

namespace knotvane::edge {

// Each reads its sections, adds faults to the file, and tells what it read. Call all of them, then
// look at the file's faults, and only without any use what was told.
void read_identity(
    settings::File &file,
    const std::function<void(std::uint64_t id, std::uint32_t edges, std::uint32_t zone,
                             std::string listen, std::string nodes, std::uint64_t seed)> &tell);
// Without a planner its address is empty. `plan_file`: where the last plan is kept, empty for
// nowhere.
void read_planner(settings::File &file,
                  const std::function<void(std::string planner, std::string plan_file,
                                           Time renew_every, Time trust)> &tell);
void read_layout(settings::File &file,
                 const std::function<void(std::uint64_t extent, std::uint64_t span,
                                          std::uint64_t unit, std::vector<ShardId> shards)> &tell);
// With an edge: all that it and its decisions are to be told, in order, but for ready.
void read_service(settings::File &file, Core *core);
// All of them, for their faults alone.
void check(settings::File &file);

} // namespace knotvane::edge
