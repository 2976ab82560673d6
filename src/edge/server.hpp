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

class Server final : public Shell, public Line {
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
    void load_endpoint_file();
    // Told after each list that was taken.
    std::function<void(const EndpointList &)> on_endpoint_list;
    // Gives the address to connect to for a node's; for a relay between.
    std::function<std::string(NodeId node, const std::string &address)> resolve_address;
    // With a planner: its word, and whether to leave unread what it says.
    const Subscription *planner_client() const { return planner_client_.get(); }
    void pause_planner(bool paused) { planner_->hold(paused); }

    void connect(NodeConnectionId link, const std::string &address) override;
    void send(NodeConnectionId link, std::string bytes) override;
    void close(NodeConnectionId link) override;
    void send_client(ClientId client, std::string bytes) override;
    void close_client(ClientId client) override;
    void pause_client(ClientId client, bool hold) override;
    void log_event(std::string text) override;
    void say(std::string text) override { log_event(std::move(text)); }
    void attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) override;
    void volume_used(VolumeId volume, bool on) override;
    void snapshot_step_done(VolumeId as, control::SnapshotStep step,
                            control::EdgeIncarnation incarnation) override;
    void dial() override { planner_->dial(); }
    void hang_up() override { planner_->hang_up(); }
    void send_planner(std::string bytes) override { planner_->send(std::move(bytes)); }
    void keep_plan(std::string bytes, bool anew) override;
    void plan_taken(const control::ClusterState &table, bool nodes, bool plans,
                    const std::map<NodeId, Time> &started) override;
    void quota_share_changed(VolumeId volume, double hosts) override;
    void cut_hold(VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) override;
    void cut_go(VolumeId of, VolumeId as, std::uint32_t epoch) override;
    void cut_release(VolumeId of, VolumeId as) override;
    void planner_lost() override;

private:
    void apply_endpoint_list(const EndpointList &list);
    void follow_planner(settings::File &file, std::uint64_t seed);
    Time end_of_moment();
    loop::Loop &loop_;
    std::string nodes_path_, plan_path_, last_faults_;
    std::uint64_t id_ = 0, next_client_ = 0;
    std::unique_ptr<Core> core_;
    std::unique_ptr<loop::Listener> listener_;
    std::unique_ptr<loop::Watch> watch_;
    std::unique_ptr<loop::Dialled> planner_;
    std::unique_ptr<Subscription> planner_client_; // with a planner
    std::uint64_t lists_ = 0;
    bool said_unkept_ = false;
    loop::Sockets<ClientId> clients_;
    loop::Sockets<NodeConnectionId> links_;
};

} // namespace knotvane::edge
