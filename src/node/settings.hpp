/// \file
/// Settings of the storage node program.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "node/service_model.hpp"
#include "settings/ini.hpp"

namespace knotvane::node {

/// The contents of a node's settings file.
struct Settings {
    NodeId id{};
    ShardId shard{};
    ZoneId zone{};
    std::string listen_address;
    std::string store_path;
    bool sync = true; ///< Whether a flush syncs the store's file to the medium.
    std::uint64_t random_seed = 1;
    /// Time since the assumed start of the node. If it exceeds the duration of the slow start, the
    /// node is warm at once.
    Time age = 0;
    std::string planner_address; ///< Empty: the node runs without a planner.
    ServiceModel service;
    SlowStartModel slow_start;
    PauseModel pauses;
    DeferredWorkModel deferred_work;
};

/// Reads a node's settings. Errors are collected in `file` (File::faults).
Settings read_settings(settings::File &file);

/// Checks a node's settings. Errors are collected in `file` (File::faults).
void check(settings::File &file);

} // namespace knotvane::node
