/// \file
/// A fixed-size buffer of the most recent samples.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace knotvane::scheduling {

/// Keeps the last `Capacity` samples, oldest first. It allocates no heap memory, because buffers
/// are created and discarded many times for each request.
template <class T, std::size_t Capacity>
class RecentSamples {
public:
    void add(T sample) {
        if (end_ == samples_.size()) {
            std::move(samples_.begin() + begin_, samples_.end(), samples_.begin());
            end_ -= begin_;
            begin_ = 0;
        }
        samples_[end_++] = sample;
        if (end_ - begin_ > Capacity)
            ++begin_;
    }

    bool empty() const { return begin_ == end_; }

    std::size_t size() const { return end_ - begin_; }

    auto begin() const { return samples_.begin() + begin_; }

    auto end() const { return samples_.begin() + end_; }

    /// @return the largest sample; T{} if there is none.
    T maximum() const { return empty() ? T{} : *std::max_element(begin(), end()); }

    /// @return the smallest sample; T{} if there is none.
    T minimum() const { return empty() ? T{} : *std::min_element(begin(), end()); }

    /// @param fraction of the samples that are below the result, 0 to 1.
    /// @return the sample at that quantile; T{} if there is none.
    T quantile(double fraction) const {
        if (empty())
            return T{};
        std::array<T, Capacity> sorted;
        std::copy(begin(), end(), sorted.begin());
        auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + position,
                         sorted.begin() + static_cast<std::ptrdiff_t>(size()));
        return sorted[static_cast<std::size_t>(position)];
    }

private:
    // Twice the capacity, so that the samples are moved to the front only once per `Capacity`
    // additions.
    std::array<T, 2 * Capacity> samples_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
};

} // namespace knotvane::scheduling
