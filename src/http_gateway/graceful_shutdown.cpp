#include "http_gateway/graceful_shutdown.hpp"

#include <algorithm>

namespace knotvane::http_gateway {
namespace {

// A stopping process is killed no sooner than the longest client timeout, of which 3 s count at
// most, and 0.7 s after it was told to stop.
constexpr Time max_counted_timeout = 3 * sec;
constexpr Time kill_grace = 700 * ms;

// All is answered so long before the kill: time for a throttled processor.
constexpr Time kill_margin = 300 * ms;

// Answers end their connections for so long before the end.
constexpr Time draining_time = 500 * ms;

// New connections arrive for 0.4 s after the stop; none of them ends with its first answer.
constexpr Time connections_arrive = 500 * ms;

// Idle connections end so long before the process: a client answers an end within a round trip,
// and what crosses it is read.
constexpr Time idle_end_margin = 200 * ms;

// How often the end is looked for while draining.
constexpr Time poll_interval = 20 * ms;

} // namespace

void GracefulShutdown::start(Time now, Time max_client_timeout) {
    if (started_)
        return;
    started_ = true;
    deadline_ = now + std::min(max_client_timeout, max_counted_timeout) + kill_grace - kill_margin;
    closes_after_responses_at_ = std::max(deadline_ - draining_time, now + connections_arrive);
    deadline_ = std::max(deadline_, closes_after_responses_at_ + draining_time);
    closes_idle_at_ = deadline_ - idle_end_margin;
}

Time GracefulShutdown::limit_timeout(Time client_timeout) const {
    return std::min(client_timeout, deadline_);
}

Time GracefulShutdown::next_due(Time now) const {
    return started_ ? std::max(closes_after_responses_at_, now + poll_interval) : never;
}

} // namespace knotvane::http_gateway
