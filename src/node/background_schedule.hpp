/// \file
/// Schedules a node's background work: it takes a bounded share of the node's time, gives queued
/// requests precedence, and still makes progress on a node that is always busy. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "common/time.hpp"

namespace knotvane::node {

/// How busy a node is with requests.
struct RequestLoad {
    std::size_t executing = 0; ///< Requests that are executing.
    std::size_t slots = 0;     ///< Requests that can execute at the same time.
    std::size_t queued = 0;    ///< Requests waiting for a slot.
};

/// Limits the rate of background work, which is done in short steps.
class BackgroundSchedule {
public:
    /// Whether a step may begin at `now`.
    bool may_begin(Time now, const RequestLoad &load) const { return now >= next_due(load); }

    /// The earliest time at which the next step may begin if the load does not change.
    Time next_due(const RequestLoad &load) const {
        bool is_busy = load.queued > 0 || load.executing + 1 >= load.slots;
        return is_busy ? std::max(next_at_, last_at_ + busy_interval) : next_at_;
    }

    /// Records that a step began at `now` that takes `cost` nanoseconds of one slot.
    void step_began(Time now, Time cost) {
        last_at_ = now;
        next_at_ = now + std::max<Time>(cost * interval_per_cost, min_interval);
    }

    /// Forgets earlier steps, as after a restart of the process.
    void reset() {
        next_at_ = 0;
        last_at_ = 0;
    }

private:
    /// Steps take at most a tenth of one slot's time, which is a fortieth of a node with four
    /// slots. Meant to stay below the one percent of service time that background work may take
    /// while requests wait.
    static constexpr Time interval_per_cost = 10;
    /// Minimum interval between steps, so that very cheap steps do not wake the node too often.
    static constexpr Time min_interval = ms;
    /// Interval between steps while the node is busy. Without it, a node that is never idle would
    /// not reclaim any space.
    static constexpr Time busy_interval = 50 * ms;

    Time next_at_ = 0;
    Time last_at_ = 0;
};

} // namespace knotvane::node
