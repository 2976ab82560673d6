/// \file
/// The edge's side of its connection to the planner: updates of the cluster state, the lease on
/// quota shares, and reports on nodes. No I/O. Client requests never wait for the planner.
///
/// Which state an edge uses depends on how long ago the planner last renewed its lease:
///
/// - while the lease is held: all of the cluster state;
/// - after the lease has expired, during the fade time: volumes, plans and nodes as of the last
///   update, including drains, and a quarter of each quota share;
/// - after the fade time: the same, but no quota share. Requests that need one wait, and are
///   rejected;
/// - after a start with the stored state: the same as after the fade time. A stored state that is
///   older than `max_cache_age`, or that is from the future, is not used at all.
///
/// An edge never ends a drain, uses a node or takes a quota share unless the planner has sent it.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "common/reconnect_backoff.hpp"
#include "control/cluster_state_replica.hpp"
#include "control/decode.hpp"
#include "control/encode.hpp"
#include "edge/node_reachability.hpp"
#include "edge/quota_lease.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

/// Actions that a PlannerClient requests from its owner.
class PlannerClientActions {
public:
    virtual ~PlannerClientActions() = default;

    /// Starts to connect. The owner reports the result by `connected` or `disconnected`.
    virtual void connect_planner() = 0;

    /// Closes the connection, or stops connecting. The owner must not report it.
    virtual void disconnect_planner() = 0;
    virtual void send_planner(std::string bytes) = 0;

    /// Stores bytes for the next start.
    /// \param replace  whether to replace what was stored before; otherwise the bytes are appended
    virtual void store_cluster_state(std::string bytes, bool replace) = 0;
    virtual void log_event(std::string text) = 0;

    /// An update was applied, or a stored state was restored.
    /// \param nodes    whether any node changed
    /// \param plans    whether any plan changed
    /// \param started  start time of each node's process, by this edge's clock
    virtual void cluster_state_changed(const control::ClusterState &cluster_state, bool nodes,
                                       bool plans, const std::map<NodeId, Time> &started) = 0;

    /// \param sharers  the volume's full limit divided by this edge's usable share; infinite if the
    ///                 edge has no share
    virtual void quota_share_changed(VolumeId volume, double sharers) = 0;

    /// The planner's messages about a snapshot.
    virtual void snapshot_hold(const control::SnapshotHold &) {}
    virtual void snapshot_resume(const control::SnapshotResume &) {}
    virtual void snapshot_release(const control::SnapshotRelease &) {}

    /// The connection was lost, so no message will end the holds of snapshots.
    virtual void planner_lost() {}
};

/// Configuration of an edge's connection to its planner.
struct PlannerClientConfig {
    control::EdgeId edge;
    /// Address at which clients reach the edge; shown to operators.
    std::string listen_address;
    /// Any number. Randomizes reconnect delays, so that many edges do not reconnect at once.
    std::uint64_t seed = 1;
    /// Time between two lease renewals; at most a third of the lease's duration. A shorter interval
    /// tolerates more lost renewals, but puts more load on the planner.
    Time renewal_interval = 2 * sec;
    /// Maximum age of a stored cluster state.
    Time max_cache_age = 86'400 * sec;
};

/// Connection to one planner. The owner performs the I/O, and calls `tick` at the time that
/// `next_due` returns.
class PlannerClient final : control::MessageHandler {
public:
    /// \param actions  must outlive this object
    PlannerClient(PlannerClientActions &actions, PlannerClientConfig config);

    /// \param stored_state  what store_cluster_state kept, or nothing. Calls cluster_state_changed
    /// where it
    ///                     holds a state that may be used.
    void start(Time now, std::string_view stored_state);
    void connected(Time now);

    /// Connecting failed, or the connection was lost.
    void disconnected(Time now);
    void received(Time now, std::string_view bytes);

    /// The volume's first client connected, or its last one disconnected.
    void volume_used(Time now, VolumeId volume, bool used);
    void attempt_completed(Time now, NodeId node, AttemptOutcome outcome);

    /// Reports to the planner that this edge has completed a step of a snapshot.
    void report_snapshot_step(VolumeId snapshot, control::SnapshotStep step,
                              control::EdgeIncarnation incarnation);

    /// \return when `tick` must be called next; the maximum of Time if never.
    Time next_due() const;

    /// Performs the actions that are due. Call it before processing clients' requests, so that a
    /// lease that expired while the process was suspended is not used.
    void tick(Time now);

    const control::ClusterStateReplica &replica() const { return replica_; }
    bool is_connected() const { return connected_; }

    /// \return the time since the lease expired; 0 or less while it is held.
    Time past_lease(Time now) const { return lease_.past(now); }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    // A node's process and its start time by this edge's clock.
    struct NodeStart {
        std::uint64_t incarnation = 0;
        Time started = 0;
    };

    using MessageHandler::handle;
    void handle(const control::UpdateBegin &message) override;
    void handle(const control::NodeUpdate &message) override { apply(message); }
    void handle(const control::PlanUpdate &message) override { apply(message); }
    void handle(const control::VolumeUpdate &message) override { apply(message); }
    void handle(const control::QuotaShareUpdate &message) override { apply(message); }
    void handle(const control::NodeRemoval &message) override { apply(message); }
    void handle(const control::PlanRemoval &message) override { apply(message); }
    void handle(const control::VolumeRemoval &message) override { apply(message); }
    void handle(const control::QuotaShareRemoval &message) override { apply(message); }
    void handle(const control::UpdateEnd &message) override;
    void handle(const control::LeaseRenewed &message) override;
    void handle(const control::ReachabilityRequest &message) override;
    void handle(const control::SnapshotHold &message) override;
    void handle(const control::SnapshotResume &message) override;
    void handle(const control::SnapshotRelease &message) override;
    void handle_unexpected(std::string_view message) override;

    template <class Entry>
    void apply(const Entry &entry) {
        update_bytes_ += control::encode(entry);
        replica_.apply(entry);
    }
    void restore_state(std::string_view stored_state);
    void rewrite_stored_state();
    void decode_next_piece();
    void send(std::string bytes);
    void report_reachability(NodeId node, bool reachable);
    void send_renewal();
    void close_connection(const std::string &reason);
    void update_applied(control::UpdateResult result, std::string bytes);
    void state_changed(bool nodes, bool plans);
    std::map<NodeId, Time> node_starts();
    void announce_quota_shares();

    PlannerClientActions &actions_;
    PlannerClientConfig config_;
    ReconnectBackoff reconnect_backoff_;
    control::MessageDecoder decoder_;
    control::ClusterStateReplica replica_;
    std::string update_bytes_;      // of the update that is being received, to be stored
    std::string error_;             // why the connection must be closed
    std::string received_bytes_;    // not decoded in full yet
    std::size_t decoded_bytes_ = 0; // of received_bytes_
    std::size_t stored_bytes_ = 0;  // in the file
    Time now_ = 0;
    Time renew_at_ = never;
    Time last_received_ = 0;
    Time planner_time_ = 0; // when the planner sent the last update, by its clock
    bool connected_ = false;
    bool restoring_ = false; // decoding the stored state
    bool has_replaced_state_ = false;
    QuotaLease lease_;
    QuotaLease::Stage announced_stage_ = QuotaLease::Stage::expired;
    std::set<VolumeId> used_volumes_;
    std::map<VolumeId, std::uint32_t> announced_millionths_;
    NodeReachability reachability_;
    std::map<NodeId, NodeStart> node_starts_;
};

} // namespace knotvane::edge
