/// \file
/// What waits at a node, by deadline: so that requests which can't be in time are found without a
/// look at all of them. With thousands that wait, the look itself would make all of them late.
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

/// A request's place in a node's fair queue, in the order of volumes and of their requests.
struct QueuePosition {
    VolumeId volume;
    QueueRank rank;

    auto operator<=>(const QueuePosition &) const = default;
};

/// The requests in a node's fair queue, by units and latency deadline.
class WaitingIndex {
public:
    /// @param repeated it repeats an earlier request.
    void add(double units, bool repeated, const QueuePosition &position);

    void remove(double units, const QueuePosition &position);

    /// @param expected what a request of so many units takes from now on: Time(double units).
    /// @return those that would be answered past their latency deadline.
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

    const std::set<QueuePosition> &repeats() const { return repeats_; }

    /// @return the number of requests that repeat none.
    std::size_t first_request_count() const { return size_ - repeats_.size(); }

private:
    // Within one number of units the earliest deadline is the first that is missed.
    std::map<double, std::set<std::pair<Time, QueuePosition>>> by_units_;
    std::set<QueuePosition> repeats_;
    std::size_t size_ = 0;
};

} // namespace knotvane::scheduling
