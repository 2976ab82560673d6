/// \file
/// Reads the planner's own settings file and the fleet file, and writes the latter.
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
    /// Added to the instance of each start; any number.
    std::uint64_t seed = 1;
    PlannerConfig config;
};

/// Adds faults to `file`; if there is any, the result must not be used.
PlannerSettings read_planner_settings(settings::File &file);

/// Reads the cluster's nodes, plans and volumes. A file that is truncated, has wrong counts or
/// contradicts itself has faults.
/// \param name    the file's name in fault messages
/// \param faults  one line is added for each fault; if there is any, the result must not be used
DesiredState read_fleet(const std::string &name, const std::string &text,
                        std::vector<std::string> &faults);

/// Returns the settings as text in the format of read_fleet.
std::string write_fleet(const DesiredState &desired);

} // namespace knotvane::planner
