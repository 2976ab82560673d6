#include "scheduling/waiting_index.hpp"

namespace knotvane::scheduling {

void WaitingIndex::add(double units, bool repeated, const QueuePosition &position) {
    by_units_[units].insert({position.rank.latency_deadline, position});
    if (repeated)
        repeats_.insert(position);
    ++size_;
}

void WaitingIndex::remove(double units, const QueuePosition &position) {
    auto it = by_units_.find(units);
    it->second.erase({position.rank.latency_deadline, position});
    if (it->second.empty())
        by_units_.erase(it);
    repeats_.erase(position);
    --size_;
}

} // namespace knotvane::scheduling
