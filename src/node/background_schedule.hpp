/// \file
/// When a node may do background work: a bounded share of its time, behind queued requests, but
/// never not at all. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "common/time.hpp"

namespace knotvane::node {

/// How busy a node is with requests.
struct RequestLoad {
    std::size_t executing = 0; ///< Requests in execution.
    std::size_t slots = 0;     ///< How many can be in execution at once.
    std::size_t queued = 0;    ///< Requests that wait for a slot.
};

/// Paces background work, which is done a short step at a time.
class BackgroundSchedule {
public:
    /// Whether a step may begin now.
    bool may_begin(Time now, const RequestLoad &load) const { return now >= next_due(load); }

    /// When the next step may begin if the load stays as it is.
    Time next_due(const RequestLoad &load) const {
        bool is_busy = load.queued > 0 || load.executing + 1 >= load.slots;
        return is_busy ? std::max(next_at_, last_at_ + busy_interval) : next_at_;
    }

    /// Notes that a step began which takes `cost`.
    void step_began(Time now, Time cost) {
        last_at_ = now;
        next_at_ = now + std::max<Time>(cost * interval_per_cost, min_interval);
    }

    /// A new process: nothing is known of earlier steps.
    void reset() {
        next_at_ = 0;
        last_at_ = 0;
    }

private:
    /// Steps take at most a tenth of the time: a tenth of one slot is a fortieth of a node with
    /// four, below the one percent of service that background work may take while requests wait.
    static constexpr Time interval_per_cost = 10;
    /// Steps that cost next to nothing do not wake a node more often than this.
    static constexpr Time min_interval = ms;
    /// While requests wait, a step goes this often: space must come back on a node that is never
    /// idle.
    static constexpr Time busy_interval = 50 * ms;

    Time next_at_ = 0;
    Time last_at_ = 0;
};

} // namespace knotvane::node
