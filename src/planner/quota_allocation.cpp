#include "planner/quota_allocation.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::planner {

void QuotaAllocation::restore(VolumeId volume, EdgeId edge, std::uint32_t part, std::uint32_t bound,
                              Version since, bool serves, bool lapsed) {
    volumes_[volume][edge] = {part, bound, since, serves};
    if (lapsed)
        lapsed_.insert(edge);
    of_edge_[edge].insert(volume);
    if (bound > part)
        unsettled_[edge].insert(volume);
    dirty_.insert(volume);
}
void QuotaAllocation::unknown(std::uint32_t bound) {
    unknown_ = bound;
    for (auto &[v, holds] : volumes_)
        dirty_.insert(v);
}

void QuotaAllocation::serve(VolumeId volume, EdgeId edge, bool on) {
    auto it = volumes_.find(volume);
    if (!on && (it == volumes_.end() || !it->second.contains(edge)))
        return;
    auto &hold = volumes_[volume][edge];
    of_edge_[edge].insert(volume);
    if (std::exchange(hold.serves, on) != on)
        dirty_.insert(volume);
}
std::vector<VolumeId> QuotaAllocation::served_by(EdgeId edge) const {
    std::vector<VolumeId> out;
    if (auto it = of_edge_.find(edge); it != of_edge_.end())
        for (auto v : it->second)
            if (volumes_.at(v).at(edge).serves)
                out.push_back(v);
    return out;
}

void QuotaAllocation::acked(EdgeId edge, Version version) {
    auto &open = unsettled_[edge];
    for (auto it = open.begin(); it != open.end();) {
        auto &hold = volumes_.at(*it).at(edge);
        if (hold.since > version) {
            ++it;
            continue;
        }
        hold.bound = hold.part;
        dirty_.insert(*it);
        it = open.erase(it);
    }
}

bool QuotaAllocation::lapsed(EdgeId edge) {
    bool fell = false;
    if (!lapsed_.insert(edge).second)
        return false;
    for (auto v : of_edge_[edge]) {
        auto &hold = volumes_.at(v).at(edge);
        hold.bound = control::usable_millionths(hold.bound, 1, 1);
        fell |= hold.part > hold.bound;
        dirty_.insert(v);
    }
    return fell;
}
void QuotaAllocation::back(EdgeId edge) {
    if (lapsed_.erase(edge) == 0)
        return;
    for (auto v : of_edge_[edge])
        dirty_.insert(v);
}
void QuotaAllocation::forgotten(EdgeId edge) {
    for (auto v : of_edge_[edge]) {
        auto &hold = volumes_.at(v).at(edge);
        hold.bound = 0, hold.serves = false;
        dirty_.insert(v);
    }
    unsettled_.erase(edge);
    lapsed_.erase(edge);
}

std::uint64_t QuotaAllocation::bound(VolumeId volume) const {
    std::uint64_t sum = unknown_;
    if (auto it = volumes_.find(volume); it != volumes_.end())
        for (auto &[e, h] : it->second)
            sum += h.bound;
    return sum;
}
std::uint32_t QuotaAllocation::sharers(VolumeId volume) const {
    std::uint32_t n = 0;
    if (auto it = volumes_.find(volume); it != volumes_.end())
        for (auto &[e, h] : it->second)
            n += h.serves && !is_lapsed(e);
    return n;
}

void QuotaAllocation::share(VolumeId volume, std::map<EdgeId, Hold> &holds, Version version) {
    // What can't be parted: the unknown, those that were released and have not said so, those that
    // lapsed.
    std::uint32_t apart = unknown_, sharing = sharers(volume);
    for (auto &[edge, h] : holds) {
        if (h.serves && !is_lapsed(edge))
            continue;
        auto part = is_lapsed(edge) ? std::min(h.part, h.bound) : 0;
        if (part != h.part)
            h.part = part, h.since = version;
        apart += h.bound;
    }
    std::uint32_t even =
        sharing == 0 ? 0 : (control::whole_limit - std::min(apart, control::whole_limit)) / sharing;
    std::uint64_t used = unknown_;
    for (auto &[edge, h] : holds) {
        if (h.serves && !is_lapsed(edge) && h.part > even)
            h.part = even, h.since = version;
        used += h.bound;
    }
    std::uint64_t free = control::whole_limit - std::min<std::uint64_t>(used, control::whole_limit);
    for (auto &[edge, h] : holds) {
        if (!h.serves || is_lapsed(edge) || h.part >= even)
            continue;
        auto part = static_cast<std::uint32_t>(std::min<std::uint64_t>(even, h.bound + free));
        // In few steps: to the even part at once, or to twice what it has. Each step is news to its
        // edge.
        if (part <= h.part || (part < even && part < 2 * h.part))
            continue;
        if (part > h.bound)
            free -= part - h.bound, h.bound = part;
        h.part = part, h.since = version;
    }
}

void QuotaAllocation::allocate(
    Version version, const std::function<void(VolumeId, EdgeId, const control::QuotaShare &)> &tell,
    const std::function<void(VolumeId, EdgeId, const Hold *)> &keep) {
    for (auto volume : std::exchange(dirty_, {})) {
        auto it = volumes_.find(volume);
        if (it == volumes_.end())
            continue;
        auto &holds = it->second;
        share(volume, holds, version);
        auto n = sharers(volume);
        for (auto h = holds.begin(); h != holds.end();) {
            auto &[edge, hold] = *h;
            if (hold.bound > hold.part)
                unsettled_[edge].insert(volume);
            control::QuotaShare part{hold.part, n};
            if (!hold.serves)
                part.sharers = 0;
            auto &told = told_[{volume, edge}];
            if (told != part)
                told = part, tell(volume, edge, part);
            if (hold.serves || hold.bound > 0) {
                keep(volume, edge, &hold);
                ++h;
                continue;
            }
            // Nothing held and nothing wanted.
            keep(volume, edge, nullptr);
            told_.erase({volume, edge});
            of_edge_[edge].erase(volume);
            if (auto u = unsettled_.find(edge); u != unsettled_.end())
                u->second.erase(volume);
            h = holds.erase(h);
        }
        if (holds.empty())
            volumes_.erase(it);
    }
}

} // namespace knotvane::planner
