#include "scheduling/node_health.hpp"

#include <algorithm>
#include <iterator>

namespace knotvane::scheduling {
namespace {

// How long the window has one extra slot after an attempt was lost.
constexpr Time extra_slot_duration = 2 * sec;

// Long enough for the node to answer a trial attempt before the next scheduler's slot begins.
constexpr Time trial_slot = 250 * ms;
// Each scheduler gets its slot within the time that a client waits.
constexpr Time max_trial_round = 2 * sec;

// A shorter silence counts as a pause of the node, not as a restart.
constexpr Time min_restart_silence = 2 * sec;

// Two, as a single connection may be lost in the network. If one were enough where the network
// drops some, most nodes would be taken for restarted.
constexpr std::uint32_t min_unreachable_in_row = 2;

// Two, as a single attempt may be lost while the node works.
constexpr std::size_t min_unanswered = 2;

// An overtaken attempt is overdue when it is older than this many median durations.
constexpr Time overtaken_multiple = 3;

// The node is assumed to have dropped or finished abandoned work once this many further response
// timeouts have passed after the first one.
constexpr Time abandoned_multiple = 3;

} // namespace

std::size_t NodeHealth::occupied_window_slots(Time now) const {
    std::size_t occupied = in_flight_.size() - overdue_ + abandoned_.size();
    if (in_flight_.empty() || occupied == 0)
        return 0;
    bool extra_slot = now < lost_at_ + extra_slot_duration;
    return extra_slot ? occupied - 1 : occupied;
}

bool NodeHealth::trial_allowed(Time now, const TrialRotation &rotation) const {
    Time slot_duration = std::min<Time>(trial_slot, max_trial_round / rotation.scheduler_count);
    auto slot = static_cast<std::uint64_t>(now / slot_duration);
    return slot % rotation.scheduler_count == rotation.scheduler.value &&
           now - last_attempt_at_ >= trial_slot;
}

void NodeHealth::attempt_started(const AttemptInFlight &attempt) {
    last_attempt_at_ = attempt.started_at;
    // An idle node has nothing to answer, so silence is counted from its first attempt in flight.
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
        connections_refused_ || (unresponsive_ && now - last_response_at_ > min_restart_silence);
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
    // The node responded after this attempt started, so the connection was lost in the network.
    if (last_response_at_ > started_at)
        return;
    ++unreachable_in_row_;
    if (unreachable_in_row_ < min_unreachable_in_row)
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
    // Computes the median only if an attempt was overtaken, for speed.
    Time overtaken_before = 0;
    if (!in_flight_.empty() && overtaken(in_flight_.begin()->started_at))
        overtaken_before = now - overtaken_multiple * latency.median_duration();
    overdue_ = 0;
    for (const AttemptInFlight &attempt : in_flight_) {
        bool timed_out = attempt.started_at < timed_out_before;
        bool overtaken_too_long =
            overtaken(attempt.started_at) && attempt.started_at < overtaken_before;
        if (timed_out || overtaken_too_long)
            ++overdue_;
    }

    abandoned_.erase(abandoned_.begin(),
                     abandoned_.lower_bound(timed_out_before - abandoned_multiple * timeout));
    auto abandoned_past_timeout =
        std::distance(abandoned_.begin(), abandoned_.lower_bound(timed_out_before));
    std::size_t unanswered = overdue_ + static_cast<std::size_t>(abandoned_past_timeout);
    if (unanswered >= min_unanswered && last_response_at_ < timed_out_before)
        unresponsive_ = true;
}

} // namespace knotvane::scheduling
