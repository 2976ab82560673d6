/// \file
/// The edge without I/O: its inputs are received bytes and the time, its output is bytes to send.
/// Clients' requests are split into scheduled requests, the scheduler decides how each is handled,
/// and node connections carry the attempts. The edge itself makes no decision on requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "control/cluster_state.hpp"
#include "edge/attempt_tracker.hpp"
#include "edge/client_session.hpp"
#include "edge/config.hpp"
#include "edge/edge_state.hpp"
#include "edge/ids.hpp"
#include "edge/request_splitter.hpp"
#include "edge/request_table.hpp"
#include "edge/shell.hpp"
#include "edge/snapshot_participant.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

/// Converts a plan of the control plane into the scheduler's form.
PlanConfig plan_config(const control::Plan &plan);

/// Handles the events of one edge. Call order: construct; set-up calls on scheduler(), add_volume,
/// add_workload and the setters in any order; start; then events as they happen, and settle at the
/// end of each moment. Events of unknown clients and connections are ignored.
class Core {
public:
    /// @param shell must outlive the core.
    Core(Shell &shell, const MakeScheduler &make_scheduler, const CoreConfig &config);

    // Set-up.

    Scheduler &scheduler() { return state_.scheduler.scheduler(); }
    void set_node_connections(const NodeConnectionConfig &config);
    void set_admission_limits(const AdmissionLimits &limits);
    /// @param units extra cost of the first write to a span after a snapshot, for which the node
    /// copies the blocks.
    void set_copy_on_write_units(double units) { state_.copy_on_write_units = units; }
    /// Adds a volume to an edge that has no planner.
    void add_volume(VolumeId id, const VolumeConfig &volume);
    /// Adds a rule; a request belongs to the workload of the first rule that matches it.
    void add_workload(WorkloadRule rule) { state_.workloads.push_back(std::move(rule)); }
    void start(Time now);

    // From the planner.

    /// Takes the volumes from this state from now on, instead of from add_volume. Its owner calls
    /// cluster_state_changed after each change.
    /// @param cluster_state must outlive the core.
    void follow_cluster_state(const control::ClusterState &cluster_state);
    void cluster_state_changed(Time now);
    void set_plan(PlanId id, const PlanConfig &plan);
    /// Sets this edge's share of a volume's limit to 1 / `sharers`.
    /// @param sharers infinity for no share.
    void quota_share_changed(Time now, VolumeId volume, double sharers);

    /// The steps of a snapshot: see SnapshotParticipant.
    void hold_snapshot(Time now, const SnapshotTarget &target, Time max_hold);
    void resume_snapshot(Time now, const SnapshotTarget &target);
    void release_snapshot(Time now, VolumeId volume, VolumeId snapshot);
    void planner_lost(Time now);

    // The endpoint list, always complete: begin, one call for each node, end.

    /// @return false if the version is not above the last one: then the list is ignored, and
    /// endpoint_listed and endpoint_list_end must not be called for it.
    bool endpoint_list_begin(Time now, std::uint64_t version);
    void endpoint_listed(const Endpoint &endpoint, const std::string &address);
    void endpoint_list_end();

    // Events of clients' connections.

    void client_connected(Time now, ClientId id);
    void client_received(Time now, ClientId id, std::string_view bytes);
    /// Reports that the socket has taken this many of the bytes handed to the shell.
    void client_sent(Time now, ClientId id, std::size_t bytes);
    void client_disconnected(Time now, ClientId id);

    // Events of connections to nodes: see NodeConnections.

    void node_connected(Time now, NodeConnectionId id);
    void node_connect_failed(Time now, NodeConnectionId id);
    void node_received(Time now, NodeConnectionId id, std::string_view bytes);
    void node_disconnected(Time now, NodeConnectionId id);
    void node_sent(Time now, NodeConnectionId id, std::size_t bytes);

    // Time.

    /// When settle must be called next; the largest Time if never.
    Time next_due() const;
    /// Ends a moment: handles what is due, dispatches waiting requests and hands out the answers.
    void settle(Time now);

    // Statistics, for logs and tests.

    std::size_t scheduled_requests() const { return state_.scheduled.size(); }
    std::size_t buffered_bytes() const { return state_.admission.buffered_bytes(); }
    /// Identifies this process to the nodes.
    std::uint64_t incarnation() const { return state_.incarnation; }

private:
    ClientSession *find_client(ClientId id);
    void remove_client(ClientId id);
    void update_admission();
    void flush_clients();

    EdgeState state_;
    RequestTable requests_;
    RequestSplitter splitter_;
    AttemptTracker attempts_;
    std::map<ClientId, std::unique_ptr<ClientSession>> clients_;
    std::uint64_t endpoint_list_version_ = 0;
    std::map<NodeId, std::string> listed_addresses_; // of the list being received
};

} // namespace knotvane::edge
