/// \file
/// A node as one scheduler sees it.
#pragma once

#include <cstdint>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"
#include "scheduling/concurrency_window.hpp"
#include "scheduling/fair_queue.hpp"
#include "scheduling/latency_estimate.hpp"
#include "scheduling/node_health.hpp"
#include "scheduling/overload_hold.hpp"
#include "scheduling/request.hpp"
#include "scheduling/slow_start.hpp"
#include "scheduling/waiting_index.hpp"

namespace knotvane::scheduling {

/// Sums of units that are added and taken off again end near 0, not at it: below this nothing is
/// there.
inline constexpr double negligible_units = 1e-9;

struct NodeRecord {
    /// @param scheduler_count the number of schedulers that share the node.
    /// @param largest_request in units.
    NodeRecord(NodeId id, std::uint32_t scheduler_count, double largest_request)
        : queue(largest_request), window(scheduler_count) {
        location.node = id;
    }

    bool nothing_waits() const { return units_waiting < negligible_units; }

    // By the endpoint list.
    NodeLocation location;
    NodeState state = NodeState::removed;
    Time started_at = 0;
    /// The list that is being read names it.
    bool in_current_list = false;

    // What waits, and what bounds what is in flight.
    FairQueue queue;
    WaitingIndex waiting_index;
    ConcurrencyWindow window;
    OverloadBackoff overload_backoff;
    double units_waiting = 0;
    double units_in_flight = 0;

    // What attempts showed.
    NodeHealth health;
    LatencyEstimate latency;
    NodeSlowStart slow_start;
};

} // namespace knotvane::scheduling
