/// \file
/// Runs an edge's core with real sockets, files and time. It contains no scheduling decisions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "edge/core.hpp"
#include "edge/endpoint_file.hpp"
#include "edge/planner_client.hpp"
#include "edge/settings.hpp"
#include "loop/file_watcher.hpp"
#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/outgoing_connection.hpp"
#include "loop/socket.hpp"
#include "loop/socket_map.hpp"
#include "settings/ini.hpp"

namespace knotvane::edge {

/// Runs a core on an event loop. All calls must be made on the loop's thread.
class Server final : public Shell, public PlannerClientActions {
public:
    /// @param loop must outlive the server.
    /// @param file settings that `check` has found no faults in.
    /// @param scheduler makes the scheduler, given its actions and the seed of its random choices.
    /// @throw std::runtime_error if listening on the configured address fails.
    Server(loop::Loop &loop, settings::File &file,
           const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>
               &scheduler);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }
    /// Reads the endpoint list file and applies it. A list with faults or an outdated version
    /// changes nothing.
    void load_endpoint_file();
    /// Called after an endpoint list was accepted.
    std::function<void(const EndpointList &)> on_endpoint_list;
    /// If set, returns the address to connect to instead of a node's own, such as that of a relay.
    std::function<std::string(NodeId node, const std::string &address)> resolve_address;
    /// @return null without a planner.
    const PlannerClient *planner_client() const { return planner_client_.get(); }
    /// Pauses or resumes reading from the planner; for tests with a planner that hangs.
    void pause_planner(bool paused) { planner_->set_reading_paused(paused); }

    void connect(NodeConnectionId id, const std::string &address) override;
    void send(NodeConnectionId id, std::string bytes) override;
    void close(NodeConnectionId id) override;
    void send_client(ClientId id, std::string bytes) override;
    void close_client(ClientId id) override;
    void pause_client(ClientId id, bool paused) override;
    void log_event(std::string text) override;
    void attempt_completed(RequestId request, NodeId node, AttemptOutcome outcome,
                           Time duration) override;
    void volume_used(VolumeId volume, bool used) override;
    void snapshot_step_done(VolumeId snapshot, control::SnapshotStep step,
                            control::EdgeIncarnation incarnation) override;
    void connect_planner() override { planner_->connect(); }
    void disconnect_planner() override { planner_->disconnect(); }
    void send_planner(std::string bytes) override { planner_->send(std::move(bytes)); }
    void store_cluster_state(std::string bytes, bool replace) override;
    void cluster_state_changed(const control::ClusterState &cluster_state, bool nodes, bool plans,
                               const std::map<NodeId, Time> &started) override;
    void quota_share_changed(VolumeId volume, double sharers) override;
    void snapshot_hold(const control::SnapshotHold &order) override;
    void snapshot_resume(const control::SnapshotResume &order) override;
    void snapshot_release(const control::SnapshotRelease &order) override;
    void planner_lost() override;

private:
    void apply_endpoint_list(const EndpointList &list);
    void accept(const std::shared_ptr<loop::Socket> &socket);
    void follow_planner(const PlannerSettings &settings, std::uint64_t seed);
    Time end_of_moment();
    loop::Loop &loop_;
    std::string endpoint_path_; // path of the endpoint list; empty with a planner
    std::string cluster_state_path_;
    std::vector<std::string> last_faults_; // in the endpoint list, already logged
    std::uint64_t id_ = 0;
    std::uint64_t last_client_ = 0;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::FileWatcher> endpoint_watcher_;
    std::unique_ptr<loop::OutgoingConnection> planner_;
    std::unique_ptr<PlannerClient> planner_client_; // with a planner
    std::uint64_t last_list_version_ = 0;           // of the lists from the planner
    bool store_failure_logged_ = false;
    loop::SocketMap<ClientId> clients_;
    loop::SocketMap<NodeConnectionId> node_connections_;
};

} // namespace knotvane::edge
