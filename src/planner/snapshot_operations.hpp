/// \file
/// What operators ask of snapshots and clones: what is allowed, what has to be durable before it is
/// begun or told, and what becomes of it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "planner/context.hpp"
#include "planner/diff_queries.hpp"
#include "planner/quota_allocation.hpp"
#include "planner/snapshot_coordinator.hpp"

namespace knotvane::planner {

/// Carries out SnapshotRequests. That a snapshot or clone may have to be taken back is durable
/// before it is begun, and that it is whole before its operator hears of it.
class SnapshotOperations final : SnapshotCoordinator::Actions {
public:
    /// One that an operator waits for.
    struct Pending {
        SessionId session;       ///< of the operator
        VolumeId source;         ///< the volume; of a clone the snapshot
        control::Volume volume;  ///< what is made
        std::uint32_t epoch = 0; ///< of the writes after a snapshot
        std::uint32_t attempts = 0;
        Time began = 0;
        bool is_clone = false;
        bool begun = false;
        bool completed = false;
        bool failed = false;
        bool retry = false; ///< the reason of the failure may have passed
        std::string why;    ///< of the failure
    };

    SnapshotOperations(PlannerContext &context, const QuotaAllocation &allocation)
        : context_(context), allocation_(allocation), diff_queries_(context) {}

    void restore_incomplete(VolumeId snapshot, VolumeId source, std::uint32_t epoch) {
        incomplete_[snapshot] = {source, epoch};
    }

    /// After all rows: what the last planner did not complete is taken back.
    void start();
    void request(SessionId session, const control::SnapshotRequest &request);
    void handle_edge_step(EdgeId edge, const control::SnapshotStepReport &report);
    void handle_node_step(NodeId node, const control::SnapshotStepReport &report);
    void handle_diff_report(NodeId node, const control::DiffReport &report) {
        diff_queries_.handle_report(node, report);
    }
    void edge_disconnected(EdgeId edge) { coordinator_.edge_disconnected(context_.now, edge); }
    void node_disconnected(NodeId node) { coordinator_.node_disconnected(node); }
    void node_connected(NodeId node, ShardId shard) { coordinator_.node_connected(node, shard); }

    /// The settings changed.
    void update_shards() { coordinator_.set_shards(all_shards()); }

    /// Before a commit: what came of snapshots in this moment.
    void settle();

    /// After a commit: drops what is durably gone.
    void drop_from_nodes();

    /// After a commit: begins what may durably have to be taken back.
    void begin_committed();
    Time next_due() const;

    /// It is under way, or being taken back.
    bool is_incomplete(VolumeId snapshot) const { return incomplete_.contains(snapshot); }

    /// Edges with a client of the volume.
    std::vector<std::uint64_t> edges_using(VolumeId volume) const;
    const std::map<VolumeId, Pending> &pending() const { return pending_; }
    const SnapshotCoordinator &coordinator() const { return coordinator_; }

private:
    struct Incomplete {
        VolumeId source;
        std::uint32_t epoch = 0;
    };

    void hold(EdgeId edge, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
              Time max_hold) override;
    void resume(EdgeId edge, VolumeId volume, VolumeId snapshot, std::uint32_t epoch) override;
    void release(EdgeId edge, VolumeId volume, VolumeId snapshot) override;
    void open(NodeId node, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
              const std::vector<control::EdgeIncarnation> &late_writers) override;
    void seal(NodeId node, VolumeId volume, VolumeId snapshot) override;
    void clone(NodeId node, VolumeId source, VolumeId clone) override;
    void drop(NodeId node, VolumeId snapshot) override;
    void completed(VolumeId snapshot) override;
    void failed(VolumeId snapshot, const std::string &why, bool retry) override;
    void dropped_everywhere(VolumeId snapshot) override;

    void create(SessionId session, const control::SnapshotRequest &request);
    void remove(SessionId session, const control::SnapshotRequest &request);
    void compare(SessionId session, const control::SnapshotRequest &request);
    void reply(SessionId session, const control::OperationResult &result);
    void reply_after_commit(SessionId session, const control::OperationResult &result);
    std::string refusal(const control::SnapshotRequest &request, Pending &pending) const;
    std::string refusal_of_name(const std::string &name, const std::string &full_name) const;
    std::string choose_plan(const std::string &plan, control::Volume &clone) const;
    void prepare(Pending pending);
    VolumeId next_id();
    void finish(VolumeId snapshot);
    void keep_epoch(const Pending &pending);
    void finish_completed(VolumeId snapshot, Pending pending);
    void finish_failed(VolumeId snapshot, Pending pending);
    std::optional<VolumeId> find(const std::string &name) const;
    std::set<ShardId> all_shards() const;
    std::map<NodeId, ShardId> connected_nodes() const;
    std::set<NodeId> participating_nodes(std::string &why) const;

    PlannerContext &context_;
    const QuotaAllocation &allocation_;
    SnapshotCoordinator coordinator_{*this};
    DiffQueries diff_queries_;
    std::map<VolumeId, Pending> pending_;
    std::map<VolumeId, Incomplete> incomplete_; // as in the store
    std::vector<VolumeId> dropped_;             // to be taken back once that is durable
    std::uint64_t last_id_ = 0;
};

} // namespace knotvane::planner
