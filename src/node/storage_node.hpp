/// \file
/// A model of a storage node on a real store, without I/O of its own: bytes of connections and the
/// time go in, bytes come out. It executes requests as its service model says, queues or rejects
/// what comes beyond that, pauses, warms up, and has the faults that are injected.
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

/// One node: its connections, its queue, and what is in execution. All times are nanoseconds since
/// the epoch by the caller's clock.
class StorageNode {
public:
    /// @param store, transport must outlive the node.
    /// @param random_seed of pauses and of the bits that faults flip.
    /// @param started_at the start of its process, from which it warms up.
    StorageNode(NodeId id, ShardId shard, Store &store, Transport &transport,
                std::uint64_t random_seed, Time started_at);

    void set_service_model(const ServiceModel &model);
    void set_slow_start(const SlowStartModel &model) { slow_start_.configure(model); }
    void set_pauses(const PauseModel &model) { pauses_.configure_pauses(model, started_at_); }
    void set_deferred_work(const DeferredWorkModel &model) {
        pauses_.configure_deferred_work(model, started_at_);
    }

    /// Opens a snapshot of a volume, as the planner orders; ordering it again is harmless. Not
    /// durable before it is sealed.
    /// @param epoch of the changes that begin after the snapshot.
    /// @param draining_edges the edges that have stopped to begin changes of an earlier epoch: what
    ///     they had begun goes into the volume and the snapshot. Any other edge's is rejected.
    SnapshotResult open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch,
                                 std::set<control::EdgeIncarnation> draining_edges);
    /// Freezes a snapshot and makes it durable; sealing it again is harmless.
    /// @return false if there is none, or the medium failed, which is logged.
    bool seal_snapshot(VolumeId source, VolumeId snapshot);
    /// Makes a volume that can be written and begins as a copy of the source. Durable on return.
    SnapshotResult clone(VolumeId source, VolumeId copy);
    /// Drops a snapshot or a clone; its space is reclaimed in the background.
    /// @return true if it is gone, also if it was before; false if the medium failed, which is
    ///     logged.
    bool drop_snapshot(VolumeId snapshot);

    /// An edge's connection was accepted.
    void connected(Time now, ConnectionId connection);
    /// Bytes came on a connection.
    void received(Time now, ConnectionId connection, std::string_view bytes);
    /// A connection ended, not by the node's doing. Its requests are executed all the same: the
    /// node can't know that nobody waits for them.
    void disconnected(ConnectionId connection);

    /// When tick is due next; the largest time if nothing is.
    Time next_due() const;
    /// Does all that is due.
    void tick(Time now);

    void inject_fault(const FaultInjection &fault) { faults_.inject(fault); }
    /// A new process on the same store: connections, queued requests and those in execution are
    /// gone, and it warms up.
    /// @param discard_unflushed loses what was not flushed, as in a power failure.
    void restart(Time now, bool discard_unflushed);

    Time started_at() const { return started_at_; }
    /// Whether it crashed under overload; only restart helps.
    bool has_crashed() const { return has_crashed_; }
    std::size_t executing() const { return executing_.size(); }
    std::size_t queued() const { return queued_.size(); }
    /// Requests executed since the node was made.
    std::uint64_t served() const { return served_; }

private:
    class Connection;

    struct PendingRequest {
        ConnectionId connection;
        node_protocol::Frame frame; // without its payload, which it would only refer to
        std::string payload;
    };

    // Work in a slot: a request, or a step of reclaiming space if there is none.
    using Execution = std::optional<PendingRequest>;

    // What an epoch allows a change to do.
    struct EpochCheck {
        node_protocol::Status status = node_protocol::Status::ok;
        std::uint32_t epoch_in_force = 0;      // for the answer, if it is stale
        std::optional<VolumeId> open_snapshot; // that the change goes into, too
    };

    struct DelayedAnswer {
        ConnectionId connection;
        std::string bytes;
    };

    // storage_node.cpp
    void welcome(Time now, ConnectionId connection);
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
    std::multimap<Time, Execution> executing_;           // by the time at which it is done
    std::multimap<Time, DelayedAnswer> delayed_answers_; // by the time at which it leaves
    // By volume, while a snapshot of it is open.
    std::map<VolumeId, std::set<control::EdgeIncarnation>> draining_edges_;
};

} // namespace knotvane::node
