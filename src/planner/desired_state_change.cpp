#include "planner/desired_state_change.hpp"

#include <algorithm>
#include <map>

#include "planner/state_rows.hpp"

namespace knotvane::planner {

std::vector<DesiredStateFault> DesiredStateChange::check(const DesiredState &desired) const {
    Faults faults;
    check_nodes(desired, faults);
    check_volumes(desired, faults);
    check_snapshots(desired, faults);
    return faults;
}

// A node may be omitted after it has drained for drain_time and every connected edge with a lease
// has acknowledged the drain: no edge sends it requests then.
bool DesiredStateChange::may_omit(NodeId node) const {
    const auto &nodes = context_.state.cluster_state().nodes;
    auto it = nodes.find(node);
    if (it == nodes.end() || it->second.state == NodeState::removed)
        return true;
    const auto drain = nodes_.drain_start(node);
    if (!drain || context_.now - drain->at < config_.drain_time)
        return false;
    const auto &edges = context_.sessions.edges;
    return std::all_of(edges.begin(), edges.end(), [&](const auto &entry) {
        const auto &[edge, session] = entry;
        return quotas_.leases().stage(edge) != LeaseTable::Stage::held ||
               context_.sessions.all.at(session).edge_view.acknowledged >= drain->version;
    });
}

void DesiredStateChange::check_nodes(const DesiredState &desired, Faults &faults) const {
    for (const auto &[id, node] : context_.desired.nodes) {
        auto it = desired.nodes.find(id);
        if (it != desired.nodes.end()) {
            if (it->second.shard != node.shard)
                faults.push_back({it->second.line, "node " + text(id) + " holds shard " +
                                                       text(node.shard) +
                                                       " and can't change to another"});
            continue;
        }
        if (!may_omit(id))
            faults.push_back(
                {0, "node " + text(id) +
                        " is omitted but still in use: drain it first, and remove it once "
                        "every edge has known of the drain for " +
                        std::to_string(config_.drain_time / ms) + "ms"});
    }
}

void DesiredStateChange::check_omitted(VolumeId id, const std::string &name, Faults &faults) const {
    for (const auto &[other, volume] : context_.state.cluster_state().volumes)
        if (volume.is_snapshot_or_clone() && volume.resolve_layout_volume(other) == id)
            faults.push_back({0, "volume " + name + " is omitted but has a snapshot or clone, " +
                                     volume.name + ": drop it first"});
    if (const auto sharers = quotas_.allocation().sharers(id); sharers > 0)
        faults.push_back({0, "volume " + name + " is omitted but has clients at " +
                                 std::to_string(sharers) + " edges"});
}

void DesiredStateChange::check_volumes(const DesiredState &desired, Faults &faults) const {
    for (const auto &[id, current] : context_.desired.volumes) {
        auto it = desired.volumes.find(id);
        if (it == desired.volumes.end())
            check_omitted(id, current.volume.name, faults);
        else if (it->second.volume.size < current.volume.size)
            faults.push_back({it->second.line, "volume " + current.volume.name +
                                                   " would shrink from " +
                                                   std::to_string(current.volume.size) + " bytes"});
    }
}

// Snapshots and clones are created by operators, not by the settings; settings must keep their
// plans and must not reuse their names.
void DesiredStateChange::check_snapshots(const DesiredState &desired, Faults &faults) const {
    const auto &state = context_.state.cluster_state();
    for (const auto &[id, snapshot] : state.volumes) {
        if (!snapshot.is_snapshot_or_clone())
            continue;
        auto plan = state.plans.find(snapshot.plan);
        if (snapshot.resolve_quota_volume(id) == id && plan != state.plans.end() &&
            !desired.plans.contains(plan->second.name))
            faults.push_back({0, "plan " + plan->second.name +
                                     " is omitted but used by snapshot or clone " + snapshot.name});
        for (const auto &[other, volume] : desired.volumes)
            if (volume.volume.name == snapshot.name)
                faults.push_back({volume.line, "volume " + snapshot.name +
                                                   ": a snapshot or clone has this name already"});
    }
}

void DesiredStateChange::apply(const DesiredState &desired) {
    apply_nodes(desired);
    apply_plans_and_volumes(desired);
    context_.desired = desired;
    for (const auto &[id, node] : desired.nodes)
        context_.store.put(StateStore::Row::desired_node, id.value, 0, Version{1},
                           encode_row(id, node));
    context_.commit_due = true;
    context_.transport.log_event("fleet settings applied: version " +
                                 std::to_string(desired.version) + ", " +
                                 std::to_string(desired.nodes.size()) + " nodes, " +
                                 std::to_string(desired.volumes.size()) + " volumes");
}

void DesiredStateChange::apply_nodes(const DesiredState &desired) {
    for (const auto &[id, node] : context_.desired.nodes) {
        if (desired.nodes.contains(id))
            continue;
        nodes_.remove(id);
        context_.store.erase(StateStore::Row::desired_node, id.value, 0);
    }
}

void DesiredStateChange::apply_plans_and_volumes(const DesiredState &desired) {
    auto &state = context_.state;
    const auto &cluster = state.cluster_state();
    std::map<std::string, PlanId> plan_ids;
    std::uint32_t next_id = 0;
    for (const auto &[id, plan] : cluster.plans) {
        plan_ids[plan.name] = id;
        next_id = std::max(next_id, id.value + 1);
    }
    for (const auto &[name, plan] : desired.plans) {
        auto [it, is_new] = plan_ids.try_emplace(name, PlanId{next_id});
        next_id += is_new;
        state.put(it->second, plan);
    }

    for (const auto &[id, entry] : desired.volumes) {
        auto volume = entry.volume;
        volume.plan = plan_ids.at(entry.plan);
        if (auto it = cluster.volumes.find(id); it != cluster.volumes.end())
            volume.epoch = it->second.epoch;
        state.put(id, volume);
    }
    std::vector<VolumeId> omitted;
    for (const auto &[id, volume] : cluster.volumes)
        if (!desired.volumes.contains(id) && !volume.is_snapshot_or_clone())
            omitted.push_back(id);
    for (auto id : omitted)
        state.drop_volume(id);
    // After the volumes, which refer to plans.
    for (const auto &[name, id] : plan_ids)
        if (!desired.plans.contains(name))
            state.drop(id);
}

} // namespace knotvane::planner
