/// \file
/// The planner's settings: its own file, and the cluster's, which is watched and taken whole or not
/// at all.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "planner/config.hpp"
#include "planner/desired_state.hpp"
#include "settings/ini.hpp"

namespace knotvane::planner {

/// The planner's own settings.
struct PlannerSettings {
    std::string listen_address;
    std::string store_path;
    /// The file that read_fleet reads.
    std::string fleet_path;
    /// Mixed into the instance of each start; any number.
    std::uint64_t seed = 1;
    PlannerConfig config;
};

/// Faults are added to `file`; with any, the result must not be used.
PlannerSettings read_planner_settings(settings::File &file);

/// The cluster's nodes, plans and volumes. A file that is cut short, counts wrong or contradicts
/// itself has faults.
/// \param name    what faults call the file
/// \param faults  receives one line for each; with any, the result must not be used
DesiredState read_fleet(const std::string &name, const std::string &text,
                        std::vector<std::string> &faults);

/// The text that read_fleet reads.
std::string write_fleet(const DesiredState &desired);

} // namespace knotvane::planner
