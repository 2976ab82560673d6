#include "planner/snapshot_coordinator.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace knotvane::planner {
namespace {

// Upper bound of the time for which an edge holds writes, by its own clock from the arrival of the
// order. Far below any client timeout, and about a hundred round trips between sites.
constexpr Time max_hold = 500 * ms;
// An edge that does not hold writes by then is excluded: nodes delay its writes until the snapshot
// is sealed.
constexpr Time ready_timeout = 100 * ms;
// Time from the start until all nodes have opened the snapshot. Below max_hold by more than a round
// trip, because edges must receive the order to resume before their hold expires.
constexpr Time open_timeout = 400 * ms;
// Time for edges to acknowledge the order to resume.
constexpr Time resume_timeout = sec;
// Time for writes of earlier epochs to end. Longer than any client timeout in use.
constexpr Time drain_timeout = 15 * sec;
// Time to make a snapshot durable; a node may have much data to flush.
constexpr Time seal_timeout = 15 * sec;
constexpr Time clone_timeout = 15 * sec;
// Interval at which the order to drop a snapshot is repeated.
constexpr Time drop_interval = 2 * sec;
// Maximum number of ids listed in a text for operators.
constexpr std::size_t max_ids_listed = 5;

template <class Ids>
std::string join_ids(const Ids &ids) {
    std::string out;
    std::size_t listed = 0;
    for (auto id : ids) {
        if (listed++ == max_ids_listed)
            return out + ", ... (" + std::to_string(ids.size()) + ")";
        out += (out.empty() ? "" : ", ") + std::to_string(id.value);
    }
    return out;
}

} // namespace

const char *SnapshotCoordinator::awaited_action(Phase phase) {
    switch (phase) {
    case Phase::holding:
        return "edges to hold their writes";
    case Phase::opening:
        return "nodes to open the snapshot";
    case Phase::resuming:
        return "edges to resume their writes";
    case Phase::draining:
        return "writes of earlier epochs to end";
    case Phase::sealing:
        return "nodes to seal the snapshot";
    case Phase::cloning:
        return "nodes to create the clone";
    }
    return "";
}

void SnapshotCoordinator::begin_snapshot(Time now, VolumeId volume, VolumeId snapshot,
                                         std::uint32_t epoch, std::set<EdgeId> edges,
                                         std::set<NodeId> nodes) {
    auto &run = running_[snapshot];
    run.source = volume;
    run.epoch = epoch;
    run.began_at = now;
    run.deadline = now + ready_timeout;
    run.edges = std::move(edges);
    run.awaited_edges = run.edges;
    run.nodes = std::move(nodes);
    for (auto edge : run.edges)
        actions_.hold_writes(edge, volume, snapshot, epoch, max_hold);
    advance(now, snapshot, run);
}

void SnapshotCoordinator::begin_clone(Time now, VolumeId source, VolumeId clone,
                                      std::set<NodeId> nodes) {
    auto &run = running_[clone];
    run.source = source;
    run.phase = Phase::cloning;
    run.began_at = now;
    run.deadline = now + clone_timeout;
    run.nodes = std::move(nodes);
    run.awaited_nodes = run.nodes;
    for (auto node : run.nodes)
        actions_.open_clone(node, source, clone);
}

void SnapshotCoordinator::enter_opening(Time now, VolumeId snapshot, Run &run) {
    run.phase = Phase::opening;
    run.deadline = run.began_at + open_timeout;
    run.awaited_nodes = run.nodes;
    // An edge that does not hold writes is not among the late writers, so it can't change the
    // snapshot. This covers slow edges and edges that the planner does not know of.
    for (auto edge : run.awaited_edges)
        actions_.cancel_hold(edge, run.source, snapshot);
    run.awaited_edges.clear();
    // Identified by process rather than by edge, because an edge that restarts meanwhile may have
    // an old state.
    std::vector<control::EdgeIncarnation> late_writers;
    for (const auto &[edge, incarnation] : run.holding_edges)
        late_writers.push_back(incarnation);
    for (auto node : run.nodes)
        actions_.open_snapshot(node, run.source, snapshot, run.epoch, late_writers);
    advance(now, snapshot, run);
}

// Enters the next phase, and the ones after it, while nothing is left to wait for.
void SnapshotCoordinator::advance(Time now, VolumeId snapshot, Run &run) {
    if (!run.awaited_edges.empty() || !run.awaited_nodes.empty())
        return;
    switch (run.phase) {
    case Phase::holding:
        return enter_opening(now, snapshot, run);
    case Phase::opening:
        enter_resuming(now, snapshot, run);
        return advance(now, snapshot, run);
    case Phase::resuming:
        enter_draining(now, run);
        return advance(now, snapshot, run);
    case Phase::draining:
        return enter_sealing(now, snapshot, run);
    case Phase::sealing:
    case Phase::cloning:
        running_.erase(snapshot);
        actions_.completed(snapshot);
    }
}

void SnapshotCoordinator::enter_resuming(Time now, VolumeId snapshot, Run &run) {
    run.phase = Phase::resuming;
    run.deadline = now + resume_timeout;
    for (const auto &[edge, incarnation] : run.holding_edges) {
        run.awaited_edges.insert(edge);
        actions_.resume_writes(edge, run.source, snapshot, run.epoch);
    }
}

void SnapshotCoordinator::enter_draining(Time now, Run &run) {
    run.phase = Phase::draining;
    run.deadline = now + drain_timeout;
    for (const auto &[edge, incarnation] : run.holding_edges)
        if (!run.drained_edges.contains(edge))
            run.awaited_edges.insert(edge);
}

void SnapshotCoordinator::enter_sealing(Time now, VolumeId snapshot, Run &run) {
    run.phase = Phase::sealing;
    run.deadline = now + seal_timeout;
    run.awaited_nodes = run.nodes;
    for (auto node : run.nodes)
        actions_.seal_snapshot(node, run.source, snapshot);
}

void SnapshotCoordinator::fail(VolumeId snapshot, const std::string &error, bool retry) {
    const auto run = std::move(running_.extract(snapshot).mapped());
    if (run.phase == Phase::holding || run.phase == Phase::opening)
        for (auto edge : run.edges)
            actions_.cancel_hold(edge, run.source, snapshot);
    actions_.failed(snapshot, error, retry);
}

// ---- Steps

// Returns false if the edge is too late; its hold is then cancelled unless it already takes part.
bool SnapshotCoordinator::add_holding_edge(EdgeId edge, control::EdgeIncarnation incarnation,
                                           VolumeId snapshot, Run &run) {
    if (run.phase != Phase::holding) {
        if (!run.holding_edges.contains(edge))
            actions_.cancel_hold(edge, run.source, snapshot);
        return false;
    }
    run.awaited_edges.erase(edge);
    run.holding_edges[edge] = incarnation;
    return true;
}

void SnapshotCoordinator::handle_edge_step(Time now, EdgeId edge,
                                           control::EdgeIncarnation incarnation, VolumeId snapshot,
                                           SnapshotStep step) {
    auto it = running_.find(snapshot);
    if (it == running_.end() || !it->second.edges.contains(edge))
        return;
    auto &run = it->second;
    switch (step) {
    case SnapshotStep::holding:
        if (!add_holding_edge(edge, incarnation, snapshot, run))
            return;
        break;
    case SnapshotStep::hold_expired:
        // The edge writes in the old epoch again while other edges may already write in the new
        // one, so the snapshot would be inconsistent.
        if (run.holding_edges.contains(edge))
            fail(snapshot,
                 "edge " + std::to_string(edge.value) +
                     "'s hold on writes expired before it was told to resume",
                 true);
        return;
    case SnapshotStep::drained:
        run.drained_edges.insert(edge);
        if (run.phase == Phase::draining)
            run.awaited_edges.erase(edge);
        break;
    case SnapshotStep::resumed:
        if (run.phase == Phase::resuming)
            run.awaited_edges.erase(edge);
        break;
    default:
        return;
    }
    advance(now, snapshot, run);
}

void SnapshotCoordinator::handle_drop(ShardId shard, VolumeId snapshot) {
    auto it = pending_drops_.find(snapshot);
    if (it == pending_drops_.end())
        return;
    it->second.erase(shard);
    if (!it->second.empty())
        return;
    pending_drops_.erase(it);
    actions_.dropped_everywhere(snapshot);
}

bool SnapshotCoordinator::expects(Phase phase, SnapshotStep step) {
    switch (step) {
    case SnapshotStep::opened:
        return phase == Phase::opening;
    case SnapshotStep::sealed:
        return phase == Phase::sealing;
    case SnapshotStep::cloned:
        return phase == Phase::cloning;
    default:
        return false;
    }
}

void SnapshotCoordinator::handle_node_step(Time now, NodeId node, ShardId shard, VolumeId snapshot,
                                           SnapshotStep step, SnapshotResult result) {
    if (step == SnapshotStep::dropped) {
        if (result == SnapshotResult::done)
            handle_drop(shard, snapshot);
        return;
    }
    auto it = running_.find(snapshot);
    if (it == running_.end())
        return;
    auto &run = it->second;
    if (!expects(run.phase, step) || !run.awaited_nodes.contains(node))
        return;
    if (result != SnapshotResult::done && result != SnapshotResult::already_done)
        return fail(snapshot,
                    "node " + std::to_string(node.value) +
                        (result == SnapshotResult::no_space
                             ? ": less than a tenth of its store is free"
                             : " reported a failure; see its log"),
                    false);
    run.awaited_nodes.erase(node);
    advance(now, snapshot, run);
}

// ---- Lost connections

void SnapshotCoordinator::edge_disconnected(Time now, EdgeId edge) {
    std::vector<VolumeId> affected;
    for (const auto &[snapshot, run] : running_)
        if (run.edges.contains(edge))
            affected.push_back(snapshot);
    for (auto snapshot : affected) {
        auto &run = running_.at(snapshot);
        run.edges.erase(edge);
        if (run.phase == Phase::holding) {
            // The edge ends its hold by itself. The snapshot continues without it.
            run.awaited_edges.erase(edge);
            run.holding_edges.erase(edge);
            advance(now, snapshot, run);
        } else if (run.holding_edges.contains(edge) && !run.drained_edges.contains(edge)) {
            fail(snapshot,
                 "edge " + std::to_string(edge.value) +
                     " disconnected before its writes of earlier epochs had ended",
                 true);
        }
    }
}

// The node may have restarted. An opened snapshot is not durable, and a restarted node no longer
// knows the late writers.
void SnapshotCoordinator::node_disconnected(NodeId node) {
    std::vector<VolumeId> affected;
    for (const auto &[snapshot, run] : running_)
        if (run.nodes.contains(node))
            affected.push_back(snapshot);
    for (auto snapshot : affected)
        fail(snapshot,
             "node " + std::to_string(node.value) + " disconnected before the end of the operation",
             true);
}

// ---- Dropping

void SnapshotCoordinator::drop_everywhere(VolumeId snapshot, std::set<ShardId> shards) {
    pending_drops_[snapshot] = std::move(shards);
    next_drop_at_ = 0; // send the orders at the next tick
}

void SnapshotCoordinator::node_connected(NodeId node, ShardId shard) {
    for (const auto &[snapshot, remaining_shards] : pending_drops_)
        if (remaining_shards.contains(shard))
            actions_.drop_snapshot(node, snapshot);
}

void SnapshotCoordinator::set_shards(const std::set<ShardId> &shards) {
    for (auto it = pending_drops_.begin(); it != pending_drops_.end();) {
        std::erase_if(it->second, [&](ShardId shard) { return !shards.contains(shard); });
        const auto snapshot = it->first;
        const bool is_complete = it->second.empty();
        it = is_complete ? pending_drops_.erase(it) : std::next(it);
        if (is_complete)
            actions_.dropped_everywhere(snapshot);
    }
}

// ---- Time

Time SnapshotCoordinator::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[snapshot, run] : running_)
        due = std::min(due, run.deadline);
    return pending_drops_.empty() ? due : std::min(due, next_drop_at_);
}

void SnapshotCoordinator::handle_timeout(Time now, VolumeId snapshot) {
    auto &run = running_.at(snapshot);
    if (run.phase == Phase::holding)
        return enter_opening(now, snapshot, run);
    std::string missing;
    if (!run.awaited_nodes.empty())
        missing = ": node " + join_ids(run.awaited_nodes);
    else if (!run.awaited_edges.empty())
        missing = ": edge " + join_ids(run.awaited_edges);
    fail(snapshot, std::string("timed out waiting for ") + awaited_action(run.phase) + missing,
         true);
}

void SnapshotCoordinator::tick(Time now, const std::map<NodeId, ShardId> &connected) {
    std::vector<VolumeId> expired;
    for (const auto &[snapshot, run] : running_)
        if (now >= run.deadline)
            expired.push_back(snapshot);
    for (auto snapshot : expired)
        handle_timeout(now, snapshot);
    if (pending_drops_.empty() || now < next_drop_at_)
        return;
    next_drop_at_ = now + drop_interval;
    for (const auto &[node, shard] : connected)
        node_connected(node, shard);
}

std::map<VolumeId, std::string> SnapshotCoordinator::describe_running() const {
    std::map<VolumeId, std::string> out;
    for (const auto &[snapshot, run] : running_) {
        auto awaited =
            run.awaited_nodes.empty() ? join_ids(run.awaited_edges) : join_ids(run.awaited_nodes);
        out[snapshot] = std::string("waiting for ") + awaited_action(run.phase) +
                        (awaited.empty() ? "" : " (" + awaited + ")");
    }
    return out;
}

} // namespace knotvane::planner
