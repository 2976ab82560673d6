/// \file
/// The planner's timing configuration.
#pragma once

#include "common/time.hpp"

namespace knotvane::planner {

/// All times in nanoseconds. The defaults are those of the settings file.
struct PlannerConfig {
    /// How long an edge may use its quota shares after a renewal, by its own clock. Longer
    /// survives longer outages of the planner; shorter frees the shares of a lost edge sooner.
    Time lease = 6 * sec;
    /// How much longer than `lease` the planner treats a lease as held, because clocks run at
    /// different rates. At least a twentieth of `lease`.
    Time lease_margin = 500 * ms;
    /// How long after the end of its lease an edge keeps a quarter of its shares.
    Time fade = 600 * sec;
    /// A node that has not renewed its registration for this long is silent.
    Time node_silence = 2 * sec;
    /// How long a node must be silent and unreachable before it is removed. Longer tolerates longer
    /// connection losses; shorter moves work to other nodes sooner.
    Time node_removal_delay = sec;
    /// How long a removed node must renew without a gap before it returns, multiplied by the number
    /// of its recent removals. Longer guards better against flapping.
    Time node_return_delay = sec;
    /// How long a node must have been draining, and known as draining to every edge, before the
    /// settings may omit it.
    Time drain_time = 5 * sec;
};

} // namespace knotvane::planner
