/// \file
/// A storage node with simulated performance on a real store. Does no socket I/O and reads no
/// clock: the caller passes in received bytes and the time, and a Transport sends the answers. The
/// node executes requests at the speed of its service model, queues or rejects further ones,
/// pauses, warms up, and shows injected faults.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"
#include "node/background_schedule.hpp"
#include "node/fault_injection.hpp"
#include "node/pause_schedule.hpp"
#include "node/service_model.hpp"
#include "node/slow_start.hpp"
#include "node/transport.hpp"
#include "node_protocol/frame.hpp"
#include "store/store.hpp"

namespace knotvane::node {

using store::Medium;
using store::SnapshotResult;
using store::Store;

/// One node: its connections, its queue, and the requests in execution. All times are nanoseconds
/// since the Unix epoch, by the caller's clock.
class StorageNode {
public:
    /// @param store, transport not owned; must outlive the node.
    /// @param random_seed seed for the times of pauses and the positions of corrupted bytes.
    /// @param started_at when the node's process began and its warm-up starts.
    StorageNode(NodeId id, ShardId shard, Store &store, Transport &transport,
                std::uint64_t random_seed, Time started_at);

    void set_service_model(const ServiceModel &model);
    void set_slow_start(const SlowStartModel &model) { slow_start_.configure(model); }
    void set_pauses(const PauseModel &model) { pauses_.configure_pauses(model, started_at_); }
    void set_deferred_work(const DeferredWorkModel &model) {
        pauses_.configure_deferred_work(model, started_at_);
    }

    /// Opens a snapshot of a volume on the planner's command. Idempotent. The snapshot is not
    /// durable before it is sealed.
    /// @param epoch the epoch of changes that begin after the snapshot.
    /// @param draining_edges the edges that no longer begin changes of an earlier epoch. Changes of
    ///     theirs that are still under way are applied to the volume and to the snapshot. Changes
    ///     of an earlier epoch by any other edge are rejected.
    SnapshotResult open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch,
                                 std::set<control::EdgeIncarnation> draining_edges);
    /// Freezes a snapshot and makes it durable. Idempotent.
    /// @return false if there is no such snapshot, or if the medium failed, which is logged.
    bool seal_snapshot(VolumeId source, VolumeId snapshot);
    /// Creates a writable copy of a volume or snapshot. The copy is durable on return.
    SnapshotResult clone(VolumeId source, VolumeId copy);
    /// Drops a snapshot or a clone; its space is reclaimed in the background.
    /// @return true if it no longer exists, even if it did not exist before; false if the medium
    ///     failed, which is logged.
    bool drop_snapshot(VolumeId snapshot);

    /// Handles a newly accepted connection of an edge.
    void connected(Time now, ConnectionId connection);
    /// Handles bytes that were received on a connection.
    void received(Time now, ConnectionId connection, std::string_view bytes);
    /// Handles the end of a connection that the node did not close itself. Its requests are still
    /// executed, as on a real node, which can't know that nobody waits for their answers.
    void disconnected(ConnectionId connection);

    /// When `tick` is due next; the maximum of Time if nothing is due.
    Time next_due() const;
    /// Does all work that is due at `now`.
    void tick(Time now);

    void inject_fault(const FaultInjection &fault) { faults_.inject(fault); }
    /// Simulates a restart of the process on the same store: connections, queued requests and those
    /// in execution are lost, and the warm-up begins again.
    /// @param discard_unflushed whether data that was not flushed is lost, as in a power failure.
    void restart(Time now, bool discard_unflushed);

    Time started_at() const { return started_at_; }
    /// Whether the node crashed under overload. It stays down until `restart`.
    bool has_crashed() const { return has_crashed_; }
    std::size_t executing() const { return executing_.size(); }
    std::size_t queued() const { return queued_.size(); }
    /// Number of requests executed since this object was constructed.
    std::uint64_t served() const { return served_; }

private:
    class Connection;

    struct PendingRequest {
        ConnectionId connection;
        node_protocol::Frame frame; // its payload view is empty; `payload` holds a copy
        std::string payload;
    };

    // The work that occupies a slot: a request or, if empty, a step of reclaiming space.
    using Execution = std::optional<PendingRequest>;

    // The result of checking a change's epoch.
    struct EpochCheck {
        node_protocol::Status status = node_protocol::Status::ok;
        std::uint32_t epoch_in_force = 0;      // sent in the answer if the status is stale_epoch
        std::optional<VolumeId> open_snapshot; // if set, the change is applied to this snapshot too
    };

    struct DelayedAnswer {
        ConnectionId connection;
        std::string bytes;
    };

    // storage_node.cpp
    void send_welcome(Time now, ConnectionId connection);
    void admit(Time now, PendingRequest request);
    void cancel(Time now, ConnectionId connection, std::uint64_t tag);
    void crash();
    void start_queued(Time now);
    Time execution_time(Time now, const PendingRequest &request);
    void finish_executions(Time now);
    void reclaim_in_background(Time now);
    RequestLoad load() const;
    void close_connection(ConnectionId connection, bool reset);
    void close_all_connections();

    // request_execution.cpp
    void execute(Time now, const PendingRequest &request);
    void execute_read(Time now, const PendingRequest &request);
    void execute_mutation(Time now, const PendingRequest &request);
    void execute_block_status(Time now, const PendingRequest &request);
    EpochCheck check_epoch(const node_protocol::Frame &change) const;
    bool apply_mutation(const PendingRequest &request, std::optional<VolumeId> open_snapshot);
    void answer(Time now, const PendingRequest &request, node_protocol::Status status,
                std::string_view payload = {}, std::uint32_t epoch = 0);
    void send_answer(Time now, Connection &connection, std::string bytes);
    void send_delayed_answers(Time now);

    NodeId id_;
    ShardId shard_;
    Store &store_;
    Transport &transport_;
    std::ranlux24_base random_;
    Time started_at_;
    ServiceModel service_;
    SlowStart slow_start_;
    PauseSchedule pauses_;
    FaultInjector faults_;
    BackgroundSchedule background_;
    bool has_crashed_ = false;
    std::uint64_t served_ = 0;
    std::map<ConnectionId, std::shared_ptr<Connection>> connections_;
    std::deque<PendingRequest> queued_;
    std::multimap<Time, Execution> executing_;           // by the time of completion
    std::multimap<Time, DelayedAnswer> delayed_answers_; // by the time of sending
    // Edges whose late changes are accepted, by volume, while a snapshot of the volume is open.
    std::map<VolumeId, std::set<control::EdgeIncarnation>> draining_edges_;
};

} // namespace knotvane::node
