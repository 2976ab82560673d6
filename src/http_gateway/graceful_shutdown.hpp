/// \file
/// The schedule of a gateway's graceful shutdown.
#pragma once

#include <limits>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// The schedule of a graceful shutdown. A stopping gateway serves its connections for as long as
/// possible: its clients have no other way to reach a node until the gateway has restarted. Then it
/// drains, in this order: connections are closed after their next response, idle connections are
/// closed, and by the deadline all requests are answered. The deadline is before the earliest time
/// at which the platform kills the process. This class only computes the times; its owner asks
/// whether a step is due and carries it out.
class GracefulShutdown {
public:
    /// Starts the shutdown; further calls have no effect.
    /// @param max_client_timeout the longest time that a client waits for a response.
    void start(Time now, Time max_client_timeout);

    bool started() const { return started_; }

    /// Whether each connection is to be closed after its next response.
    bool closes_after_responses(Time now) const {
        return started_ && now >= closes_after_responses_at_;
    }

    /// Whether connections without a request are to be closed for sending. A request that the
    /// client sends before it notices is to be read and discarded, so that its connection isn't
    /// reset.
    bool closes_idle_connections(Time now) const { return started_ && now >= closes_idle_at_; }

    /// Whether the process is to exit even if connections are still open.
    bool past_deadline(Time now) const { return started_ && now >= deadline_; }

    /// Returns the moment until which a request may be answered: when its client's timeout passes,
    /// or the shutdown's deadline if that comes first.
    Time limit_timeout(Time client_timeout) const;

    /// Returns when the schedule is to be checked next, after `now`; the largest Time if the
    /// shutdown hasn't started.
    Time next_due(Time now) const;

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    bool started_ = false;
    Time closes_after_responses_at_ = never;
    Time closes_idle_at_ = never;
    Time deadline_ = never;
};

} // namespace knotvane::http_gateway
