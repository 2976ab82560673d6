// The last few samples of a figure, oldest first.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "common/time.hpp"

namespace knotvane {

template <class T, std::size_t Most>
class Samples {
public:
    void add(T v) {
        if (end_ == kept_.size()) {
            std::move(kept_.begin() + begin_, kept_.end(), kept_.begin());
            end_ -= begin_, begin_ = 0;
        }
        kept_[end_++] = v;
        if (end_ - begin_ > Most)
            ++begin_;
    }
    void clear() { begin_ = end_ = 0; }
    bool empty() const { return begin_ == end_; }
    std::size_t size() const { return end_ - begin_; }
    auto begin() const { return kept_.begin() + begin_; }
    auto end() const { return kept_.begin() + end_; }
    T most() const { return empty() ? T{} : *std::max_element(begin(), end()); }
    T least() const { return empty() ? T{} : *std::min_element(begin(), end()); }
    // The value that the given part of the samples lies under.
    T quantile(double part) const {
        if (empty())
            return T{};
        std::array<T, Most> sorted;
        std::copy(begin(), end(), sorted.begin());
        auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + at,
                         sorted.begin() + static_cast<std::ptrdiff_t>(size()));
        return sorted[static_cast<std::size_t>(at)];
    }

private:
    // Twice as many places as samples, so that they are moved up once in that many; no memory is
    // asked for: these are made and dropped many times for each task.
    std::array<T, 2 * Most> kept_;
    std::uint32_t begin_ = 0, end_ = 0;
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
