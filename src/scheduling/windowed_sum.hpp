/// \file
/// A sum of what was counted lately.
#pragma once

#include <deque>
#include <utility>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Amounts with the time of each. Times never decrease from one call of add to the next.
class WindowedSum {
public:
    void add(Time now, double amount) {
        entries_.emplace_back(now, amount);
        sum_ += amount;
    }

    /// Forgets what was added before `from`, for later calls too.
    /// @return the sum of what was added at `from` or later.
    double sum_since(Time from) {
        while (!entries_.empty() && entries_.front().first < from) {
            sum_ -= entries_.front().second;
            entries_.pop_front();
        }
        // No rounding error outlives its entries.
        if (entries_.empty())
            sum_ = 0;
        return sum_;
    }

private:
    std::deque<std::pair<Time, double>> entries_;
    double sum_ = 0;
};

} // namespace knotvane::scheduling
