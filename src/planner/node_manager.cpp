#include "planner/node_manager.hpp"

#include <algorithm>
#include <limits>

#include "control/encode.hpp"

namespace knotvane::planner {

const char *name(NodeState state) {
    switch (state) {
    case NodeState::draining:
        return "draining";
    case NodeState::removed:
        return "gone"; // as the status JSON names this state
    case NodeState::ready:
        return "ready";
    }
    return "unknown";
}

void NodeManager::start() {
    for (const auto &[id, node] : context_.state.cluster_state().nodes) {
        if (node.state == NodeState::removed)
            continue;
        liveness(id).restore(context_.now, node.address, node.incarnation, node.started);
        if (node.state == NodeState::draining)
            drain_starts_[id] = {context_.state.version(), context_.now};
    }
}

std::string NodeManager::refusal(const control::NodeHello &hello) const {
    auto it = context_.desired.nodes.find(hello.node);
    if (it == context_.desired.nodes.end())
        return "the fleet settings don't list this node";
    const auto &desired = it->second;
    if (desired.shard != hello.shard || desired.zone != hello.zone)
        return "it reports shard " + text(hello.shard) + ", zone " + text(hello.zone) +
               "; the fleet settings expect shard " + text(desired.shard) + ", zone " +
               text(desired.zone);
    return {};
}

void NodeManager::registered(const control::NodeHello &hello) {
    liveness(hello.node)
        .registered(context_.now, hello.address, hello.incarnation, context_.now - hello.age);
}

void NodeManager::reachability_reported(EdgeId edge, const control::ReachabilityReport &report) {
    if (auto it = liveness_.find(report.node); it != liveness_.end())
        it->second.report(edge, report.reachable);
}

void NodeManager::edge_disconnected(EdgeId edge) {
    for (auto &[node, liveness] : liveness_)
        liveness.drop_reports(edge);
}

// ---- Drains.

void NodeManager::restore_drains_known_to_edge(const std::vector<NodeId> &draining) {
    for (auto node : draining) {
        if (!context_.desired.nodes.contains(node) || !drained_.insert(node).second)
            continue;
        context_.store.put(StateStore::Row::drained_node, node.value, 0,
                           context_.state.open_version(), {});
        context_.commit_due = true;
    }
}

NodeManager::Effect NodeManager::drain_effect(NodeId node, const std::string &subject) const {
    const auto &desired = context_.desired.nodes.at(node);
    std::string others;
    for (const auto &[id, other] : context_.state.cluster_state().nodes)
        if (id != node && other.shard == desired.shard && other.state == NodeState::ready)
            others += (others.empty() ? "" : ", ") + text(id);
    const bool shard_stays_available = !others.empty();
    if (drained_.contains(node) || desired.draining)
        return {true, shard_stays_available,
                subject + "is draining already" +
                    (desired.draining ? " by the fleet settings" : "")};
    return {true, shard_stays_available,
            subject + "would get no new work from any of " +
                std::to_string(context_.sessions.edges.size()) + " edges; " +
                (shard_stays_available
                     ? "its shard remains available at node " + others
                     : "no other ready node holds its shard, whose requests would wait and be "
                       "denied until one does")};
}

NodeManager::Effect NodeManager::effect(NodeId node, bool draining) const {
    auto desired = context_.desired.nodes.find(node);
    if (desired == context_.desired.nodes.end())
        return {false, false,
                "node " + text(node) + " is not in the fleet settings; nothing to do"};
    const auto &nodes = context_.state.cluster_state().nodes;
    auto it = nodes.find(node);
    const auto subject = "node " + text(node) + " (shard " + text(desired->second.shard) + ", " +
                         (it == nodes.end() ? "not registered" : name(it->second.state)) + "): ";
    if (draining)
        return drain_effect(node, subject);
    if (desired->second.draining)
        return {false, false,
                subject + "is draining by the fleet settings: change its state there"};
    return {true, true,
            drained_.contains(node) ? subject + "would get new work again from " +
                                          std::to_string(context_.sessions.edges.size()) + " edges"
                                    : subject + "is not drained by an operator; nothing to do"};
}

void NodeManager::drain(SessionId session, const control::DrainRequest &request) {
    using Row = StateStore::Row;
    const auto [possible, shard_stays_available, what] = effect(request.node, request.draining);
    const bool wanted = request.mode == control::DrainMode::force ||
                        (request.mode == control::DrainMode::apply && shard_stays_available);
    if (!possible || !wanted) {
        context_.transport.send(session, control::encode(control::OperationResult{
                                             possible && shard_stays_available, false, what}));
        return;
    }
    if (request.draining && drained_.insert(request.node).second)
        context_.store.put(Row::drained_node, request.node.value, 0, context_.state.open_version(),
                           {});
    if (!request.draining && drained_.erase(request.node))
        context_.store.erase(Row::drained_node, request.node.value, 0);
    context_.transport.log_event(
        "operator: " + std::string(request.draining ? "drain" : "undrain") + " node " +
        text(request.node));
    context_.commit_due = true;
    context_.replies_after_commit.emplace_back(
        session, control::encode(control::OperationResult{true, true, what}));
}

// ---- States.

void NodeManager::decide(std::size_t edges) {
    for (const auto &[id, desired] : context_.desired.nodes) {
        auto &liveness = this->liveness(id);
        if (!desired.address.empty()) // it does not register
            liveness.registered(context_.now, desired.address, 1, 0);
        const bool is_member = liveness.update(context_.now, edges);
        if (!liveness.has_registered())
            continue;
        if (liveness.should_request_reports(context_.now))
            for (const auto &[edge, session] : context_.sessions.edges)
                context_.transport.send(session, control::encode(control::ReachabilityRequest{id}));
        if (!is_member)
            set_state(id, desired, liveness, NodeState::removed);
        else if (desired.draining || drained_.contains(id))
            set_state(id, desired, liveness, NodeState::draining);
        else
            set_state(id, desired, liveness, NodeState::ready);
    }
}

void NodeManager::set_state(NodeId id, const DesiredState::Node &desired,
                            const NodeLiveness &liveness, NodeState state) {
    const auto &nodes = context_.state.cluster_state().nodes;
    if (auto it = nodes.find(id); it == nodes.end() || it->second.state != state)
        context_.transport.log_event("node " + text(id) + " is " + name(state));
    context_.state.put(id, control::Node{liveness.address(), desired.shard, desired.zone, state,
                                         liveness.started(), liveness.incarnation()});
    if (state == NodeState::draining)
        drain_starts_.try_emplace(id, DrainStart{context_.state.open_version(), context_.now});
    else
        drain_starts_.erase(id);
}

void NodeManager::remove(NodeId node) {
    context_.state.drop(node);
    liveness_.erase(node);
    drain_starts_.erase(node);
    if (drained_.erase(node))
        context_.store.erase(StateStore::Row::drained_node, node.value, 0);
}

Time NodeManager::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[id, liveness] : liveness_)
        due = std::min(due, liveness.next_due());
    return due;
}

std::optional<NodeManager::DrainStart> NodeManager::drain_start(NodeId node) const {
    auto it = drain_starts_.find(node);
    return it == drain_starts_.end() ? std::nullopt : std::optional(it->second);
}

const NodeLiveness *NodeManager::find_liveness(NodeId node) const {
    auto it = liveness_.find(node);
    return it == liveness_.end() ? nullptr : &it->second;
}

} // namespace knotvane::planner
