/// \file
/// Tracks whether a node responds: attempts in flight, overdue and abandoned attempts, trial
/// attempts and restarts.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/latency_estimate.hpp"

namespace knotvane::scheduling {

/// An attempt that its node hasn't answered yet.
struct AttemptInFlight {
    Time started_at = 0;
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const AttemptInFlight &) const = default;
};

/// A scheduler's turn among those that send trial attempts to the same node.
struct TrialRotation {
    SchedulerId scheduler;
    /// The number of schedulers that share the node.
    std::uint32_t scheduler_count = 1;
};

/// The health of one node, as far as one scheduler's attempts show it.
///
/// An attempt is overdue when it is older than the node's response timeout. It is also overdue when
/// it was overtaken (the node answered an attempt that started later) and is older than three times
/// the median duration: it may be lost while the node works. A node is unresponsive when at least
/// two attempts are overdue or were abandoned and the scheduler received nothing from it for its
/// response timeout, or when two attempts in a row couldn't reach it. An unresponsive node gets
/// single trial attempts only, so that a node that hangs isn't filled with work that will be too
/// late. The drawbacks: attempts of costly requests are overtaken as well, and a node that only
/// paused for long gets nothing but trial attempts at first.
class NodeHealth {
public:
    /// @return whether any attempt is in flight.
    bool any_in_flight() const { return !in_flight_.empty(); }

    /// @return the number of attempts in flight that weren't overdue at the last update.
    std::size_t in_flight_not_overdue() const { return in_flight_.size() - overdue_; }

    /// @return how many attempts to count against the concurrency window: those in flight that
    ///     aren't overdue, and the abandoned ones, which the node may still work on until it
    ///     answers a later attempt. With nothing in flight it is 0, so that one attempt may start:
    ///     otherwise nothing would show that the abandoned work has ended. For a while after an
    ///     attempt was lost, it is one less.
    std::size_t occupied_window_slots(Time now) const;

    /// @return whether the node gets trial attempts only.
    bool unresponsive() const { return unresponsive_; }

    /// @return when the last attempt started; 0 before the first one.
    Time last_attempt_at() const { return last_attempt_at_; }

    /// @return whether the node answered an attempt that started after `started_at`.
    bool overtaken(Time started_at) const { return started_at < last_answered_start_; }

    /// @return whether this scheduler may now send a trial attempt to the node if it is
    ///     unresponsive. The schedulers take turns, each in its own time slot.
    bool trial_allowed(Time now, const TrialRotation &rotation) const;

    void attempt_started(const AttemptInFlight &attempt);

    /// An attempt ended, with any outcome. The call that reports its outcome may follow:
    /// attempt_abandoned, node_responded, attempt_answered or attempt_unreachable.
    void attempt_ended(const AttemptInFlight &attempt) { in_flight_.erase(attempt); }

    /// An attempt timed out or was canceled; the node may still work on it.
    void attempt_abandoned(Time now, Time started_at, Time duration, Time response_timeout);

    /// The node answered an attempt or failed it, so it is alive.
    /// @return whether its process may have restarted: before this response its connections were
    ///     refused, or it was silent for longer than a mere pause lasts. A connection that was
    ///     reset is no evidence, as the network may have caused it.
    bool node_responded(Time now);

    /// The node answered the attempt that started at `started_at`: attempts that started earlier
    /// are overtaken, and work on earlier abandoned ones has ended.
    void attempt_answered(Time started_at);

    /// The attempt that started at `started_at` couldn't connect to the node.
    void attempt_unreachable(Time started_at);

    /// The endpoint list shows that the node has a new process: earlier silence doesn't count
    /// against it.
    void node_restarted(Time now);

    /// Recomputes which attempts are overdue, and whether the node is unresponsive.
    void update(Time now, const LatencyEstimate &latency);

private:
    std::set<AttemptInFlight> in_flight_;
    // The start times of abandoned attempts that the node may still work on.
    std::set<Time> abandoned_;
    // The number of attempts in flight that were overdue at the last update.
    std::size_t overdue_ = 0;
    // The last response, or a later time from which on silence is counted.
    Time last_response_at_ = 0;
    Time last_attempt_at_ = 0;
    // The latest start of an attempt that was answered.
    Time last_answered_start_ = 0;
    // When an attempt was last found to be lost; initially long before any time that occurs.
    Time lost_at_ = -1'000'000 * sec;
    // Consecutive attempts that couldn't connect, since the last response.
    std::uint32_t unreachable_in_row_ = 0;
    bool unresponsive_ = false;
    bool connections_refused_ = false;
};

} // namespace knotvane::scheduling
