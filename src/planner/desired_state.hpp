/// \file
/// What the settings file wants the cluster to be. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

/// The settings, checked in themselves (planner/desired_state_files.hpp).
struct DesiredState {
    struct Node {
        ShardId shard;
        ZoneId zone;
        bool draining = false;
        std::string address; ///< of a node that does not register; else empty
        int line = 0;        ///< in the file, for faults
    };

    struct Volume {
        control::Volume volume; ///< its plan id is found by `plan`
        std::string plan;
        int line = 0; ///< in the file, for faults
    };

    std::uint64_t version = 0; ///< 0: none were read yet
    std::map<NodeId, Node> nodes;
    std::map<std::string, control::Plan> plans;
    std::map<VolumeId, Volume> volumes;
};

/// Why settings are refused.
struct DesiredStateFault {
    int line = 0; ///< in the file; 0: none in particular
    std::string text;
};

} // namespace knotvane::planner
