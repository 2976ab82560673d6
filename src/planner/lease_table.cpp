#include "planner/lease_table.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::planner {

void LeaseTable::restore(EdgeId edge, Time now, bool lapsed) {
    leases_[edge] = {now + lease_ + margin_, lapsed ? Stage::lapsed : Stage::held};
}

LeaseTable::Stage LeaseTable::stage(EdgeId edge) const {
    auto it = leases_.find(edge);
    return it == leases_.end() ? Stage::forgotten : it->second.stage;
}

void LeaseTable::expire(Time now, const std::function<void(EdgeId, Stage)> &changed) {
    for (auto it = leases_.begin(); it != leases_.end();) {
        auto &[edge, lease] = *it;
        if (lease.stage == Stage::held && now > lease.until) {
            lease.stage = Stage::lapsed;
            changed(edge, lease.stage);
        }
        if (lease.stage == Stage::lapsed && now > lease.until + fade_) {
            auto forgotten = edge;
            it = leases_.erase(it);
            changed(forgotten, Stage::forgotten);
            continue;
        }
        ++it;
    }
}

Time LeaseTable::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[edge, lease] : leases_) {
        auto ends = lease.stage == Stage::held ? lease.until : lease.until + fade_;
        due = std::min(due, ends + 1);
    }
    return due;
}

std::size_t LeaseTable::held_count() const {
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(),
                      [](const auto &entry) { return entry.second.stage == Stage::held; }));
}

} // namespace knotvane::planner
