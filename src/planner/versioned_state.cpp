#include "planner/versioned_state.hpp"

#include <algorithm>
#include <iterator>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// Above this number of changes the oldest are discarded, and edges that missed them get the full
// state. It is a few times the changes of a cluster's bad hour and takes a few megabytes.
constexpr std::size_t max_changes = 1 << 16;

} // namespace

void VersionedState::stamp(const Key &key) {
    auto &changes = key.kind == Kind::quota_share ? per_edge_[EdgeId{key.edge}] : common_;
    auto version = open_version();
    if (auto it = changes.last.find(key); it != changes.last.end())
        changes.order.erase({it->second, key});
    changes.last[key] = version;
    changes.order.insert({version, key});
    changed_.insert(key);
    if (!has(key))
        last_drop_ = version;
    if (changes.order.size() <= max_changes)
        return;
    auto first = changes.order.begin();
    oldest_ = std::max(oldest_, first->first);
    changes.last.erase(first->second);
    changes.order.erase(first);
}

void VersionedState::put_quota_share(EdgeId edge, VolumeId volume,
                                     const control::QuotaShare &share) {
    auto &shares = quota_shares_[edge];
    auto it = shares.find(volume);
    if (share == control::QuotaShare{}) {
        if (it == shares.end())
            return;
        shares.erase(it);
    } else {
        if (it != shares.end() && it->second == share)
            return;
        shares[volume] = share;
    }
    stamp({Kind::quota_share, edge.value, volume.value});
}

void VersionedState::drop(NodeId id) {
    if (!cluster_state_.nodes.contains(id))
        return;
    cluster_state_.drop(id);
    stamp({Kind::node, 0, id.value});
}

void VersionedState::drop(PlanId id) {
    if (!cluster_state_.plans.contains(id))
        return;
    cluster_state_.drop(id);
    stamp({Kind::plan, 0, id.value});
}

void VersionedState::drop_volume(VolumeId id) {
    if (!cluster_state_.volumes.contains(id))
        return;
    cluster_state_.drop_volume(id);
    stamp({Kind::volume, 0, id.value});
}

bool VersionedState::close() {
    if (changed_.empty())
        return false;
    version_ = open_version();
    changed_.clear();
    return true;
}

void VersionedState::restore(Version version, Version oldest) {
    version_ = version;
    oldest_ = oldest;
    changed_.clear();
}

const control::QuotaShare *VersionedState::quota_share(EdgeId edge, VolumeId volume) const {
    auto shares = quota_shares_.find(edge);
    if (shares == quota_shares_.end())
        return nullptr;
    auto it = shares->second.find(volume);
    return it == shares->second.end() ? nullptr : &it->second;
}

bool VersionedState::has(const Key &key) const {
    switch (key.kind) {
    case Kind::plan:
        return cluster_state_.plans.contains(PlanId{static_cast<std::uint32_t>(key.id)});
    case Kind::volume:
        return cluster_state_.volumes.contains(VolumeId{key.id});
    case Kind::node:
        return cluster_state_.nodes.contains(NodeId{key.id});
    case Kind::quota_share:
        return quota_share(EdgeId{key.edge}, VolumeId{key.id}) != nullptr;
    }
    return false;
}

std::string VersionedState::encode_entry(const Key &key) const {
    using control::encode;
    const bool exists = has(key);
    const VolumeId volume{key.id};
    switch (key.kind) {
    case Kind::plan: {
        const PlanId plan{static_cast<std::uint32_t>(key.id)};
        return exists ? encode(control::PlanUpdate{plan, cluster_state_.plans.at(plan)})
                      : encode(control::PlanRemoval{plan});
    }
    case Kind::volume:
        return exists ? encode(control::VolumeUpdate{volume, cluster_state_.volumes.at(volume)})
                      : encode(control::VolumeRemoval{volume});
    case Kind::node: {
        const NodeId node{key.id};
        return exists ? encode(control::NodeUpdate{node, cluster_state_.nodes.at(node)})
                      : encode(control::NodeRemoval{node});
    }
    case Kind::quota_share:
        return exists ? encode(control::QuotaShareUpdate{volume,
                                                         *quota_share(EdgeId{key.edge}, volume)})
                      : encode(control::QuotaShareRemoval{volume});
    }
    return {};
}

// Returns each entry once, however often it changed.
std::vector<VersionedState::Key> VersionedState::changed_since(EdgeId edge, Version from) const {
    std::vector<Key> out;
    const std::pair first{Version{from.value + 1}, Key{Kind::plan, 0, 0}};
    auto collect = [&](const Changes &changes) {
        for (auto it = changes.order.lower_bound(first); it != changes.order.end(); ++it)
            out.push_back(it->second);
    };
    collect(common_);
    if (auto own = per_edge_.find(edge); own != per_edge_.end())
        collect(own->second);
    std::sort(out.begin(), out.end());
    return out;
}

std::uint64_t VersionedState::encode_all(EdgeId edge, std::string &out) const {
    std::uint64_t count =
        cluster_state_.plans.size() + cluster_state_.volumes.size() + cluster_state_.nodes.size();
    for (const auto &[id, plan] : cluster_state_.plans)
        out += control::encode(control::PlanUpdate{id, plan});
    for (const auto &[id, volume] : cluster_state_.volumes)
        out += control::encode(control::VolumeUpdate{id, volume});
    for (const auto &[id, node] : cluster_state_.nodes)
        out += control::encode(control::NodeUpdate{id, node});
    if (auto shares = quota_shares_.find(edge); shares != quota_shares_.end()) {
        count += shares->second.size();
        for (const auto &[id, share] : shares->second)
            out += control::encode(control::QuotaShareUpdate{id, share});
    }
    return count;
}

std::uint64_t VersionedState::append_update_since(EdgeId edge, Version &from,
                                                  std::string &out) const {
    if (from != Version{0} && from >= oldest_ && from <= version_) {
        auto changed = changed_since(edge, from);
        auto all = cluster_state_.nodes.size() + cluster_state_.plans.size() +
                   cluster_state_.volumes.size();
        if (changed.size() <= all) {
            for (const auto &key : changed)
                out += encode_entry(key);
            return changed.size();
        }
    }
    // Sends the full state, also if it is shorter than the changes.
    from = Version{0};
    return encode_all(edge, out);
}

} // namespace knotvane::planner
