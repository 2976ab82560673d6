/// \file
/// When a gateway that was told to stop ends its connections and itself.
#pragma once

#include <limits>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// The schedule of a graceful shutdown. A stopping gateway serves on, on the connections that there
/// are, for as long as may be: the clients behind them have no other way to a node until this
/// gateway is back. Then it drains, in this order: answers end their connections, idle connections
/// end, all requests are answered. The times are chosen such that everything is answered before the
/// process may be killed. It does nothing by itself: its owner asks when each step is due.
class GracefulShutdown {
public:
    /// Starts the shutdown; a second call changes nothing.
    /// @param max_client_timeout the longest time that a client waits for an answer.
    void start(Time now, Time max_client_timeout);

    bool started() const { return started_; }

    /// Whether an answer is its connection's last from now on.
    bool closes_after_responses(Time now) const {
        return started_ && now >= closes_after_responses_at_;
    }

    /// Whether connections without a request are to end. A client that sends a request across the
    /// end isn't reset: the request is read and not taken.
    bool closes_idle_connections(Time now) const { return started_ && now >= closes_idle_at_; }

    /// Whether the process may end with connections still open.
    bool past_deadline(Time now) const { return started_ && now >= deadline_; }

    /// Returns a client's timeout, cut to the time in which this process still answers.
    Time limit_timeout(Time client_timeout) const;

    /// When the schedule is to be looked at again, after `now`; the largest Time before the start.
    Time next_due(Time now) const;

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    bool started_ = false;
    Time closes_after_responses_at_ = never;
    Time closes_idle_at_ = never;
    Time deadline_ = never;
};

} // namespace knotvane::http_gateway
