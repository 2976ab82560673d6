// Snapshots and clones over all edges and nodes: one cut's steps, what is late, what ends it, and
// what has to be undone. No I/O, no clock. docs/design/snapshots.md says why a cut is exact.
//
// A cut: edges hold back new changes; nodes cut; edges go on in the next epoch; once all that began
// before has ended, nodes seal what they cut. It is whole only then. Whatever goes wrong before
// ends it, and it is undone at every node.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::SnapshotStep;

class SnapshotCoordinator {
public:
    // What is asked of edges and nodes, and how a cut ended. `whole`: sealed at every node, to be
    // made durable. `failed`: why; it is to be undone. `again`: the reason may have passed.
    struct Orders {
        virtual ~Orders() = default;
        virtual void hold(EdgeId, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) = 0;
        virtual void go(EdgeId, VolumeId of, VolumeId as, std::uint32_t epoch) = 0;
        virtual void release(EdgeId, VolumeId of, VolumeId as) = 0;
        virtual void open(NodeId, VolumeId of, VolumeId as, std::uint32_t epoch,
                          const std::vector<control::EdgeIncarnation> &late) = 0;
        virtual void seal(NodeId, VolumeId of, VolumeId as) = 0;
        virtual void clone(NodeId, VolumeId of, VolumeId as) = 0;
        virtual void drop(NodeId, VolumeId as) = 0;
        virtual void whole(VolumeId as) = 0;
        virtual void failed(VolumeId as, const std::string &why, bool again) = 0;
        // Nothing of it is left at any node.
        virtual void undone(VolumeId as) = 0;
    };
    explicit SnapshotCoordinator(Orders &orders) : orders_(orders) {}

    // `edges`: all that are connected; `nodes`: one or more of each shard, connected. Durable
    // before it is called: that `as` may have to be undone.
    void begin_cut(Time now, VolumeId of, VolumeId as, std::uint32_t epoch, std::set<EdgeId> edges,
                   std::set<NodeId> nodes);
    void begin_clone(Time now, VolumeId of, VolumeId as, std::set<NodeId> nodes);
    // Taken back at the nodes of these shards, for as long as it takes.
    void undo(VolumeId as, std::set<ShardId> shards);

    // `life`: of the edge's process, as nodes know it.
    void edge_told(Time now, EdgeId edge, control::EdgeIncarnation incarnation, VolumeId as,
                   SnapshotStep step);
    void node_told(Time now, NodeId node, ShardId shard, VolumeId as, SnapshotStep step,
                   std::uint8_t how);
    // The connection went: what it was to do for a cut that is not whole may not have come about.
    void edge_gone(Time now, EdgeId edge);
    void node_gone(Time now, NodeId node);
    // A node registered: it is told what it has to take back.
    void node_came(NodeId node, ShardId shard);
    // Shards that there are; of others nothing is left to undo.
    void shards(const std::set<ShardId> &all);

    Time next_due() const;
    void tick(Time now, const std::map<NodeId, ShardId> &connected);

    bool busy(VolumeId as) const { return attempts_.contains(as); }
    // For operators: each cut under way and what it waits for; each undone one and its shards left.
    std::map<VolumeId, std::string> under_way() const;
    const std::map<VolumeId, std::set<ShardId>> &undoing() const { return undo_; }

private:
    enum class Phase { holding, opening, moving, draining, sealing, cloning };
    struct Attempt {
        VolumeId of;
        std::uint32_t epoch = 0;
        Phase phase = Phase::holding;
        Time began = 0, until = 0;
        std::set<EdgeId> asked, waited, drained;
        std::map<EdgeId, control::EdgeIncarnation> late; // those that have stopped
        std::set<NodeId> nodes, missing;
    };
    void open(Time now, VolumeId as, Attempt &a);
    void step(Time now, VolumeId as, Attempt &a);
    void fail(VolumeId as, const std::string &why, bool again);

    Orders &orders_;
    std::map<VolumeId, Attempt> attempts_;
    std::map<VolumeId, std::set<ShardId>> undo_;
    Time undo_again_ = 0;
};

} // namespace knotvane::planner
