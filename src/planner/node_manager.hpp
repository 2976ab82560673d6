/// \file
/// Decides which nodes are in the cluster and which of them are draining.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "planner/config.hpp"
#include "planner/context.hpp"
#include "planner/node_liveness.hpp"

namespace knotvane::planner {

/// Derives each node's state from the settings, operators' drains and the node's liveness.
class NodeManager {
public:
    NodeManager(PlannerContext &context, const PlannerConfig &config)
        : context_(context), config_(config) {}

    /// Since when a node has been draining.
    struct DrainStart {
        Version version; ///< the state version that announced the drain
        Time at = 0;
    };

    void restore_drain(NodeId node) { drained_.insert(node); }

    /// To be called after all rows were restored. Nodes that were members get the usual time to
    /// register again.
    void start();

    /// Why a node's registration is rejected; empty if it is accepted.
    std::string refusal(const control::NodeHello &hello) const;
    void registered(const control::NodeHello &hello);
    void renewed(NodeId node) { liveness(node).renewed(context_.now); }
    void reachability_reported(EdgeId edge, const control::ReachabilityReport &report);
    void edge_disconnected(EdgeId edge);

    /// Restores drains that an edge still knows of after the store was lost.
    void restore_drains_known_to_edge(const std::vector<NodeId> &draining);
    void drain(SessionId session, const control::DrainRequest &request);

    /// Updates the state of each node, and asks edges whether they reach silent nodes.
    /// \param edges  the number of edges that hold a lease
    void decide(std::size_t edges);

    /// Removes a node that the new settings omit.
    void remove(NodeId node);
    Time next_due() const;

    /// Empty if the node is not draining.
    std::optional<DrainStart> drain_start(NodeId node) const;
    bool is_drained_by_operator(NodeId node) const { return drained_.contains(node); }

    /// Null if the planner does not track the node yet.
    const NodeLiveness *find_liveness(NodeId node) const;

private:
    // The effect that starting or ending a drain would have.
    struct Effect {
        bool possible = false;
        bool shard_stays_available = false; // another ready node serves the shard
        std::string text;
    };

    Effect effect(NodeId node, bool draining) const;
    Effect drain_effect(NodeId node, const std::string &subject) const;
    NodeLiveness &liveness(NodeId node) {
        return liveness_.try_emplace(node, config_).first->second;
    }
    void set_state(NodeId id, const DesiredState::Node &desired, const NodeLiveness &liveness,
                   NodeState state);

    PlannerContext &context_;
    const PlannerConfig &config_;
    std::map<NodeId, NodeLiveness> liveness_;
    std::set<NodeId> drained_; // by an operator
    std::map<NodeId, DrainStart> drain_starts_;
};

/// A node's state as logs and status name it.
const char *name(NodeState state);

} // namespace knotvane::planner
