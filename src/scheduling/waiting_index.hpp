/// \file
/// An index of the requests that wait at a node, by deadline. It finds requests that can't be
/// answered in time without a scan of all of them: with thousands of waiting requests the scan
/// itself would make all of them late.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/fair_queue.hpp"

namespace knotvane::scheduling {

/// Position of a request in a node's fair queue, ordered by volume and then by rank.
struct QueuePosition {
    VolumeId volume;
    QueueRank rank;

    auto operator<=>(const QueuePosition &) const = default;
};

/// The requests in a node's fair queue, by units and latency deadline.
class WaitingIndex {
public:
    /// @param repeated whether the request repeats an earlier one.
    void add(double units, bool repeated, const QueuePosition &position);

    void remove(double units, const QueuePosition &position);

    /// @param expected function Time(double units): the expected time until a request with that
    ///     many units is answered if it is sent now.
    /// @return the requests that would be answered after their latency deadline.
    template <class ExpectedDuration>
    std::set<QueuePosition> find_late(Time now, ExpectedDuration expected) const {
        std::set<QueuePosition> result;
        for (const auto &[units, requests] : by_units_) {
            auto it = requests.begin();
            while (it != requests.end() && now + expected(units) > it->first) {
                result.insert(it->second);
                ++it;
            }
        }
        return result;
    }

    /// @return the waiting requests that repeat an earlier one.
    const std::set<QueuePosition> &repeats() const { return repeats_; }

    bool empty() const { return size_ == 0; }

    /// @return the number of waiting requests that don't repeat an earlier one.
    std::size_t first_request_count() const { return size_ - repeats_.size(); }

private:
    // Requests by units, then by latency deadline. Requests with the same units are expected to
    // take the same time, so that the one with the earliest deadline is the first to be late.
    std::map<double, std::set<std::pair<Time, QueuePosition>>> by_units_;
    std::set<QueuePosition> repeats_;
    std::size_t size_ = 0;
};

} // namespace knotvane::scheduling
