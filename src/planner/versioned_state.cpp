#include "planner/versioned_state.hpp"

#include <algorithm>
#include <iterator>

#include "control/messages.hpp"

namespace knotvane::planner {
namespace {
// Past so many changes the oldest are forgotten, and who missed them gets the whole: a few times
// what a fleet's bad hour brings, and a few megabytes.
constexpr std::size_t most_changes = 1 << 16;
} // namespace

void VersionedState::stamp(const Key &key) {
    auto &to = key.kind == Kind::part ? own_[EdgeId{key.edge}] : common_;
    auto at = next();
    if (auto it = to.at.find(key); it != to.at.end())
        to.order.erase({it->second, key});
    to.at[key] = at;
    to.order.insert({at, key});
    changed_.insert(key);
    if (!has(key))
        dropped_ = at;
    if (to.order.size() <= most_changes)
        return;
    auto first = to.order.begin();
    oldest_ = std::max(oldest_, first->first);
    to.at.erase(first->second);
    to.order.erase(first);
}

void VersionedState::put_quota_share(EdgeId edge, VolumeId volume,
                                     const control::QuotaShare &part) {
    auto &mine = allocation_[edge];
    auto it = mine.find(volume);
    if (part == control::QuotaShare{}) {
        if (it == mine.end())
            return;
        mine.erase(it);
    } else {
        if (it != mine.end() && it->second == part)
            return;
        mine[volume] = part;
    }
    stamp({Kind::part, edge.value, volume.value});
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
    version_ = next();
    changed_.clear();
    return true;
}

const control::QuotaShare *VersionedState::part(EdgeId edge, VolumeId volume) const {
    auto e = allocation_.find(edge);
    if (e == allocation_.end())
        return nullptr;
    auto it = e->second.find(volume);
    return it == e->second.end() ? nullptr : &it->second;
}
bool VersionedState::has(const Key &key) const {
    switch (key.kind) {
    case Kind::plan:
        return cluster_state_.plans.contains(PlanId{static_cast<std::uint32_t>(key.id)});
    case Kind::volume:
        return cluster_state_.volumes.contains(VolumeId{key.id});
    case Kind::node:
        return cluster_state_.nodes.contains(NodeId{key.id});
    case Kind::part:
        return part(EdgeId{key.edge}, VolumeId{key.id}) != nullptr;
    }
    return false;
}

void VersionedState::tell(const Key &key, std::string &out) const {
    bool there = has(key);
    switch (key.kind) {
    case Kind::plan: {
        PlanId id{static_cast<std::uint32_t>(key.id)};
        out += there ? control::put(id, cluster_state_.plans.at(id)) : control::drop(id);
        break;
    }
    case Kind::volume: {
        VolumeId id{key.id};
        out += there ? control::put(id, cluster_state_.volumes.at(id)) : control::drop_volume(id);
        break;
    }
    case Kind::node: {
        NodeId id{key.id};
        out += there ? control::put(id, cluster_state_.nodes.at(id)) : control::drop(id);
        break;
    }
    case Kind::part: {
        VolumeId id{key.id};
        out +=
            there ? control::put(id, *part(EdgeId{key.edge}, id)) : control::drop_quota_share(id);
        break;
    }
    }
}

std::uint64_t VersionedState::news(EdgeId edge, Version &from, std::string &out) const {
    auto own = own_.find(edge);
    if (from != Version{0} && from >= oldest_ && from <= version_) {
        // What it missed, each fact once however often it changed; the whole, if that is shorter.
        std::vector<Key> missed;
        auto after = std::pair{Version{from.value + 1}, Key{Kind::plan, 0, 0}};
        for (auto it = common_.order.lower_bound(after); it != common_.order.end(); ++it)
            missed.push_back(it->second);
        if (own != own_.end())
            for (auto it = own->second.order.lower_bound(after); it != own->second.order.end();
                 ++it)
                missed.push_back(it->second);
        std::sort(missed.begin(), missed.end());
        if (missed.size() <= cluster_state_.nodes.size() + cluster_state_.plans.size() +
                                 cluster_state_.volumes.size()) {
            for (auto &key : missed)
                tell(key, out);
            return missed.size();
        }
    }
    from = Version{0};
    std::uint64_t count = 0;
    for (auto &[id, p] : cluster_state_.plans)
        out += control::put(id, p), ++count;
    for (auto &[id, v] : cluster_state_.volumes)
        out += control::put(id, v), ++count;
    for (auto &[id, n] : cluster_state_.nodes)
        out += control::put(id, n), ++count;
    if (auto mine = allocation_.find(edge); mine != allocation_.end())
        for (auto &[id, p] : mine->second)
            out += control::put(id, p), ++count;
    return count;
}

} // namespace knotvane::planner
