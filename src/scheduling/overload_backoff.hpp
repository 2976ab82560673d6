/// \file
/// How long a node gets no attempts after it answered "overloaded".
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Exponential backoff for one node that rejects attempts as overloaded. After the first rejection
/// it gets no attempt for the expected duration of one request; the delay doubles with each further
/// rejection until the node answers. The multiplier is at most the number of schedulers: then all
/// of them together send one attempt per expected duration. Without the backoff, an overloaded node
/// would stay full of work that is already too late.
class OverloadBackoff {
public:
    /// The node rejected an attempt.
    /// @param expected_duration of the rejected request.
    /// @param scheduler_count the number of schedulers that share the node.
    void node_overloaded(Time now, Time expected_duration, std::uint32_t scheduler_count) {
        blocked_until_ = now + expected_duration * multiplier_;
        multiplier_ = std::min(multiplier_ * 2, scheduler_count);
    }

    /// The node answered an attempt: the next delay is the shortest again.
    void reset() { multiplier_ = 1; }

    /// @return whether the node gets no attempts now.
    bool active(Time now) const { return now < blocked_until_; }

private:
    Time blocked_until_ = 0;
    std::uint32_t multiplier_ = 1;
};

} // namespace knotvane::scheduling
