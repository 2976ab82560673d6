/// \file
/// Reads an edge's settings from its file and validates them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/config.hpp"
#include "edge/core.hpp"
#include "scheduling/config.hpp"
#include "settings/ini.hpp"

namespace knotvane::edge {

struct IdentitySettings {
    std::uint64_t edge_id = 0;
    /// Address that NBD clients connect to.
    std::string listen;
    /// Path of the endpoint list; empty with a planner.
    std::string endpoint_file;
    /// Seed of the scheduler's random choices.
    std::uint64_t seed = 0;
};

struct PlannerSettings {
    /// The planner's address; empty without a planner.
    std::string address;
    /// Path of the file in which the last cluster state is kept; empty to keep none.
    std::string plan_file;
    /// Interval between two renewals of the lease.
    Time renew_every = 0;
    /// Maximum age of a cluster state from the file.
    Time max_cache_age = 0;
};

struct LayoutSettings {
    std::uint64_t extent_bytes = 0;
    std::uint64_t span_bytes = 0;
    std::uint64_t bytes_per_unit = 0;
    std::vector<ShardId> shards;
};

/// Settings of the core and its scheduler.
struct ServiceSettings {
    SchedulerConfig scheduler;
    std::vector<std::pair<PlanId, PlanConfig>> plans;
    std::vector<std::pair<VolumeId, VolumeConfig>> volumes;
    std::vector<std::pair<WorkloadConfig, WorkloadRule>> workloads;
    double copy_on_write_units = 0;
    NodeConnectionConfig node_connections;
    AdmissionLimits admission;
};

// Each function reads its sections and adds faults to the file. Call all of them and then check the
// file's faults: the results are valid only if there are none.

IdentitySettings read_identity(settings::File &file);
PlannerSettings read_planner(settings::File &file);
LayoutSettings read_layout(settings::File &file);
ServiceSettings read_service(settings::File &file);

/// Calls all of these functions to add their faults to the file.
void check(settings::File &file);

/// Applies the settings to a core that has not been started.
void apply(const ServiceSettings &settings, Core &core);

} // namespace knotvane::edge
