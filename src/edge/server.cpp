#include "edge/server.hpp"

#include <algorithm>

#include "edge/plan_cache_file.hpp"
#include "edge/settings.hpp"
#include "log/log.hpp"

namespace knotvane::edge {

Server::Server(
    loop::Loop &loop, settings::File &file,
    const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t)> &scheduler)
    : loop_(loop) {
    std::string listen;
    std::uint64_t seed = 0;
    read_identity(
        file, [&](std::uint64_t id, std::uint32_t, std::uint32_t, std::string at, std::string nodes,
                  std::uint64_t s) { id_ = id, listen = at, nodes_path_ = nodes, seed = s; });
    read_layout(file, [&](std::uint64_t extent, std::uint64_t span, std::uint64_t unit,
                          std::vector<ShardId> shards) {
        core_ = std::make_unique<Core>(
            *this, [&](SchedulerActions &a) { return scheduler(a, seed + id_); },
            CoreConfig{id_, static_cast<std::uint64_t>(loop::now()), extent, span, unit,
                       std::move(shards)});
    });
    read_service(file, core_.get());
    core_->start(loop::now());
    listener_ =
        std::make_unique<loop::Listener>(loop_, listen, [this](std::shared_ptr<loop::Socket> s) {
            ClientId id{++next_client_};
            clients_.add(id, s);
            s->on_bytes = [this, id](std::string_view in) {
                core_->client_received(loop::now(), id, in);
            };
            s->on_written = [this, id](std::size_t n) { core_->client_sent(loop::now(), id, n); };
            s->on_gone = [this, id](loop::Gone) {
                clients_.remove(id);
                core_->client_disconnected(loop::now(), id);
            };
            s->start();
            core_->client_connected(loop::now(), id);
        });
    follow_planner(file, seed);
    if (!planner_client_) {
        load_endpoint_file();
        watch_ =
            std::make_unique<loop::Watch>(loop_, nodes_path_, [this] { load_endpoint_file(); });
    }
    loop_.at_end([this] { return end_of_moment(); });
}
Server::~Server() {
    loop_.at_end(nullptr);
    planner_.reset();
}

void Server::follow_planner(settings::File &file, std::uint64_t seed) {
    std::string planner;
    Time renew_every = 0, trust = 0;
    read_planner(file, [&](std::string at, std::string plan_file, Time every, Time trusted) {
        planner = at, plan_path_ = plan_file, renew_every = every, trust = trusted;
    });
    if (planner.empty())
        return;
    planner_ = std::make_unique<loop::Dialled>(loop_, planner);
    planner_client_ = std::make_unique<Subscription>(
        *this, control::EdgeId{id_}, listener_->address(), seed, renew_every, trust);
    planner_->on_up = [this] { planner_client_->up(loop::now()); };
    planner_->on_down = [this] { planner_client_->down(loop::now()); };
    planner_->on_bytes = [this](std::string_view in) { planner_client_->bytes(loop::now(), in); };
    core_->follow_cluster_state(planner_client_->copy().table());
    std::string fault;
    planner_client_->start(loop::now(),
                           plan_path_.empty() ? "" : settings::File::slurp(plan_path_, fault));
}
void Server::volume_used(VolumeId volume, bool on) {
    if (planner_client_)
        planner_client_->volume_used(loop::now(), volume, on);
}
void Server::snapshot_step_done(VolumeId as, control::SnapshotStep step,
                                control::EdgeIncarnation incarnation) {
    if (planner_client_)
        planner_client_->cut_told(as, step, incarnation);
}
void Server::cut_hold(VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) {
    core_->hold_snapshot(loop::now(), {of, as, epoch}, longest);
}
void Server::cut_go(VolumeId of, VolumeId as, std::uint32_t epoch) {
    core_->resume_snapshot(loop::now(), {of, as, epoch});
}
void Server::cut_release(VolumeId of, VolumeId as) {
    core_->release_snapshot(loop::now(), of, as);
}
void Server::planner_lost() {
    core_->planner_lost(loop::now());
}
void Server::quota_share_changed(VolumeId volume, double hosts) {
    core_->quota_share_changed(loop::now(), volume, hosts);
}
void Server::plan_taken(const control::ClusterState &table, bool nodes, bool plans,
                        const std::map<NodeId, Time> &started) {
    if (plans)
        for (auto &[id, p] : table.plans)
            core_->set_plan(id, plan_config(p));
    core_->cluster_state_changed(loop::now());
    if (!nodes)
        return;
    EndpointList list;
    for (auto &[id, n] : table.nodes)
        list.nodes.push_back({id, n.address, n.shard, n.zone, n.state, started.at(id)});
    list.version = ++lists_;
    apply_endpoint_list(list);
}
void Server::keep_plan(std::string bytes, bool anew) {
    if (plan_path_.empty())
        return;
    bool well = write_plan(plan_path_, bytes, anew);
    if (!well && !std::exchange(said_unkept_, true))
        log_event(plan_path_ + ": the last plan can't be kept there");
    if (well)
        said_unkept_ = false;
}

void Server::load_endpoint_file() {
    std::string fault;
    auto text = settings::File::slurp(nodes_path_, fault);
    std::vector<std::string> faults;
    if (!fault.empty())
        faults.push_back(fault);
    EndpointList list;
    if (faults.empty())
        list = parse_endpoint_list(nodes_path_, text, faults);
    if (!faults.empty()) {
        std::string all;
        for (auto &f : faults)
            all += f + "\n";
        // Each rejection is reported once, not at every look at the same file.
        if (all != last_faults_)
            for (auto &f : faults)
                log::line(log::error, "node list refused, the last one stays", {{"fault", f}});
        last_faults_ = all;
        return;
    }
    last_faults_.clear();
    apply_endpoint_list(list);
}
void Server::apply_endpoint_list(const EndpointList &list) {
    if (!core_->endpoint_list_begin(loop::now(), list.version))
        return;
    for (auto &n : list.nodes)
        core_->endpoint_listed({n.id, n.shard, n.zone, n.state, n.started},
                               resolve_address ? resolve_address(n.id, n.address) : n.address);
    core_->endpoint_list_end();
    log::line(log::info, "node list taken",
              {{"edge", std::to_string(id_)},
               {"version", std::to_string(list.version)},
               {"nodes", std::to_string(list.nodes.size())}});
    if (on_endpoint_list)
        on_endpoint_list(list);
}

Time Server::end_of_moment() {
    if (planner_client_)
        planner_client_->tick(loop::now());
    // What was written makes room for more, which is sent in the same moment; a few rounds do.
    for (int round = 0; round < 4; ++round) {
        core_->settle(loop::now());
        if (!clients_.has_out() && !links_.has_out())
            break;
        links_.flush();
        clients_.flush();
    }
    if (!planner_client_)
        return core_->next_due();
    planner_->flush();
    return std::min(core_->next_due(), planner_client_->next_due());
}

void Server::connect(NodeConnectionId id, const std::string &address) {
    auto s = std::make_shared<loop::Socket>(loop_);
    links_.add(id, s);
    s->on_bytes = [this, id](std::string_view in) { core_->node_received(loop::now(), id, in); };
    s->on_written = [this, id](std::size_t n) { core_->node_sent(loop::now(), id, n); };
    s->on_gone = [this, id](loop::Gone) {
        links_.remove(id);
        core_->node_disconnected(loop::now(), id);
    };
    s->connect(address, [this, id](bool well) {
        if (!links_.find(id))
            return;
        if (well)
            return core_->node_connected(loop::now(), id);
        links_.remove(id)->close();
        core_->node_connect_failed(loop::now(), id);
    });
}
void Server::send(NodeConnectionId id, std::string bytes) {
    links_.send(id, std::move(bytes));
}
void Server::close(NodeConnectionId id) {
    if (auto s = links_.remove(id))
        s->close();
}
void Server::send_client(ClientId id, std::string bytes) {
    clients_.send(id, std::move(bytes));
}
void Server::close_client(ClientId id) {
    if (auto s = clients_.remove(id))
        s->close_when_sent();
}
void Server::pause_client(ClientId id, bool hold) {
    if (auto s = clients_.find(id))
        s->hold(hold);
}
void Server::log_event(std::string text) {
    log::line(log::warn, text, {{"edge", std::to_string(id_)}});
}
void Server::attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) {
    if (planner_client_)
        planner_client_->attempt_completed(loop::now(), node, how);
    if (!log::shown(log::debug))
        return;
    static constexpr const char *names[] = {"answered",    "error", "full",       "timed_out",
                                            "unreachable", "reset", "called_off", "unsent"};
    log::line(log::debug, "shot ended",
              {{"edge", std::to_string(id_)},
               {"task", std::to_string(task.value)},
               {"node", std::to_string(node.value)},
               {"how", names[static_cast<int>(how)]},
               {"us", std::to_string(took / us)}});
}

} // namespace knotvane::edge
