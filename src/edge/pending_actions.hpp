/// \file
/// A queue of the scheduler's actions.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/scheduled_requests.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

/// The time of the event that is being handled.
struct Clock {
    Time now = 0;
};

/// Queues the scheduler's actions until the scheduler call that issued them has returned: executing
/// one may answer a client and so admit its next request, which must not reach the scheduler in the
/// middle of a decision.
class PendingActions final : public SchedulerActions {
public:
    enum class Kind { start_attempt, cancel_attempt, reject, fail };

    struct Action {
        Kind kind;
        RequestId request;
        /// Only for start_attempt and cancel_attempt.
        AttemptId attempt;
        /// Timeout of start_attempt, retry-after of reject.
        Time delay = 0;
    };

    /// @param requests records each attempt as soon as the scheduler starts it; both must outlive
    /// this.
    PendingActions(ScheduledRequests &requests, const Clock &clock)
        : requests_(requests), clock_(clock) {}

    void start_attempt(RequestId request, NodeId node, Time timeout) override {
        auto attempt = requests_.add_attempt(request, node, clock_.now);
        actions_.push_back({Kind::start_attempt, request, attempt, timeout});
    }
    void cancel_attempt(RequestId request, AttemptId attempt) override {
        actions_.push_back({Kind::cancel_attempt, request, attempt});
    }
    void reject(RequestId request, Time retry_after) override {
        actions_.push_back({Kind::reject, request, {}, retry_after});
    }
    void fail(RequestId request) override { actions_.push_back({Kind::fail, request, {}}); }
    void set_timer(TimerId timer, Time delay) override { timers_[timer] = clock_.now + delay; }
    /// Does nothing: the endpoint list is pushed to the edge, and the settings keep the scheduler
    /// from requesting it.
    void watch_endpoints() override {}

    bool empty() const { return actions_.empty(); }

    /// Removes and returns the oldest action; nothing if there is none.
    std::optional<Action> take() {
        if (actions_.empty())
            return std::nullopt;
        auto action = actions_.front();
        actions_.pop_front();
        return action;
    }

    /// When each timer that is set expires.
    std::map<TimerId, Time> &timers() { return timers_; }
    const std::map<TimerId, Time> &timers() const { return timers_; }

private:
    ScheduledRequests &requests_;
    const Clock &clock_;
    std::deque<Action> actions_;
    std::map<TimerId, Time> timers_;
};

} // namespace knotvane::edge
