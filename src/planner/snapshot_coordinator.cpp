#include "planner/snapshot_coordinator.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace knotvane::planner {
namespace {

// How long an edge holds writes at most, by its own clock from the order's arrival. Far below any
// client timeout, some hundred round trips between sites.
constexpr Time max_hold = 500 * ms;
// An edge that does not hold by then is left out: its writes wait at the nodes until the snapshot
// is sealed.
constexpr Time ready_timeout = 100 * ms;
// From its begin until all nodes have opened the snapshot. Below max_hold by more than a round
// trip: edges must get the order to resume before they resume by themselves.
constexpr Time open_timeout = 400 * ms;
// Edges acknowledge the order to resume by then.
constexpr Time resume_timeout = sec;
// Writes that began before end by then: longer than any client timeout in use.
constexpr Time drain_timeout = 15 * sec;
// Making a snapshot durable: a node may have much to flush.
constexpr Time seal_timeout = 15 * sec;
constexpr Time clone_timeout = 15 * sec;
// How often nodes are told again of what they have to drop.
constexpr Time drop_interval = 2 * sec;
// Ids in one line for operators.
constexpr std::size_t max_ids_listed = 5;

template <class Ids>
std::string list(const Ids &ids) {
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
        return "edges to stop";
    case Phase::opening:
        return "nodes to cut";
    case Phase::resuming:
        return "edges to go on";
    case Phase::draining:
        return "changes to end";
    case Phase::sealing:
        return "nodes to seal";
    case Phase::cloning:
        return "nodes to clone";
    }
    return "";
}

void SnapshotCoordinator::begin_snapshot(Time now, VolumeId volume, VolumeId snapshot,
                                         std::uint32_t epoch, std::set<EdgeId> edges,
                                         std::set<NodeId> nodes) {
    auto &run = running_[snapshot];
    run.source = volume;
    run.epoch = epoch;
    run.began = now;
    run.deadline = now + ready_timeout;
    run.edges = std::move(edges);
    run.awaited = run.edges;
    run.nodes = std::move(nodes);
    for (auto edge : run.edges)
        actions_.hold(edge, volume, snapshot, epoch, max_hold);
    advance(now, snapshot, run);
}

void SnapshotCoordinator::begin_clone(Time now, VolumeId source, VolumeId clone,
                                      std::set<NodeId> nodes) {
    auto &run = running_[clone];
    run.source = source;
    run.phase = Phase::cloning;
    run.began = now;
    run.deadline = now + clone_timeout;
    run.nodes = std::move(nodes);
    run.awaited_nodes = run.nodes;
    for (auto node : run.nodes)
        actions_.clone(node, source, clone);
}

void SnapshotCoordinator::open(Time now, VolumeId snapshot, Run &run) {
    run.phase = Phase::opening;
    run.deadline = run.began + open_timeout;
    run.awaited_nodes = run.nodes;
    // Whoever does not hold is not among the late writers, and so can't change the snapshot: not a
    // slow edge, not one that the planner does not know of.
    for (auto edge : run.awaited)
        actions_.release(edge, run.source, snapshot);
    run.awaited.clear();
    // By process, not by edge: one that restarts in the middle may go by an old state.
    std::vector<control::EdgeIncarnation> late_writers;
    for (const auto &[edge, incarnation] : run.held)
        late_writers.push_back(incarnation);
    for (auto node : run.nodes)
        actions_.open(node, run.source, snapshot, run.epoch, late_writers);
    advance(now, snapshot, run);
}

// Enters each next phase for as long as the one before has all that it waits for.
void SnapshotCoordinator::advance(Time now, VolumeId snapshot, Run &run) {
    if (!run.awaited.empty() || !run.awaited_nodes.empty())
        return;
    switch (run.phase) {
    case Phase::holding:
        return open(now, snapshot, run);
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
    for (const auto &[edge, incarnation] : run.held) {
        run.awaited.insert(edge);
        actions_.resume(edge, run.source, snapshot, run.epoch);
    }
}

void SnapshotCoordinator::enter_draining(Time now, Run &run) {
    run.phase = Phase::draining;
    run.deadline = now + drain_timeout;
    for (const auto &[edge, incarnation] : run.held)
        if (!run.drained.contains(edge))
            run.awaited.insert(edge);
}

void SnapshotCoordinator::enter_sealing(Time now, VolumeId snapshot, Run &run) {
    run.phase = Phase::sealing;
    run.deadline = now + seal_timeout;
    run.awaited_nodes = run.nodes;
    for (auto node : run.nodes)
        actions_.seal(node, run.source, snapshot);
}

void SnapshotCoordinator::fail(VolumeId snapshot, const std::string &why, bool retry) {
    const auto run = std::move(running_.extract(snapshot).mapped());
    if (run.phase == Phase::holding || run.phase == Phase::opening)
        for (auto edge : run.edges)
            actions_.release(edge, run.source, snapshot);
    actions_.failed(snapshot, why, retry);
}

// ---- Steps.

// False where the edge is too late.
bool SnapshotCoordinator::edge_ready(EdgeId edge, control::EdgeIncarnation incarnation,
                                     VolumeId snapshot, Run &run) {
    if (run.phase != Phase::holding) {
        if (!run.held.contains(edge))
            actions_.release(edge, run.source, snapshot);
        return false;
    }
    run.awaited.erase(edge);
    run.held[edge] = incarnation;
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
        if (!edge_ready(edge, incarnation, snapshot, run))
            return;
        break;
    case SnapshotStep::hold_expired:
        // Guards against an edge that went on by itself, in the epoch before, while others are in
        // the new one.
        if (run.held.contains(edge))
            fail(snapshot,
                 "edge " + std::to_string(edge.value) + " held its changes back for too long",
                 true);
        return;
    case SnapshotStep::drained:
        run.drained.insert(edge);
        if (run.phase == Phase::draining)
            run.awaited.erase(edge);
        break;
    case SnapshotStep::resumed:
        if (run.phase == Phase::resuming)
            run.awaited.erase(edge);
        break;
    default:
        return;
    }
    advance(now, snapshot, run);
}

void SnapshotCoordinator::dropped(ShardId shard, VolumeId snapshot) {
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
            dropped(shard, snapshot);
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
                             : " could not do it; see its log"),
                    false);
    run.awaited_nodes.erase(node);
    advance(now, snapshot, run);
}

// ---- Lost connections.

void SnapshotCoordinator::edge_disconnected(Time now, EdgeId edge) {
    std::vector<VolumeId> affected;
    for (const auto &[snapshot, run] : running_)
        if (run.edges.contains(edge))
            affected.push_back(snapshot);
    for (auto snapshot : affected) {
        auto &run = running_.at(snapshot);
        run.edges.erase(edge);
        if (run.phase == Phase::holding) {
            // It goes on by itself, and is left out.
            run.awaited.erase(edge);
            run.held.erase(edge);
            advance(now, snapshot, run);
        } else if (run.held.contains(edge) && !run.drained.contains(edge)) {
            fail(snapshot, "edge " + std::to_string(edge.value) + " was lost on the way", true);
        }
    }
}

// Guards against a node that restarts in the middle: what it opened was not durable, and who the
// late writers are it has forgotten.
void SnapshotCoordinator::node_disconnected(NodeId node) {
    std::vector<VolumeId> affected;
    for (const auto &[snapshot, run] : running_)
        if (run.nodes.contains(node))
            affected.push_back(snapshot);
    for (auto snapshot : affected)
        fail(snapshot, "node " + std::to_string(node.value) + " was lost on the way", true);
}

// ---- Taking back.

void SnapshotCoordinator::drop_everywhere(VolumeId snapshot, std::set<ShardId> shards) {
    pending_drops_[snapshot] = std::move(shards);
    next_drop_at_ = 0; // at the next tick
}

void SnapshotCoordinator::node_connected(NodeId node, ShardId shard) {
    for (const auto &[snapshot, remaining_shards] : pending_drops_)
        if (remaining_shards.contains(shard))
            actions_.drop(node, snapshot);
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

// ---- Time.

Time SnapshotCoordinator::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[snapshot, run] : running_)
        due = std::min(due, run.deadline);
    return pending_drops_.empty() ? due : std::min(due, next_drop_at_);
}

void SnapshotCoordinator::time_out(Time now, VolumeId snapshot) {
    auto &run = running_.at(snapshot);
    if (run.phase == Phase::holding)
        return open(now, snapshot, run);
    std::string who;
    if (!run.awaited_nodes.empty())
        who = ": node " + list(run.awaited_nodes);
    else if (!run.awaited.empty())
        who = ": edge " + list(run.awaited);
    fail(snapshot, std::string("waited too long for ") + awaited_action(run.phase) + who, true);
}

void SnapshotCoordinator::tick(Time now, const std::map<NodeId, ShardId> &connected) {
    std::vector<VolumeId> late;
    for (const auto &[snapshot, run] : running_)
        if (now >= run.deadline)
            late.push_back(snapshot);
    for (auto snapshot : late)
        time_out(now, snapshot);
    if (pending_drops_.empty() || now < next_drop_at_)
        return;
    next_drop_at_ = now + drop_interval;
    for (const auto &[node, shard] : connected)
        node_connected(node, shard);
}

std::map<VolumeId, std::string> SnapshotCoordinator::describe_running() const {
    std::map<VolumeId, std::string> out;
    for (const auto &[snapshot, run] : running_) {
        auto awaited = run.awaited_nodes.empty() ? list(run.awaited) : list(run.awaited_nodes);
        out[snapshot] = std::string("waits for ") + awaited_action(run.phase) +
                        (awaited.empty() ? "" : " (" + awaited + ")");
    }
    return out;
}

} // namespace knotvane::planner
