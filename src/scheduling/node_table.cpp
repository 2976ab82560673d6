#include "scheduling/node_table.hpp"

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

std::vector<NodeRecord *> NodeTable::end_list() {
    std::vector<NodeRecord *> not_ready;
    placement_.clear();
    for (auto &[id, node] : nodes_) {
        if (list_kind_ == EndpointListKind::full && !node.in_current_list)
            node.state = NodeState::removed;
        if (node.state == NodeState::ready)
            placement_.add(node);
        else
            not_ready.push_back(&node);
    }
    return not_ready;
}

} // namespace knotvane::scheduling
