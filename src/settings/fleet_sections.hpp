/// \file
/// The sections that an edge's settings and the fleet file have in common: plans and volumes.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "common/ids.hpp"
#include "settings/ini.hpp"

namespace knotvane::settings {

/// Reads the plans and calls `on_plan` for each, in the order of the file. `usual`, `reserve` and
/// `rate` are in units per second; `rate` and `burst` are the plan's limit. Errors are added to the
/// file.
void read_plans(
    File &file,
    const std::function<void(const std::string &name, double weight, double usual, double reserve,
                             double price, double rate, double burst)> &on_plan);
/// Reads the volumes and calls `on_volume` for each. A volume without an id gets the hash of its
/// name as its id. Its plan must be one of `plans`. `size` and `alignment` are in bytes. Errors are
/// added to the file.
void read_volumes(File &file, const std::map<std::string, PlanId> &plans,
                  const std::function<void(VolumeId id, const std::string &name, std::uint64_t size,
                                           std::uint32_t alignment, const std::string &plan,
                                           int line)> &on_volume);

} // namespace knotvane::settings
