/// \file
/// A fixed-size buffer of the most recent samples.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace knotvane::scheduling {

/// Room for `Size` samples inside the object.
template <class T, std::size_t Size>
class InlineStorage {
public:
    /// Ensures that there is room for `count` samples, at most `Size`.
    void reserve(std::size_t /*count*/) {}
    T *begin() { return samples_.data(); }
    const T *begin() const { return samples_.data(); }

private:
    std::array<T, Size> samples_;
};

/// Room for up to `Size` samples on the heap, allocated as it is needed.
template <class T, std::size_t Size>
class GrowingStorage {
public:
    /// Ensures that there is room for `count` samples, at most `Size`. Invalidates iterators.
    void reserve(std::size_t count) {
        if (count > samples_.size())
            samples_.resize(std::min(Size, count + count / 2));
    }
    T *begin() { return samples_.data(); }
    const T *begin() const { return samples_.data(); }

private:
    std::vector<T> samples_;
};

/// Keeps the last `Capacity` samples, oldest first.
///
/// @tparam Storage InlineStorage for a buffer that is created and discarded for each request, as it
///     allocates no heap memory; GrowingStorage for one that is kept for each node, of which there
///     are thousands, most with few samples.
template <class T, std::size_t Capacity,
          template <class, std::size_t> class Storage = InlineStorage>
class RecentSamples {
public:
    void add(T sample) {
        if (end_ == max_entries) {
            std::move(samples_.begin() + begin_, samples_.begin() + end_, samples_.begin());
            end_ -= begin_;
            begin_ = 0;
        }
        samples_.reserve(end_ + 1U);
        samples_.begin()[end_++] = sample;
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
    static constexpr std::size_t max_entries = 2 * Capacity;

    Storage<T, max_entries> samples_;
    std::uint32_t begin_ = 0;
    std::uint32_t end_ = 0;
};

} // namespace knotvane::scheduling
