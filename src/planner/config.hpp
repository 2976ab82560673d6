/// \file
/// The planner's times.
#pragma once

#include "common/time.hpp"

namespace knotvane::planner {

/// All times in nanoseconds. The defaults are those of the settings file.
struct PlannerConfig {
    /// How long an edge may use its quota shares after a renewal, by its own clock. Longer
    /// survives longer outages of the planner; shorter frees the shares of a lost edge sooner.
    Time lease = 6 * sec;
    /// How much longer the planner counts a lease, for clocks that run at different rates. At least
    /// a twentieth of `lease`.
    Time lease_margin = 500 * ms;
    /// How long after its lease an edge keeps a quarter of its shares.
    Time fade = 600 * sec;
    /// Without a renewal for so long a node counts as silent.
    Time node_silence = 2 * sec;
    /// For so long a node must be silent and out of reach before it is removed. Longer tolerates
    /// longer losses; shorter moves work away sooner.
    Time node_removal_delay = sec;
    /// For so long a removed node must be heard before it returns, times how often it was removed
    /// of late. Longer guards better against flapping.
    Time node_return_delay = sec;
    /// For so long every edge must have known of a node's drain before settings may leave it out.
    Time drain_time = 5 * sec;
};

} // namespace knotvane::planner
