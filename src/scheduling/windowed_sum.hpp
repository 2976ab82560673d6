/// \file
/// A sum over a sliding time window.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Sums amounts that were added since a given time. The times passed to add must not decrease.
class WindowedSum {
public:
    void add(Time now, double amount) {
        sum_ += amount;
        // Amounts of one moment leave the window together.
        if (!entries_.empty() && entries_.back().first == now)
            entries_.back().second += amount;
        else
            entries_.emplace_back(now, amount);
    }

    /// Discards the amounts that were added before `from`; later calls don't include them either.
    /// @return the sum of the amounts that were added at `from` or later.
    double sum_since(Time from) {
        while (first_ < entries_.size() && entries_[first_].first < from) {
            sum_ -= entries_[first_].second;
            ++first_;
        }
        // Clears the rounding error that adding and subtracting leaves.
        if (first_ == entries_.size())
            sum_ = 0;
        erase_discarded();
        return sum_;
    }

private:
    /// Frees the entries in front of the window once they are the larger part.
    void erase_discarded() {
        if (2 * first_ < entries_.size() || first_ == 0)
            return;
        entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(first_));
        first_ = 0;
    }

    // No deque: an empty one allocates half a kilobyte, and there are two sums for each node.
    std::vector<std::pair<Time, double>> entries_;
    // The first entry that isn't discarded.
    std::size_t first_ = 0;
    double sum_ = 0;
};

} // namespace knotvane::scheduling
