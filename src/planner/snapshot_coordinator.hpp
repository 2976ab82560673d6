/// \file
/// Coordinates the steps of snapshots and clones over all edges and nodes: what each step waits
/// for, what makes it fail, and which data nodes have to drop afterwards. No I/O, no clock.
/// docs/design/snapshots.md explains why a snapshot is consistent.
///
/// To take a snapshot, edges hold new writes, nodes open the snapshot, and edges resume their
/// writes in the next epoch. Once all writes of earlier epochs have ended, nodes seal the snapshot.
/// Only then is it complete. Any error before that makes it fail, and every node drops its data.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::SnapshotResult;
using control::SnapshotStep;

/// Runs any number of snapshots and clones at the same time, each identified by the id of the new
/// snapshot or clone.
class SnapshotCoordinator {
public:
    /// Sends orders to edges and nodes, and receives the results of snapshots and clones.
    class Actions {
    public:
        virtual ~Actions() = default;
        virtual void hold_writes(EdgeId edge, VolumeId volume, VolumeId snapshot,
                                 std::uint32_t epoch, Time max_hold) = 0;
        virtual void resume_writes(EdgeId edge, VolumeId volume, VolumeId snapshot,
                                   std::uint32_t epoch) = 0;
        virtual void cancel_hold(EdgeId edge, VolumeId volume, VolumeId snapshot) = 0;
        virtual void open_snapshot(NodeId node, VolumeId volume, VolumeId snapshot,
                                   std::uint32_t epoch,
                                   const std::vector<control::EdgeIncarnation> &late_writers) = 0;
        virtual void seal_snapshot(NodeId node, VolumeId volume, VolumeId snapshot) = 0;
        virtual void open_clone(NodeId node, VolumeId source, VolumeId clone) = 0;
        virtual void drop_snapshot(NodeId node, VolumeId snapshot) = 0;

        /// The snapshot is sealed at every node, or the clone created. The caller has to record it
        /// durably.
        virtual void completed(VolumeId snapshot) = 0;

        /// The snapshot or clone has failed, and all nodes have to drop it.
        /// \param retry  another attempt may succeed
        virtual void failed(VolumeId snapshot, const std::string &error, bool retry) = 0;

        /// All nodes have dropped their data of the snapshot or clone.
        virtual void dropped_everywhere(VolumeId snapshot) = 0;
    };

    explicit SnapshotCoordinator(Actions &actions) : actions_(actions) {}

    /// Starts a snapshot. The caller must have recorded durably that it is incomplete, so that a
    /// restarted planner drops it.
    /// \param epoch  epoch of the writes after the snapshot
    /// \param edges  all connected edges
    /// \param nodes  connected nodes, at least one of each shard
    void begin_snapshot(Time now, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                        std::set<EdgeId> edges, std::set<NodeId> nodes);

    /// Starts a clone of the snapshot `source`, under the conditions of begin_snapshot.
    void begin_clone(Time now, VolumeId source, VolumeId clone, std::set<NodeId> nodes);

    /// Orders the nodes of these shards to drop a snapshot or clone, repeatedly until each shard
    /// has confirmed it.
    void drop_everywhere(VolumeId snapshot, std::set<ShardId> shards);

    void handle_edge_step(Time now, EdgeId edge, control::EdgeIncarnation incarnation,
                          VolumeId snapshot, SnapshotStep step);
    void handle_node_step(Time now, NodeId node, ShardId shard, VolumeId snapshot,
                          SnapshotStep step, SnapshotResult result);

    /// A connection was lost; orders sent over it may not have been carried out.
    void edge_disconnected(Time now, EdgeId edge);
    void node_disconnected(NodeId node);

    /// A node has registered. Sends it the orders for the pending drops of its shard.
    void node_connected(NodeId node, ShardId shard);

    /// Sets the shards that exist. Pending drops at other shards count as done.
    void set_shards(const std::set<ShardId> &shards);

    /// When `tick` is to be called next; the maximum of Time if nothing is due.
    Time next_due() const;

    /// Handles expired deadlines and repeats pending drops.
    /// \param connected  the connected nodes and their shards
    void tick(Time now, const std::map<NodeId, ShardId> &connected);

    bool is_running(VolumeId snapshot) const { return running_.contains(snapshot); }

    /// For the status: each running snapshot or clone, and what it waits for.
    std::map<VolumeId, std::string> describe_running() const;

    /// For the status: each snapshot or clone being dropped, and the shards that have not
    /// confirmed.
    const std::map<VolumeId, std::set<ShardId>> &pending_drops() const { return pending_drops_; }

private:
    enum class Phase { holding, opening, resuming, draining, sealing, cloning };

    struct Run {
        VolumeId source;
        std::uint32_t epoch = 0;
        Phase phase = Phase::holding;
        Time began_at = 0;
        Time deadline = 0;              // of the phase
        std::set<EdgeId> edges;         // connected edges that were told to hold writes
        std::set<EdgeId> awaited_edges; // edges that the current phase waits for
        std::set<EdgeId> drained_edges; // edges whose writes of earlier epochs have ended
        // Edges that hold or have held writes; only they may still send writes of earlier epochs.
        std::map<EdgeId, control::EdgeIncarnation> holding_edges;
        std::set<NodeId> nodes;
        std::set<NodeId> awaited_nodes;
    };

    static const char *awaited_action(Phase phase);
    static bool expects(Phase phase, SnapshotStep step);
    void enter_opening(Time now, VolumeId snapshot, Run &run);
    void advance(Time now, VolumeId snapshot, Run &run);
    void enter_resuming(Time now, VolumeId snapshot, Run &run);
    void enter_draining(Time now, Run &run);
    void enter_sealing(Time now, VolumeId snapshot, Run &run);
    bool add_holding_edge(EdgeId edge, control::EdgeIncarnation incarnation, VolumeId snapshot,
                          Run &run);
    void fail(VolumeId snapshot, const std::string &error, bool retry);
    void handle_timeout(Time now, VolumeId snapshot);
    void handle_drop(ShardId shard, VolumeId snapshot);

    Actions &actions_;
    std::map<VolumeId, Run> running_;
    std::map<VolumeId, std::set<ShardId>> pending_drops_;
    Time next_drop_at_ = 0;
};

} // namespace knotvane::planner
