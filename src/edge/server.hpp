// An edge on sockets: the core's shell. It carries bytes, time and calls, and decides nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "edge/core.hpp"
#include "edge/endpoint_file.hpp"
#include "edge/planner_client.hpp"
#include "loop/dialled.hpp"
#include "loop/loop.hpp"
#include "loop/sockets.hpp"
#include "settings/ini.hpp"

namespace knotvane::edge {

class Server final : public Shell, public PlannerClientActions {
public:
    // Sets up from settings that were checked; `scheduler` makes the decisions. Throws
    // std::runtime_error where the address can't be listened on.
    Server(loop::Loop &loop, settings::File &file,
           const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>
               &scheduler);
    ~Server() override;
    const std::string &address() const { return listener_->address(); }
    Core &core() { return *core_; }
    // The list of nodes as it stands in the file; a list with faults or an old version changes
    // nothing.
    void read_list();
    // Told after each list that was taken.
    std::function<void(const NodeList &)> on_list;
    // Gives the address to connect to for a node's; for a relay between.
    std::function<std::string(NodeId node, const std::string &address)> on_the_way;
    // With a planner: its word, and whether to leave unread what it says.
    const PlannerClient *subscription() const { return subscription_.get(); }
    void deafen(bool deaf) { planner_->hold(deaf); }

    void connect(LinkId link, const std::string &address) override;
    void send(LinkId link, std::string bytes) override;
    void close(LinkId link) override;
    void send_client(ClientId client, std::string bytes) override;
    void close_client(ClientId client) override;
    void hold_client(ClientId client, bool hold) override;
    void say(std::string text) override;
    void log_event(std::string text) override { say(std::move(text)); }
    void attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) override;
    void volume_used(VolumeId volume, bool on) override;
    void cut_told(VolumeId as, control::SnapshotStep step,
                  control::EdgeIncarnation incarnation) override;
    void connect_planner() override { planner_->dial(); }
    void disconnect_planner() override { planner_->hang_up(); }
    void send_planner(std::string bytes) override { planner_->send(std::move(bytes)); }
    void store_plan(std::string bytes, bool anew) override;
    void cluster_state_changed(const control::ClusterState &table, bool nodes, bool plans,
                               const std::map<NodeId, Time> &started) override;
    void quota_share_changed(VolumeId volume, double hosts) override;
    void snapshot_hold(const control::SnapshotHold &order) override;
    void snapshot_resume(const control::SnapshotResume &order) override;
    void snapshot_release(const control::SnapshotRelease &order) override;
    void planner_lost() override;

private:
    void take_list(const NodeList &list);
    void follow_planner(settings::File &file, std::uint64_t seed);
    Time end_of_moment();
    loop::Loop &loop_;
    std::string nodes_path_, plan_path_, last_faults_;
    std::uint64_t id_ = 0, next_client_ = 0;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::Watch> watch_;
    std::unique_ptr<loop::Dialled> planner_;
    std::unique_ptr<PlannerClient> subscription_; // with a planner
    std::uint64_t lists_ = 0;
    bool said_unkept_ = false;
    loop::Sockets<ClientId> clients_;
    loop::Sockets<LinkId> links_;
};

} // namespace knotvane::edge
