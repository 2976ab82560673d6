#include "http_gateway/graceful_shutdown.hpp"

#include <algorithm>

namespace knotvane::http_gateway {
namespace {

// The platform kills a stopping process at the earliest after the longest client timeout, counted
// as at most 3 s, plus 0.7 s, both from when it told the process to stop.
constexpr Time max_counted_timeout = 3 * sec;
constexpr Time kill_grace = 700 * ms;

// The shutdown is complete this long before the kill, as a throttled processor may delay it.
constexpr Time kill_margin = 300 * ms;

// For how long before the deadline connections are closed after their next response.
constexpr Time draining_time = 500 * ms;

// Clients still open new connections for 0.4 s after the stop. Until that is over, no connection is
// closed after its first response.
constexpr Time new_connections_time = 500 * ms;

// Idle connections are closed this long before the deadline. A client closes its side within a
// round trip after that, and a request that it sent meanwhile can still be read.
constexpr Time idle_close_margin = 200 * ms;

// How often the gateway checks during draining whether the shutdown is complete.
constexpr Time poll_interval = 20 * ms;

} // namespace

void GracefulShutdown::start(Time now, Time max_client_timeout) {
    if (started_)
        return;
    started_ = true;
    deadline_ = now + std::min(max_client_timeout, max_counted_timeout) + kill_grace - kill_margin;
    closes_after_responses_at_ = std::max(deadline_ - draining_time, now + new_connections_time);
    deadline_ = std::max(deadline_, closes_after_responses_at_ + draining_time);
    closes_idle_at_ = deadline_ - idle_close_margin;
}

Time GracefulShutdown::limit_timeout(Time client_timeout) const {
    return std::min(client_timeout, deadline_);
}

Time GracefulShutdown::next_due(Time now) const {
    return started_ ? std::max(closes_after_responses_at_, now + poll_interval) : never;
}

} // namespace knotvane::http_gateway
