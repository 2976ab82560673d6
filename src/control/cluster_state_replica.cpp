#include "control/cluster_state_replica.hpp"

#include <utility>

namespace knotvane::control {
namespace {

// Limits one call of free_replaced_state to about 0.1 ms.
constexpr std::size_t max_entries_freed = 512;

// Returns true if the map still has entries.
template <class Map>
bool free_entries(Map &map) {
    for (std::size_t i = 0; i < max_entries_freed && !map.empty(); ++i)
        map.erase(map.begin());
    return !map.empty();
}

} // namespace

void ClusterStateReplica::begin(const UpdateBegin &update) {
    if (!incoming_.volumes.empty() || !incoming_.nodes.empty())
        replaced_.push_back(std::exchange(incoming_, {}));
    changes_.clear();
    next_update_ = update;
    received_entries_ = 0;
    open_ = true;
}

void ClusterStateReplica::apply(const NodeRemoval &entry) {
    add_change([id = entry.id](ClusterState &state) { state.drop(id); });
}

void ClusterStateReplica::apply(const PlanRemoval &entry) {
    add_change([id = entry.id](ClusterState &state) { state.drop(id); });
}

void ClusterStateReplica::apply(const VolumeRemoval &entry) {
    add_change([id = entry.id](ClusterState &state) { state.drop_volume(id); });
}

void ClusterStateReplica::apply(const QuotaShareRemoval &entry) {
    add_change([id = entry.volume](ClusterState &state) { state.drop_quota_share(id); });
}

void ClusterStateReplica::add_change(Change change) {
    if (!open_)
        return;
    ++received_entries_;
    changes_.push_back(std::move(change));
}

UpdateResult ClusterStateReplica::classify(const UpdateEnd &update) const {
    const auto &next = next_update_;
    if (update.version != next.version || update.entries != received_entries_)
        return UpdateResult::malformed;
    if (next.term < update_.term ||
        (next.term == update_.term && next.instance != update_.instance))
        return UpdateResult::wrong_planner;

    // Version numbers continue from one term to the next; they only restart with a new store, which
    // has another lineage.
    bool comparable = update_.term != Term{0} && next.lineage == update_.lineage;
    if (comparable && next.version < update_.version)
        return UpdateResult::outdated;
    if (comparable && next.term == update_.term && next.version == update_.version)
        return UpdateResult::outdated;
    if (is_full())
        return UpdateResult::full_state_applied;
    return comparable && next.from_version == update_.version ? UpdateResult::changes_applied
                                                              : UpdateResult::version_gap;
}

UpdateResult ClusterStateReplica::end(const UpdateEnd &update) {
    if (!std::exchange(open_, false))
        return UpdateResult::malformed;
    auto result = classify(update);
    if (result == UpdateResult::full_state_applied)
        replace_state();
    else if (result == UpdateResult::changes_applied)
        apply_changes();
    else
        return result;
    update_ = next_update_;
    return result;
}

void ClusterStateReplica::replace_state() {
    nodes_changed_ = incoming_.nodes != current_.nodes;
    plans_changed_ = incoming_.plans != current_.plans;
    replaced_.push_back(std::exchange(current_, std::exchange(incoming_, {})));
}

void ClusterStateReplica::apply_changes() {
    auto nodes = current_.nodes;
    auto plans = current_.plans;
    for (auto &change : changes_)
        change(current_);
    nodes_changed_ = nodes != current_.nodes;
    plans_changed_ = plans != current_.plans;
    changes_.clear();
}

bool ClusterStateReplica::free_replaced_state() {
    if (replaced_.empty())
        return false;
    auto &state = replaced_.back();
    if (!free_entries(state.volumes) && !free_entries(state.names) &&
        !free_entries(state.quota_shares))
        replaced_.pop_back();
    return !replaced_.empty();
}

} // namespace knotvane::control
