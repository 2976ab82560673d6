/// \file
/// The edge's side of its connection to the planner: updates of the cluster state, the lease on
/// quota shares, reports on nodes. No I/O. Client requests never wait for any of it.
///
/// What an edge goes by, by how old its word from the planner is:
///
/// - within the lease: all of the cluster state;
/// - past the lease: volumes, plans and nodes as of the last update, drains among them; a quarter
/// of each
///   quota share;
/// - past lease and fade: the same, and no quota share: requests that need one wait, and are
///   rejected;
/// - started from the disk: the same; a cached state older than `max_cache_age`, or from the
///   future, is not used at all.
///
/// It never ends a drain, uses a node or gives itself a quota share that the planner has not sent.
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

/// What a PlannerClient asks of its owner.
class PlannerClientActions {
public:
    virtual ~PlannerClientActions() = default;

    /// Try to connect; answered by connected or disconnected.
    virtual void connect_planner() = 0;

    /// End the connection, or the attempt to connect; not answered.
    virtual void disconnect_planner() = 0;
    virtual void send_planner(std::string bytes) = 0;

    /// Keep bytes for the next start.
    /// \param replace  replaces what was kept; else they go after it
    virtual void store_cluster_state(std::string bytes, bool replace) = 0;
    virtual void log_event(std::string text) = 0;

    /// An update was taken.
    /// \param nodes    whether any node changed
    /// \param plans    whether any plan changed
    /// \param started  when each node's process started, by this edge's clock
    virtual void cluster_state_changed(const control::ClusterState &cluster_state, bool nodes,
                                       bool plans, const std::map<NodeId, Time> &started) = 0;

    /// \param sharers  the whole limit over this edge's usable share; infinite where it has none
    virtual void quota_share_changed(VolumeId volume, double sharers) = 0;

    /// The planner's orders for a snapshot.
    virtual void snapshot_hold(const control::SnapshotHold &) {}
    virtual void snapshot_resume(const control::SnapshotResume &) {}
    virtual void snapshot_release(const control::SnapshotRelease &) {}

    /// The connection was lost: nobody ends a hold any more.
    virtual void planner_lost() {}
};

/// How an edge speaks to its planner.
struct PlannerClientConfig {
    control::EdgeId edge;
    /// Where clients reach the edge; shown to operators.
    std::string listen_address;
    /// Spreads the reconnects of many edges; any number.
    std::uint64_t seed = 1;
    /// Between two lease renewals: a third of the planner's lease or less. Shorter survives more
    /// lost renewals and loads the planner more.
    Time renewal_interval = 2 * sec;
    /// How old a cluster state from the disk may be.
    Time max_cache_age = 86'400 * sec;
};

/// Follows one planner. Its owner carries bytes and time, and calls `tick` when `next_due` says.
class PlannerClient final : control::MessageHandler {
public:
    /// \param actions  must outlive this
    PlannerClient(PlannerClientActions &actions, PlannerClientConfig config);

    /// \param stored_state  what store_cluster_state kept, or nothing. Calls cluster_state_changed
    /// where it
    ///                     holds a state that may be used.
    void start(Time now, std::string_view stored_state);
    void connected(Time now);

    /// The connection failed or went.
    void disconnected(Time now);
    void received(Time now, std::string_view bytes);

    /// The volume's first client came, or its last one left.
    void volume_used(Time now, VolumeId volume, bool used);
    void attempt_completed(Time now, NodeId node, AttemptOutcome outcome);

    /// This edge has done its step of a snapshot.
    void report_snapshot_step(VolumeId snapshot, control::SnapshotStep step,
                              control::EdgeIncarnation incarnation);

    /// The maximum of Time where nothing is due.
    Time next_due() const;

    /// Does what is due. To be called before clients' requests are worked on: a lease that ran out
    /// while the edge stood still must not be used.
    void tick(Time now);

    const control::ClusterStateReplica &replica() const { return replica_; }
    bool is_connected() const { return connected_; }

    /// How long ago the lease ran out; 0 or less while it is held.
    Time past_lease(Time now) const { return lease_.past(now); }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    // A node's process, and when it started by this edge's clock.
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
    void close_connection(const std::string &why);
    void update_applied(control::UpdateResult result, std::string bytes);
    void state_changed(bool nodes, bool plans);
    std::map<NodeId, Time> node_starts();
    void announce_quota_shares();

    PlannerClientActions &actions_;
    PlannerClientConfig config_;
    ReconnectBackoff reconnect_backoff_;
    control::MessageDecoder decoder_;
    control::ClusterStateReplica replica_;
    std::string update_bytes_; // of the update that is being received, for the disk
    std::string error_;        // why the connection has to be closed
    std::string unread_;
    std::size_t read_bytes_ = 0;   // of unread_
    std::size_t stored_bytes_ = 0; // on the disk
    Time now_ = 0;
    Time renew_at_ = never;
    Time last_received_ = 0;
    Time planner_time_ = 0; // of the last update
    bool connected_ = false;
    bool restoring_ = false; // reads what was stored
    bool has_replaced_state_ = false;
    QuotaLease lease_;
    QuotaLease::Stage announced_stage_ = QuotaLease::Stage::expired;
    std::set<VolumeId> used_;
    std::map<VolumeId, std::uint32_t> announced_millionths_;
    NodeReachability reachability_;
    std::map<NodeId, NodeStart> node_starts_;
};

} // namespace knotvane::edge
