// Sections that an edge's settings and the fleet's have in common: plans and volumes.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "common/ids.hpp"
#include "settings/ini.hpp"

namespace knotvane::settings {

// Tells each plan in the file's order: name, weight, usual, reserve (units a second), price, limit
// (rate, burst).
void read_plans(
    File &file,
    const std::function<void(const std::string &name, double weight, double usual, double reserve,
                             double price, double rate, double burst)> &tell);
// Tells each volume: its id is that of its name where none is given. Its plan must be one of
// `plans`.
void read_volumes(
    File &file, const std::map<std::string, PlanId> &plans,
    const std::function<void(VolumeId id, const std::string &name, std::uint64_t size,
                             std::uint32_t least, const std::string &plan, int line)> &tell);

} // namespace knotvane::settings
