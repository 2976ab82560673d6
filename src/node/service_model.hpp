/// \file
/// How a modelled storage node performs. With the defaults nothing is modelled: every request is
/// executed as soon as it comes.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace knotvane::node {

/// How fast requests are executed, and how many at once.
struct ServiceModel {
    /// Time that a work unit takes on a warm node, on a core that it does not share. 0: execution
    /// takes no time, and the other fields have no effect.
    Time unit_time = 0;
    /// Requests that run at full speed side by side; more than these share the cores.
    std::uint32_t cores = 1;
    /// Requests in execution at most.
    std::uint32_t slots = 1;
    /// Requests that wait for a slot at most; one more is rejected.
    std::uint32_t queue_capacity = 0;
};

/// How a node warms up after its start, and the overload at which it crashes before it is warm.
struct SlowStartModel {
    /// Share of its full capacity at the start, 0 to 1; it grows evenly over `duration`.
    double initial_capacity = 1;
    /// 0: warm from the start.
    Time duration = 0;
    /// Requests of the last so much time are counted for the overload.
    Time overload_window = 0;
    /// Crashes if it gets more than so many times what it can do in the window. 0: never.
    double overload_factor = 0;
};

/// Pauses in which no request is started, as of a garbage collection.
struct PauseModel {
    Time interval = 0; ///< From half to one and a half of it lies between two pauses. 0: none.
    Time length = 0;   ///< Of one pause.
};

/// Work of writes that is done later and all at once, as a compaction.
struct DeferredWorkModel {
    double part = 0;   ///< Share of a write's units that is deferred, 0 to 1.
    Time interval = 0; ///< Between two times at which it is done. 0: never.
};

} // namespace knotvane::node
