/// \file
/// The cluster as the fleet settings describe it. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

/// Settings that are consistent in themselves (read by planner/desired_state_files.hpp).
struct DesiredState {
    struct Node {
        ShardId shard;
        ZoneId zone;
        bool draining = false;
        std::string address; ///< set only for a node that does not register
        int line = 0;        ///< in the file, for faults
    };

    struct Volume {
        control::Volume volume; ///< without its plan id, which is looked up by `plan`
        std::string plan;
        int line = 0; ///< in the file, for faults
    };

    std::uint64_t version = 0; ///< 0 if no settings were read yet
    std::map<NodeId, Node> nodes;
    std::map<std::string, control::Plan> plans;
    std::map<VolumeId, Volume> volumes;
};

/// Why settings are rejected.
struct DesiredStateFault {
    int line = 0; ///< in the file; 0 if it concerns no particular line
    std::string text;
};

} // namespace knotvane::planner
