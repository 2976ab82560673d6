#include "planner/quota_allocation.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::planner {

void QuotaAllocation::restore(VolumeId volume, EdgeId edge, const Holding &holding,
                              bool edge_lapsed) {
    volumes_[volume][edge] = holding;
    if (edge_lapsed)
        lapsed_.insert(edge);
    of_edge_[edge].insert(volume);
    if (holding.bound > holding.share)
        unacknowledged_[edge].insert(volume);
    changed_.insert(volume);
}

void QuotaAllocation::set_unknown_bound(std::uint32_t bound) {
    unknown_bound_ = bound;
    for (const auto &[volume, holdings] : volumes_)
        changed_.insert(volume);
}

void QuotaAllocation::set_served(VolumeId volume, EdgeId edge, bool serves) {
    auto it = volumes_.find(volume);
    if (!serves && (it == volumes_.end() || !it->second.contains(edge)))
        return;
    auto &holding = volumes_[volume][edge];
    of_edge_[edge].insert(volume);
    if (std::exchange(holding.serves, serves) != serves)
        changed_.insert(volume);
}

std::vector<VolumeId> QuotaAllocation::volumes_served_by(EdgeId edge) const {
    std::vector<VolumeId> out;
    if (auto it = of_edge_.find(edge); it != of_edge_.end())
        for (auto volume : it->second)
            if (volumes_.at(volume).at(edge).serves)
                out.push_back(volume);
    return out;
}

void QuotaAllocation::acknowledged(EdgeId edge, Version version) {
    auto &open = unacknowledged_[edge];
    for (auto it = open.begin(); it != open.end();) {
        auto &holding = volumes_.at(*it).at(edge);
        if (holding.since > version) {
            ++it;
            continue;
        }
        holding.bound = holding.share;
        changed_.insert(*it);
        it = open.erase(it);
    }
}

bool QuotaAllocation::lapsed(EdgeId edge) {
    if (!lapsed_.insert(edge).second)
        return false;
    bool any_falls = false;
    for (auto volume : of_edge_[edge]) {
        auto &holding = volumes_.at(volume).at(edge);
        holding.bound = control::faded_millionths(holding.bound);
        any_falls |= holding.share > holding.bound;
        changed_.insert(volume);
    }
    return any_falls;
}

void QuotaAllocation::renewed(EdgeId edge) {
    if (lapsed_.erase(edge) == 0)
        return;
    for (auto volume : of_edge_[edge])
        changed_.insert(volume);
}

void QuotaAllocation::forgotten(EdgeId edge) {
    for (auto volume : of_edge_[edge]) {
        auto &holding = volumes_.at(volume).at(edge);
        holding.bound = 0;
        holding.serves = false;
        changed_.insert(volume);
    }
    unacknowledged_.erase(edge);
    lapsed_.erase(edge);
}

std::uint64_t QuotaAllocation::bound(VolumeId volume) const {
    std::uint64_t sum = unknown_bound_;
    if (auto it = volumes_.find(volume); it != volumes_.end())
        for (const auto &[edge, holding] : it->second)
            sum += holding.bound;
    return sum;
}

std::uint32_t QuotaAllocation::sharers(VolumeId volume) const {
    std::uint32_t count = 0;
    if (auto it = volumes_.find(volume); it != volumes_.end())
        for (const auto &[edge, holding] : it->second)
            count += shares(edge, holding);
    return count;
}

// Lowers shares that are too large. Returns the even share of the edges that share the limit now;
// what other edges may still use is not available to them.
std::uint32_t QuotaAllocation::shrink(Holdings &holdings, std::uint32_t sharers,
                                      Version version) const {
    auto reserved = unknown_bound_;
    for (auto &[edge, holding] : holdings) {
        if (shares(edge, holding))
            continue;
        auto share = is_lapsed(edge) ? std::min(holding.share, holding.bound) : 0;
        if (share != holding.share) {
            holding.share = share;
            holding.since = version;
        }
        reserved += holding.bound;
    }
    auto available =
        control::full_limit_millionths - std::min(reserved, control::full_limit_millionths);
    auto even_share = sharers == 0 ? 0 : available / sharers;
    for (auto &[edge, holding] : holdings)
        if (shares(edge, holding) && holding.share > even_share) {
            holding.share = even_share;
            holding.since = version;
        }
    return even_share;
}

void QuotaAllocation::grow(Holdings &holdings, std::uint32_t even_share, Version version) const {
    std::uint64_t used = unknown_bound_;
    for (const auto &[edge, holding] : holdings)
        used += holding.bound;
    std::uint64_t free = control::full_limit_millionths -
                         std::min<std::uint64_t>(used, control::full_limit_millionths);
    for (auto &[edge, holding] : holdings) {
        if (!shares(edge, holding) || holding.share >= even_share)
            continue;
        auto share =
            static_cast<std::uint32_t>(std::min<std::uint64_t>(even_share, holding.bound + free));
        // Shares grow in few steps, because each step is an update to its edge: to the even share
        // at once, or at least to twice the current share.
        if (share <= holding.share || (share < even_share && share < 2 * holding.share))
            continue;
        if (share > holding.bound) {
            free -= share - holding.bound;
            holding.bound = share;
        }
        holding.share = share;
        holding.since = version;
    }
}

void QuotaAllocation::forget(VolumeId volume, EdgeId edge) {
    last_sent_.erase({volume, edge});
    of_edge_[edge].erase(volume);
    if (auto it = unacknowledged_.find(edge); it != unacknowledged_.end())
        it->second.erase(volume);
}

void QuotaAllocation::allocate(
    Version version,
    const std::function<void(VolumeId, EdgeId, const control::QuotaShare &)> &on_share_changed,
    const std::function<void(VolumeId, EdgeId, const Holding *)> &keep) {
    for (auto volume : std::exchange(changed_, {})) {
        auto it = volumes_.find(volume);
        if (it == volumes_.end())
            continue;
        auto &holdings = it->second;
        auto count = sharers(volume);
        grow(holdings, shrink(holdings, count, version), version);
        for (auto entry = holdings.begin(); entry != holdings.end();) {
            auto &[edge, holding] = *entry;
            if (holding.bound > holding.share)
                unacknowledged_[edge].insert(volume);
            control::QuotaShare share{holding.share, holding.serves ? count : 0};
            auto &last_sent = last_sent_[{volume, edge}];
            if (last_sent != share) {
                last_sent = share;
                on_share_changed(volume, edge, share);
            }
            if (holding.serves || holding.bound > 0) {
                keep(volume, edge, &holding);
                ++entry;
                continue;
            }
            // The edge may use nothing of this limit and does not serve the volume.
            keep(volume, edge, nullptr);
            forget(volume, edge);
            entry = holdings.erase(entry);
        }
        if (holdings.empty())
            volumes_.erase(it);
    }
}

} // namespace knotvane::planner
