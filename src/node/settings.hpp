/// \file
/// A storage node program's settings.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "node/service_model.hpp"
#include "settings/ini.hpp"

namespace knotvane::node {

/// All that a settings file tells a node.
struct Settings {
    NodeId id{};
    ShardId shard{};
    ZoneId zone{};
    std::string listen_address;
    std::string store_path;
    bool sync = true; ///< Whether a flush makes the store's file durable.
    std::uint64_t random_seed = 1;
    /// How long ago the node is taken to have started: one that is older than its slow start is
    /// warm.
    Time age = 0;
    std::string planner_address; ///< Empty: it works without a planner.
    ServiceModel service;
    SlowStartModel slow_start;
    PauseModel pauses;
    DeferredWorkModel deferred_work;
};

/// Reads a node's settings. What is wrong with them is noted in the file (File::faults).
Settings read_settings(settings::File &file);

/// Reads a node's settings only to find what is wrong with them.
void check(settings::File &file);

} // namespace knotvane::node
