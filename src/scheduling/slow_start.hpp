/// \file
/// Limits what a scheduler sends to a node that just started.
#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// The inputs of slow_start_admits. All figures but `draw` are in units.
struct SlowStartAdmission {
    /// Sent to the node by this scheduler in the window.
    double sent_units = 0;
    /// Of the request.
    double request_units = 0;
    /// This scheduler's share of what the node can serve in the window.
    double share = 0;
    /// Of the largest request.
    double largest_request_units = 1;
    /// Requested of this scheduler for the node per window, averaged over a longer time.
    double requested_units = 0;
    /// A random number from 0 to 1 that belongs to the request.
    double draw = 0;
};

/// Whether a node in slow start gets one more request within this scheduler's share. Without
/// shares, each scheduler would send as much as the node can serve alone, and together they would
/// overload it until it fails.
///
/// A share that holds the largest request is a strict limit. A smaller one can't be: it would
/// either leave the node idle or be exceeded by a single request. There, requests are admitted at
/// random, at most one per window, with the probability at which the mean of what is sent is the
/// share.
bool slow_start_admits(const SlowStartAdmission &admission);

/// What one scheduler knows about the slow start of one node.
struct NodeSlowStart {
    /// The node has its full capacity from this time on.
    Time ends_at = 0;
    /// Units sent to the node.
    WindowedSum sent_units;
    /// Units that were requested of this scheduler for the node.
    WindowedSum requested_units;

    bool active(Time now) const { return now < ends_at; }
};

/// Computes this scheduler's share of what nodes in slow start can serve (docs/design.md).
///
/// By the settings, a node can serve `units` per window right after its start. The share grows with
/// the node's age, for a capacity that rises linearly from the initial part to the whole; a node's
/// actual capacity may rise faster. All schedulers together may send it at most
/// N + 2 sqrt(N) + 2 requests of mean size in a window, where N is its capacity in such requests.
/// Shares that are strict limits add up to N plus half of that margin; the other half is left for
/// requests that cost more than their units. Random admission keeps only the mean, and its
/// deviation needs the whole margin.
class SlowStart {
public:
    /// @param config with defaults filled in.
    void configure(const SchedulerConfig &config) { config_ = config; }

    /// This scheduler starts.
    void start(Time now) { started_at_ = now; }

    /// The node's process started at `started_at`.
    void node_started(NodeSlowStart &node, Time started_at) const;

    /// A request was enqueued at the node for its first attempt.
    static void request_enqueued(NodeSlowStart &node, Time now, double units);

    void attempt_started(NodeSlowStart &node, Time now, double units) const;

    /// Decides whether a node that is in slow start or unresponsive gets a request.
    /// @param unresponsive the node doesn't respond. As it may restart at any time, it gets no more
    ///     than a node that just started.
    /// @param units of the request.
    /// @param draw a random number from 0 to 1 that belongs to the request.
    bool admits(NodeSlowStart &node, Time now, bool unresponsive, double units, double draw) const;

    /// @return how long after its last event the state of a node's slow start may matter.
    Time retention() const { return config_.slow_start.duration + window(); }

private:
    Time window() const;
    double share(const NodeSlowStart &node, Time now, bool unresponsive) const;

    SchedulerConfig config_;
    Time started_at_ = 0;
};

} // namespace knotvane::scheduling
