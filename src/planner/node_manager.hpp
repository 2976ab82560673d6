/// \file
/// Which nodes are in the cluster, and which of them drain.
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

/// Joins the settings, an operator's drains and each node's liveness to the nodes' states.
class NodeManager {
public:
    NodeManager(PlannerContext &context, const PlannerConfig &config)
        : context_(context), config_(config) {}

    /// Since when a node has been draining.
    struct DrainStart {
        Version version; ///< that told the drain
        Time at = 0;
    };

    void restore_drain(NodeId node) { drained_.insert(node); }

    /// After all rows: nodes that were in have as long as any to register again.
    void start();

    /// Why a node that registers is not taken; empty where it is.
    std::string refusal(const control::NodeHello &hello) const;
    void registered(const control::NodeHello &hello);
    void renewed(NodeId node) { liveness(node).renewed(context_.now); }
    void reachability_reported(EdgeId edge, const control::ReachabilityReport &report);
    void edge_disconnected(EdgeId edge);

    /// The store that knew of these drains is lost; an edge still does.
    void adopt_drains(const std::vector<NodeId> &draining);
    void drain(SessionId session, const control::DrainRequest &request);

    /// Decides the state of each node, and asks edges about silent ones.
    /// \param edges  that hold a lease
    void decide(std::size_t edges);

    /// The settings leave the node out.
    void remove(NodeId node);
    Time next_due() const;

    /// Nothing where it does not drain.
    std::optional<DrainStart> drain_start(NodeId node) const;
    bool is_drained_by_operator(NodeId node) const { return drained_.contains(node); }

    /// Null where nothing was heard of it yet.
    const NodeLiveness *find_liveness(NodeId node) const;

private:
    // What a drain, or its end, would do.
    struct Effect {
        bool possible = false;
        bool harmless = false; // the shard is served on
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
