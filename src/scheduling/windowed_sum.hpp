/// \file
/// A sum over a sliding time window.
#pragma once

#include <deque>
#include <utility>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Sums amounts that were added since a given time. The times passed to add must not decrease.
class WindowedSum {
public:
    void add(Time now, double amount) {
        entries_.emplace_back(now, amount);
        sum_ += amount;
    }

    /// Discards the amounts that were added before `from`; later calls don't include them either.
    /// @return the sum of the amounts that were added at `from` or later.
    double sum_since(Time from) {
        while (!entries_.empty() && entries_.front().first < from) {
            sum_ -= entries_.front().second;
            entries_.pop_front();
        }
        // Clears the rounding error that adding and subtracting leaves.
        if (entries_.empty())
            sum_ = 0;
        return sum_;
    }

private:
    std::deque<std::pair<Time, double>> entries_;
    double sum_ = 0;
};

} // namespace knotvane::scheduling
