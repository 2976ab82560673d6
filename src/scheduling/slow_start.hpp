/// \file
/// What a node that just started gets: this scheduler's share of what the node bears then.
#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// What a request is admitted by, in units.
struct SlowStartLoad {
    /// Sent to the node in the window.
    double sent = 0;
    /// Of the request.
    double units = 0;
    /// This scheduler's share of what the node bears in the window.
    double share = 0;
    /// Of the largest request.
    double largest_request = 1;
    /// Requested of this scheduler for the node in a window, in the mean of a longer time.
    double requested = 0;
    /// The request's lot, 0 to 1.
    double lot = 0;
};

/// Whether a node in slow start bears one more request within this scheduler's share. Guards
/// against schedulers that each send what the node bears alone, and fall it together.
///
/// A share that holds the largest request is kept exactly. A smaller one would leave the node idle
/// or let any one request pass it: there requests are admitted by lot, one a window, with the
/// chance at which the share is met in the mean.
bool slow_start_admits(const SlowStartLoad &load);

/// What one scheduler knows of one node's slow start.
struct NodeSlowStart {
    /// The node has its full capacity from then on.
    Time until = 0;
    /// Units sent to the node.
    WindowedSum sent;
    /// Units requested of this scheduler for the node.
    WindowedSum requested;

    bool active(Time now) const { return now < until; }
};

/// The share of slow starts, by the settings (docs/design.md).
///
/// A node bears the configured units at its start and more with its age, as its capacity grows from
/// the initial part of the whole evenly or faster. The bound on the sum of all schedulers is
/// N + 2 root N + 2 requests of mean size in a window, N being what the node bears by the settings.
/// Shares kept exactly deal out half of that margin; the other half is left to what requests cost
/// beyond their units. By lot only the mean is kept, and chance takes the margin.
class SlowStart {
public:
    /// @param config with defaults filled in.
    void configure(const SchedulerConfig &config) { config_ = config; }

    /// The scheduler starts.
    void start(Time now) { started_at_ = now; }

    /// The node's process started then.
    void node_started(NodeSlowStart &node, Time started_at) const;

    /// The request that is enqueued at the node for its first attempt.
    static void request_enqueued(NodeSlowStart &node, Time now, double units);

    void attempt_started(NodeSlowStart &node, Time now, double units) const;

    /// @param unresponsive the node doesn't answer: it may start at any moment, so that it bears no
    ///     more than at its start.
    /// @param lot of the request, 0 to 1.
    /// @return whether a node that is in slow start or unresponsive bears the request.
    bool admits(NodeSlowStart &node, Time now, bool unresponsive, double units, double lot) const;

private:
    Time window() const;
    double share(const NodeSlowStart &node, Time now, bool unresponsive) const;

    SchedulerConfig config_;
    Time started_at_ = 0;
};

} // namespace knotvane::scheduling
