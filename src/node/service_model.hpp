/// \file
/// Parameters of a storage node's simulated performance. With the defaults nothing is simulated:
/// every request is executed on arrival.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace knotvane::node {

/// Execution speed of requests, and the limits on how many execute and wait.
struct ServiceModel {
    /// Execution time of one work unit on a warm node, on a core that is not shared. 0: execution
    /// takes no time, and the other fields have no effect.
    Time unit_time = 0;
    /// Number of requests that execute in parallel at full speed; if there are more, they share the
    /// cores.
    std::uint32_t cores = 1;
    /// Maximum number of requests in execution.
    std::uint32_t slots = 1;
    /// Maximum number of requests waiting for a slot; further ones are rejected.
    std::uint32_t queue_capacity = 0;
};

/// How a node's capacity grows after its start, and the overload at which it crashes meanwhile.
struct SlowStartModel {
    /// Share of the full capacity at the start, 0 to 1; grows linearly to 1 over `duration`.
    double initial_capacity = 1;
    /// Time until the node is warm. 0: it is warm from the start.
    Time duration = 0;
    /// Length of the window in which arriving work is counted to detect overload.
    Time overload_window = 0;
    /// The node crashes if more work arrives in the window than this factor times the work it can
    /// do in it. 0: it never crashes.
    double overload_factor = 0;
};

/// Pauses in which no request is started, as in a garbage collection.
struct PauseModel {
    Time interval = 0; ///< Mean time between the starts of two pauses; varies from half
                       ///< to one and a half of it. 0: no pauses.
    Time length = 0;   ///< Duration of one pause.
};

/// Part of the work of writes that is deferred and done in one go, as in a compaction.
struct DeferredWorkModel {
    double fraction = 0; ///< Share of a write's units that is deferred, 0 to 1.
    Time interval = 0;   ///< Time between two runs of deferred work. 0: it is never done.
};

} // namespace knotvane::node
