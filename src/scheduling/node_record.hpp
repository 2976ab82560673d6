/// \file
/// The state that one scheduler keeps for one node.
#pragma once

#include <cstdint>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"
#include "scheduling/concurrency_window.hpp"
#include "scheduling/fair_queue.hpp"
#include "scheduling/latency_estimate.hpp"
#include "scheduling/node_health.hpp"
#include "scheduling/overload_backoff.hpp"
#include "scheduling/request.hpp"
#include "scheduling/slow_start.hpp"
#include "scheduling/time_limits.hpp"
#include "scheduling/waiting_index.hpp"

namespace knotvane::scheduling {

/// A sum of units below this counts as 0: adding units and subtracting them again leaves a rounding
/// error.
inline constexpr double negligible_units = 1e-9;

/// What one scheduler knows of one node, and what it has queued and in flight there.
struct NodeRecord {
    /// @param scheduler_count the number of schedulers that share the node.
    /// @param largest_request the units of the largest request.
    NodeRecord(NodeId id, std::uint32_t scheduler_count, double largest_request)
        : queue(largest_request), window(scheduler_count) {
        location.node = id;
    }

    /// @return whether no request waits in the node's queue.
    bool nothing_waits() const { return units_waiting < negligible_units; }

    /// @return whether a request waits in the node's queue or an attempt is in flight.
    bool in_use() const {
        return !waiting_index.empty() || !nothing_waits() || health.any_in_flight();
    }

    // From the endpoint list.
    NodeLocation location;
    NodeState state = NodeState::removed;
    /// When the node's process started.
    Time started_at = 0;
    /// When the list showed that the node is removed; `never` if it isn't.
    Time removed_at = never;
    /// The endpoint list that is being applied names the node.
    bool in_current_list = false;

    // Requests that wait for the node, and the limits on attempts in flight.
    FairQueue queue;
    WaitingIndex waiting_index;
    ConcurrencyWindow window;
    OverloadBackoff overload_backoff;
    double units_waiting = 0;
    double units_in_flight = 0;

    // What the outcomes of attempts showed.
    NodeHealth health;
    LatencyEstimate latency;
    NodeSlowStart slow_start;
};

} // namespace knotvane::scheduling
