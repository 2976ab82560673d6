/// \file
/// Runs the scheduler: its timers and the end of each moment.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>

#include "common/time.hpp"
#include "edge/pending_actions.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

using MakeScheduler = std::function<std::unique_ptr<Scheduler>(SchedulerActions &)>;

/// Owns the scheduler and tracks whether it must settle.
class SchedulerDriver {
public:
    SchedulerDriver(const MakeScheduler &make, ScheduledRequests &requests, const Clock &clock)
        : clock_(clock), actions_(requests, clock), scheduler_(make(actions_)) {}

    /// For calls after which the scheduler need not settle.
    Scheduler &scheduler() { return *scheduler_; }

    /// For calls after which the scheduler must settle.
    Scheduler &notify() {
        needs_settle_ = true;
        return *scheduler_;
    }

    PendingActions &actions() { return actions_; }

    bool needs_settle() const { return needs_settle_; }
    void settle() {
        needs_settle_ = false;
        scheduler_->settle(clock_.now);
    }

    /// Notifies the scheduler of all timers that have expired.
    void expire_timers() {
        auto &timers = actions_.timers();
        for (auto it = timers.begin(); it != timers.end();) {
            if (it->second > clock_.now) {
                ++it;
                continue;
            }
            auto timer = it->first;
            it = timers.erase(it);
            notify().timer_expired(clock_.now, timer);
        }
    }

    /// When the next timer expires, or now if an action or a settle is pending; the largest Time if
    /// neither.
    Time next_due() const {
        Time due = std::numeric_limits<Time>::max();
        for (const auto &[timer, expires_at] : actions_.timers())
            due = std::min(due, expires_at);
        if (needs_settle_ || !actions_.empty())
            due = std::min(due, clock_.now);
        return due;
    }

private:
    const Clock &clock_;
    PendingActions actions_;
    std::unique_ptr<Scheduler> scheduler_;
    bool needs_settle_ = false;
};

} // namespace knotvane::edge
