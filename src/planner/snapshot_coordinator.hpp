/// \file
/// The steps of snapshots and clones over all edges and nodes: what each waits for, what ends it,
/// and what has to be taken back. No I/O, no clock. docs/design/snapshots.md says why a snapshot
/// is exact.
///
/// A snapshot: edges hold back new writes; nodes open it; edges go on in the next epoch; once all
/// writes of before have ended, nodes seal it. It is whole only then. Whatever goes wrong before
/// ends it, and it is taken back at every node.
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

/// Runs any number of snapshots and clones at once, each known by the id of what is made.
class SnapshotCoordinator {
public:
    /// Orders to edges and nodes, and how a snapshot or clone ended.
    class Actions {
    public:
        virtual ~Actions() = default;
        virtual void hold(EdgeId edge, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                          Time max_hold) = 0;
        virtual void resume(EdgeId edge, VolumeId volume, VolumeId snapshot,
                            std::uint32_t epoch) = 0;
        virtual void release(EdgeId edge, VolumeId volume, VolumeId snapshot) = 0;
        virtual void open(NodeId node, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                          const std::vector<control::EdgeIncarnation> &late_writers) = 0;
        virtual void seal(NodeId node, VolumeId volume, VolumeId snapshot) = 0;
        virtual void clone(NodeId node, VolumeId source, VolumeId clone) = 0;
        virtual void drop(NodeId node, VolumeId snapshot) = 0;

        /// It is sealed at every node, and has to be made durable.
        virtual void completed(VolumeId snapshot) = 0;

        /// It has to be taken back.
        /// \param retry  the reason may have passed
        virtual void failed(VolumeId snapshot, const std::string &why, bool retry) = 0;

        /// Nothing of it is left at any node.
        virtual void dropped_everywhere(VolumeId snapshot) = 0;
    };

    explicit SnapshotCoordinator(Actions &actions) : actions_(actions) {}

    /// That it may have to be taken back must be durable before.
    /// \param epoch  of the writes after the snapshot
    /// \param edges  all that are connected
    /// \param nodes  connected, one or more of each shard
    void begin_snapshot(Time now, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                        std::set<EdgeId> edges, std::set<NodeId> nodes);

    /// As begin_snapshot, for a clone of `source`.
    void begin_clone(Time now, VolumeId source, VolumeId clone, std::set<NodeId> nodes);

    /// Has it dropped at the nodes of these shards, for as long as it takes.
    void drop_everywhere(VolumeId snapshot, std::set<ShardId> shards);

    void handle_edge_step(Time now, EdgeId edge, control::EdgeIncarnation incarnation,
                          VolumeId snapshot, SnapshotStep step);
    void handle_node_step(Time now, NodeId node, ShardId shard, VolumeId snapshot,
                          SnapshotStep step, SnapshotResult result);

    /// A connection was lost: what was ordered over it may not have been done.
    void edge_disconnected(Time now, EdgeId edge);
    void node_disconnected(NodeId node);

    /// A node registered: it is told what it has to drop.
    void node_connected(NodeId node, ShardId shard);

    /// All shards that there are; of others nothing is left to take back.
    void set_shards(const std::set<ShardId> &shards);

    /// The maximum of Time where nothing is due.
    Time next_due() const;
    void tick(Time now, const std::map<NodeId, ShardId> &connected);

    bool is_running(VolumeId snapshot) const { return running_.contains(snapshot); }

    /// For operators: each that is under way, and what it waits for.
    std::map<VolumeId, std::string> describe_running() const;

    /// For operators: each that is being taken back, and the shards left.
    const std::map<VolumeId, std::set<ShardId>> &pending_drops() const { return pending_drops_; }

private:
    enum class Phase { holding, opening, resuming, draining, sealing, cloning };

    struct Run {
        VolumeId source;
        std::uint32_t epoch = 0;
        Phase phase = Phase::holding;
        Time began = 0;
        Time deadline = 0;        // of the phase
        std::set<EdgeId> edges;   // all that were told to hold
        std::set<EdgeId> awaited; // edges that the phase waits for
        std::set<EdgeId> drained; // edges whose writes of before have ended
        // Edges that hold, or held; only their writes of before may still come.
        std::map<EdgeId, control::EdgeIncarnation> held;
        std::set<NodeId> nodes;
        std::set<NodeId> awaited_nodes;
    };

    static const char *awaited_action(Phase phase);
    static bool expects(Phase phase, SnapshotStep step);
    void open(Time now, VolumeId snapshot, Run &run);
    void advance(Time now, VolumeId snapshot, Run &run);
    void enter_resuming(Time now, VolumeId snapshot, Run &run);
    void enter_draining(Time now, Run &run);
    void enter_sealing(Time now, VolumeId snapshot, Run &run);
    bool edge_ready(EdgeId edge, control::EdgeIncarnation incarnation, VolumeId snapshot, Run &run);
    void fail(VolumeId snapshot, const std::string &why, bool retry);
    void time_out(Time now, VolumeId snapshot);
    void dropped(ShardId shard, VolumeId snapshot);

    Actions &actions_;
    std::map<VolumeId, Run> running_;
    std::map<VolumeId, std::set<ShardId>> pending_drops_;
    Time next_drop_at_ = 0;
};

} // namespace knotvane::planner
