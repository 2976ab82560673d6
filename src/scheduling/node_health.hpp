/// \file
/// Whether a node still answers: attempts in flight, overdue and abandoned ones, silence, trial
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

/// An attempt that its node hasn't answered.
struct AttemptInFlight {
    Time started_at = 0;
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const AttemptInFlight &) const = default;
};

/// This scheduler among those that share a node's trial attempts.
struct TrialRotation {
    /// The scheduler's number, from 0.
    SchedulerId scheduler;
    std::uint32_t scheduler_count = 1;
};

/// What one scheduler's attempts show of one node.
///
/// An attempt is overdue past the node's response timeout, or when it was overtaken (a later one
/// was answered) and is older than three times the median duration: it may be lost while the node
/// lives. A node is unresponsive where two attempts are overdue or were abandoned and nothing was
/// heard for its response timeout, or where two in a row couldn't reach it. Then it gets single
/// trial attempts only, so that a node which hangs isn't filled with work that is too late. The
/// price: attempts of costly requests are overtaken too, and a long pause of a node costs.
class NodeHealth {
public:
    /// @return whether any attempt is in flight.
    bool any_in_flight() const { return !in_flight_.empty(); }

    /// @return the number of attempts in flight that aren't overdue.
    std::size_t in_flight_not_overdue() const { return in_flight_.size() - overdue_; }

    /// Places of the concurrency window that are taken: attempts in flight but the overdue, and
    /// abandoned attempts, whose work may still be there until a later attempt is answered. One
    /// attempt may always go, or nothing would show that they ended; one more for a while after an
    /// attempt was lost.
    std::size_t occupied_window_slots(Time now) const;

    bool unresponsive() const { return unresponsive_; }

    Time last_attempt_at() const { return last_attempt_at_; }

    /// @return whether an attempt that started then was overtaken.
    bool overtaken(Time started_at) const { return started_at < last_answered_start_; }

    /// @return whether this scheduler may send an unresponsive node a trial attempt now. Each
    ///     scheduler has a slot of time, by its number.
    bool trial_allowed(Time now, const TrialRotation &rotation) const;

    void attempt_started(const AttemptInFlight &attempt);

    /// Ends an attempt, whatever its outcome; one of the next four calls may follow.
    void attempt_ended(const AttemptInFlight &attempt) { in_flight_.erase(attempt); }

    /// The attempt timed out or was canceled.
    void attempt_abandoned(Time now, Time started_at, Time duration, Time response_timeout);

    /// The node answered or failed an attempt: it lives.
    /// @return whether its process may have restarted: its connections were refused, or it was
    ///     silent for longer than nodes pause. A reset alone is no sign: its cause may lie on the
    ///     way.
    bool node_responded(Time now);

    /// The node answered an attempt that started then: those before it are overtaken, and the work
    /// of abandoned ones before it is over.
    void attempt_answered(Time started_at);

    /// The attempt that started then found no connection.
    void attempt_unreachable(Time started_at);

    /// The endpoint list shows a new process: what was silent before says nothing of it.
    void node_restarted(Time now);

    /// Looks again which attempts are overdue, and whether the node is unresponsive.
    void update(Time now, const LatencyEstimate &latency);

private:
    std::set<AttemptInFlight> in_flight_;
    // When they started.
    std::set<Time> abandoned_;
    // Of those in flight, at the last update.
    std::size_t overdue_ = 0;
    Time last_response_at_ = 0;
    Time last_attempt_at_ = 0;
    // The latest start of an attempt that was answered.
    Time last_answered_start_ = 0;
    // Long before any start of a scheduler.
    Time lost_at_ = -1'000'000 * sec;
    // Attempts that found no connection, with no response between.
    std::uint32_t unreachable_in_row_ = 0;
    bool unresponsive_ = false;
    bool connections_refused_ = false;
};

} // namespace knotvane::scheduling
