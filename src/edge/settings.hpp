/// \file
/// An edge's settings: read from its file and checked against each other.
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
    /// Of the scheduler's random choices.
    std::uint64_t seed = 0;
};

struct PlannerSettings {
    /// Address; empty without a planner.
    std::string address;
    /// Path where the last plan is kept; empty for nowhere.
    std::string plan_file;
    /// How often the lease is renewed.
    Time renew_every = 0;
    /// How old a plan from the file may be.
    Time max_cache_age = 0;
};

struct LayoutSettings {
    std::uint64_t extent_bytes = 0;
    std::uint64_t span_bytes = 0;
    std::uint64_t bytes_per_unit = 0;
    std::vector<ShardId> shards;
};

/// What the core and its scheduler are configured with.
struct ServiceSettings {
    SchedulerConfig scheduler;
    std::vector<std::pair<PlanId, PlanConfig>> plans;
    std::vector<std::pair<VolumeId, VolumeConfig>> volumes;
    std::vector<std::pair<WorkloadConfig, WorkloadRule>> workloads;
    double copy_on_write_units = 0;
    NodeConnectionConfig node_connections;
    AdmissionLimits admission;
};

// Each reads its sections and adds faults to the file. Call all of them, then look at the file's
// faults; only without any are the results to be used.

IdentitySettings read_identity(settings::File &file);
PlannerSettings read_planner(settings::File &file);
LayoutSettings read_layout(settings::File &file);
ServiceSettings read_service(settings::File &file);

/// All of them, for their faults alone.
void check(settings::File &file);

/// Sets a core up that has not started.
void apply(const ServiceSettings &settings, Core &core);

} // namespace knotvane::edge
