/// \file
/// Operators' requests on snapshots and clones: checks them, makes them durable at the right time,
/// and replies with the result.
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

/// Carries out SnapshotRequests. Before a snapshot or clone is started, the store durably records
/// that it is incomplete; before its operator gets the reply, that it is complete.
class SnapshotOperations final : SnapshotCoordinator::Actions {
public:
    /// A snapshot or clone whose operator waits for the result.
    struct Pending {
        SessionId session;       ///< the operator's
        VolumeId source;         ///< the volume of a snapshot, the snapshot of a clone
        control::Volume volume;  ///< the new snapshot or clone
        std::uint32_t epoch = 0; ///< of the writes after a snapshot
        std::uint32_t attempts = 0;
        Time began_at = 0;
        bool is_clone = false;
        bool started = false;
        bool completed = false;
        bool failed = false;
        bool retry = false; ///< another attempt may succeed
        std::string error;  ///< why it failed
    };

    SnapshotOperations(PlannerContext &context, const QuotaAllocation &allocation)
        : context_(context), allocation_(allocation), diff_queries_(context) {}

    /// Restores a row of the store: a snapshot or clone that nodes may still have data of.
    void restore_incomplete(VolumeId snapshot, VolumeId source, std::uint32_t epoch) {
        incomplete_[snapshot] = {source, epoch};
    }

    /// Drops what the previous planner left incomplete. To be called after all rows are restored.
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

    /// To be called after the settings have changed.
    void update_shards() { coordinator_.set_shards(all_shards()); }

    /// To be called before a commit: handles deadlines and the snapshots and clones that ended.
    void settle();

    /// To be called after a commit: orders nodes to drop what has been deleted durably.
    void drop_from_nodes();

    /// To be called after a commit: starts the snapshots and clones that are now durably recorded
    /// as incomplete.
    void begin_committed();
    Time next_due() const;

    /// Whether a snapshot or clone is being made or dropped.
    bool is_incomplete(VolumeId snapshot) const { return incomplete_.contains(snapshot); }

    /// The ids of edges that have a client of the volume.
    std::vector<std::uint64_t> edges_using(VolumeId volume) const;
    const std::map<VolumeId, Pending> &pending() const { return pending_; }
    const SnapshotCoordinator &coordinator() const { return coordinator_; }

private:
    struct Incomplete {
        VolumeId source;
        std::uint32_t epoch = 0;
    };

    void hold_writes(EdgeId edge, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                     Time max_hold) override;
    void resume_writes(EdgeId edge, VolumeId volume, VolumeId snapshot,
                       std::uint32_t epoch) override;
    void cancel_hold(EdgeId edge, VolumeId volume, VolumeId snapshot) override;
    void open_snapshot(NodeId node, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                       const std::vector<control::EdgeIncarnation> &late_writers) override;
    void seal_snapshot(NodeId node, VolumeId volume, VolumeId snapshot) override;
    void open_clone(NodeId node, VolumeId source, VolumeId clone) override;
    void drop_snapshot(NodeId node, VolumeId snapshot) override;
    void completed(VolumeId snapshot) override;
    void failed(VolumeId snapshot, const std::string &error, bool retry) override;
    void dropped_everywhere(VolumeId snapshot) override;

    void create(SessionId session, const control::SnapshotRequest &request);
    void remove(SessionId session, const control::SnapshotRequest &request);
    void compare(SessionId session, const control::SnapshotRequest &request);
    void reply(SessionId session, const control::OperationResult &result);
    void reply_after_commit(SessionId session, const control::OperationResult &result);
    std::string check_creation(const control::SnapshotRequest &request, Pending &pending) const;
    std::string check_new_name(const std::string &name, const std::string &full_name) const;
    std::string choose_plan(const std::string &plan, control::Volume &clone) const;
    void prepare(Pending pending);
    VolumeId allocate_id();
    void finish(VolumeId snapshot);
    void record_epoch(const Pending &pending);
    void finish_completed(VolumeId snapshot, Pending pending);
    void finish_failed(VolumeId snapshot, Pending pending);
    std::optional<VolumeId> find_volume(const std::string &name) const;
    std::set<ShardId> all_shards() const;
    std::map<NodeId, ShardId> connected_nodes() const;
    std::set<NodeId> participating_nodes(std::string &error) const;

    PlannerContext &context_;
    const QuotaAllocation &allocation_;
    SnapshotCoordinator coordinator_{*this};
    DiffQueries diff_queries_;
    std::map<VolumeId, Pending> pending_;
    std::map<VolumeId, Incomplete> incomplete_; // the same as in the store
    std::vector<VolumeId> drops_to_commit_;     // nodes drop them once their deletion is durable
    std::uint64_t last_id_ = 0;
};

} // namespace knotvane::planner
