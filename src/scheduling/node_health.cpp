#include "scheduling/node_health.hpp"

#include <algorithm>
#include <iterator>

namespace knotvane::scheduling {
namespace {

// After a lost attempt the window has one more place for as long.
constexpr Time spare_place_duration = 2 * sec;

// Long enough for a trial attempt to be answered before the next scheduler's slot.
constexpr Time trial_slot = 250 * ms;
// All schedulers have their slot within what a client waits.
constexpr Time longest_trial_round = 2 * sec;

// A shorter silence is a pause, not a restart.
constexpr Time shortest_restart = 2 * sec;

// One lost connection is no sign: where the network drops some, most nodes would pass for new.
constexpr std::uint32_t unreachable_limit = 2;

// One silent attempt may be lost alone.
constexpr std::size_t unanswered_limit = 2;

// An overtaken attempt is overdue past this many median durations.
constexpr Time overtaken_limit = 3;

// Abandoned work is taken for done this many response timeouts after its own.
constexpr Time abandoned_limit = 3;

} // namespace

std::size_t NodeHealth::occupied_window_slots(Time now) const {
    std::size_t occupied = in_flight_.size() - overdue_ + abandoned_.size();
    if (in_flight_.empty() || occupied == 0)
        return 0;
    bool spare_place = now < lost_at_ + spare_place_duration;
    return spare_place ? occupied - 1 : occupied;
}

bool NodeHealth::trial_allowed(Time now, const TrialRotation &rotation) const {
    Time slot_duration = std::min<Time>(trial_slot, longest_trial_round / rotation.scheduler_count);
    auto slot = static_cast<std::uint64_t>(now / slot_duration);
    return slot % rotation.scheduler_count == rotation.scheduler.value &&
           now - last_attempt_at_ >= trial_slot;
}

void NodeHealth::attempt_started(const AttemptInFlight &attempt) {
    last_attempt_at_ = attempt.started_at;
    // An idle node has nothing to answer: its silence begins here.
    if (in_flight_.empty())
        last_response_at_ = attempt.started_at;
    in_flight_.insert(attempt);
}

void NodeHealth::attempt_abandoned(Time now, Time started_at, Time duration,
                                   Time response_timeout) {
    if (!overtaken(started_at))
        abandoned_.insert(started_at);
    else if (duration > response_timeout)
        lost_at_ = now;
}

bool NodeHealth::node_responded(Time now) {
    bool may_have_restarted =
        connections_refused_ || (unresponsive_ && now - last_response_at_ > shortest_restart);
    unresponsive_ = false;
    connections_refused_ = false;
    last_response_at_ = now;
    unreachable_in_row_ = 0;
    return may_have_restarted;
}

void NodeHealth::attempt_answered(Time started_at) {
    last_answered_start_ = std::max(last_answered_start_, started_at);
    abandoned_.erase(abandoned_.begin(), abandoned_.lower_bound(last_answered_start_));
}

void NodeHealth::attempt_unreachable(Time started_at) {
    // A connection that never came up while the node answered others was lost on the way.
    if (last_response_at_ > started_at)
        return;
    ++unreachable_in_row_;
    if (unreachable_in_row_ < unreachable_limit)
        return;
    unresponsive_ = true;
    connections_refused_ = true;
}

void NodeHealth::node_restarted(Time now) {
    last_response_at_ = now;
    unresponsive_ = false;
}

void NodeHealth::update(Time now, const LatencyEstimate &latency) {
    Time timeout = latency.response_timeout();
    Time timed_out_before = now - timeout;
    // The median is worked out only where an attempt was overtaken.
    Time overtaken_before = 0;
    if (!in_flight_.empty() && overtaken(in_flight_.begin()->started_at))
        overtaken_before = now - overtaken_limit * latency.median_duration();
    overdue_ = 0;
    for (const AttemptInFlight &attempt : in_flight_) {
        bool timed_out = attempt.started_at < timed_out_before;
        bool passed_by = overtaken(attempt.started_at) && attempt.started_at < overtaken_before;
        if (timed_out || passed_by)
            ++overdue_;
    }

    abandoned_.erase(abandoned_.begin(),
                     abandoned_.lower_bound(timed_out_before - abandoned_limit * timeout));
    auto abandoned_and_silent =
        std::distance(abandoned_.begin(), abandoned_.lower_bound(timed_out_before));
    std::size_t unanswered = overdue_ + static_cast<std::size_t>(abandoned_and_silent);
    if (unanswered >= unanswered_limit && last_response_at_ < timed_out_before)
        unresponsive_ = true;
}

} // namespace knotvane::scheduling
