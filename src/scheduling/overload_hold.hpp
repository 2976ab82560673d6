/// \file
/// How long a node that answered "overloaded" gets nothing.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Exponential backoff of one node: after an overload it gets nothing for one request's expected
/// time, doubled with each further overload until it answers, at most times the number of
/// schedulers (then all together send one in that time). Guards against a node that stays full of
/// work which is too late.
class OverloadBackoff {
public:
    /// @param expected_duration of the request that was rejected.
    void node_overloaded(Time now, Time expected_duration, std::uint32_t scheduler_count) {
        until_ = now + expected_duration * multiplier_;
        multiplier_ = std::min(multiplier_ * 2, scheduler_count);
    }

    void reset() { multiplier_ = 1; }

    bool active(Time now) const { return now < until_; }

private:
    Time until_ = 0;
    std::uint32_t multiplier_ = 1;
};

} // namespace knotvane::scheduling
