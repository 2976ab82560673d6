// The last few samples of a figure, oldest first.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "core/time.hpp"

namespace knotvane {

template <class T, std::size_t Most> class Samples {
  public:
    void add(T v) {
        kept_.push_back(v);
        if (kept_.size() > Most)
            kept_.pop_front();
    }
    void clear() { kept_.clear(); }
    bool empty() const { return kept_.empty(); }
    std::size_t size() const { return kept_.size(); }
    auto begin() const { return kept_.begin(); }
    auto end() const { return kept_.end(); }
    T most() const { return kept_.empty() ? T{} : *std::max_element(kept_.begin(), kept_.end()); }
    // The value that the given part of the samples lies under.
    T quantile(double part) const {
        if (kept_.empty())
            return T{};
        std::vector<T> sorted(kept_.begin(), kept_.end());
        auto at = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
        return sorted[at];
    }

  private:
    std::deque<T> kept_;
};

// What was counted lately, by time.
class Recent {
  public:
    void add(Time at, double amount) { kept_.emplace_back(at, amount), sum_ += amount; }
    // What was counted since; forgets what came before that.
    double since(Time from) {
        while (!kept_.empty() && kept_.front().first < from) {
            sum_ -= kept_.front().second;
            kept_.pop_front();
        }
        return sum_ = kept_.empty() ? 0 : sum_; // no rounding outlives its samples
    }

  private:
    std::deque<std::pair<Time, double>> kept_;
    double sum_ = 0;
};

} // namespace knotvane
