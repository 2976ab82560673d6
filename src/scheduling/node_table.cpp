#include "scheduling/node_table.hpp"

#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {

void NodeTable::begin_list(EndpointListKind kind) {
    list_kind_ = kind;
    for (auto &[id, node] : nodes_)
        node.in_current_list = false;
}

void NodeTable::apply_endpoint(const Endpoint &endpoint, Time now, const SchedulerConfig &config,
                               const SlowStart &slow_start) {
    auto [it, is_new] = nodes_.try_emplace(endpoint.node, endpoint.node, config.scheduler_count,
                                           config.units.largest);
    NodeRecord &node = it->second;
    node.in_current_list = true;
    node.location.shard = endpoint.shard;
    node.location.zone = endpoint.zone;
    node.state = endpoint.state;
    if (endpoint.started_at > node.started_at) {
        node.started_at = endpoint.started_at;
        node.health.node_restarted(now);
        slow_start.node_started(node.slow_start, endpoint.started_at);
    }
}

std::vector<NodeRecord *> NodeTable::end_list(Time now) {
    std::vector<NodeRecord *> not_ready;
    placement_.clear();
    for (auto &[id, node] : nodes_) {
        if (list_kind_ == EndpointListKind::full && !node.in_current_list)
            node.state = NodeState::removed;
        if (node.state != NodeState::removed)
            node.removed_at = never;
        else if (node.removed_at == never) {
            node.removed_at = now;
            removals_.emplace_back(now, id);
        }
        if (node.state == NodeState::ready)
            placement_.add(node);
        else
            not_ready.push_back(&node);
    }
    return not_ready;
}

void NodeTable::erase_removed(Time removed_until) {
    std::vector<std::pair<Time, NodeId>> in_use;
    while (!removals_.empty() && removals_.front().first <= removed_until) {
        auto [removed_at, id] = removals_.front();
        removals_.pop_front();
        auto it = nodes_.find(id);
        // Listed again, and perhaps removed again later.
        if (it == nodes_.end() || it->second.removed_at != removed_at)
            continue;
        if (it->second.in_use())
            in_use.emplace_back(removed_at, id);
        else
            nodes_.erase(it);
    }
    removals_.insert(removals_.begin(), in_use.begin(), in_use.end());
}

} // namespace knotvane::scheduling
