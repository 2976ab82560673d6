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
            *this, [&](SchedulerActions &a) { return scheduler(a, seed + id_); }, id_,
            static_cast<std::uint64_t>(loop::now()), extent, span, unit, std::move(shards));
    });
    read_service(file, core_.get());
    core_->ready(loop::now());
    listener_ =
        std::make_unique<loop::Listener>(loop_, listen, [this](std::shared_ptr<loop::Socket> s) {
            ClientId id{++next_client_};
            clients_.add(id, s);
            s->on_bytes = [this, id](std::string_view in) {
                core_->client_bytes(loop::now(), id, in);
            };
            s->on_written = [this, id](std::size_t n) {
                core_->client_written(loop::now(), id, n);
            };
            s->on_gone = [this, id](loop::Gone) {
                clients_.remove(id);
                core_->client_gone(loop::now(), id);
            };
            s->start();
            core_->client_came(loop::now(), id);
        });
    follow_planner(file, seed);
    if (!subscription_) {
        read_list();
        watch_ = std::make_unique<loop::Watch>(loop_, nodes_path_, [this] { read_list(); });
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
    subscription_ = std::make_unique<PlannerClient>(
        *this,
        PlannerClientConfig{control::EdgeId{id_}, listener_->address(), seed, renew_every, trust});
    planner_->on_up = [this] { subscription_->connected(loop::now()); };
    planner_->on_down = [this] { subscription_->disconnected(loop::now()); };
    planner_->on_bytes = [this](std::string_view in) { subscription_->received(loop::now(), in); };
    core_->follow(subscription_->replica().cluster_state());
    std::string fault;
    subscription_->start(loop::now(),
                         plan_path_.empty() ? "" : settings::File::slurp(plan_path_, fault));
}
void Server::volume_used(VolumeId volume, bool on) {
    if (subscription_)
        subscription_->volume_used(loop::now(), volume, on);
}
void Server::cut_told(VolumeId as, control::SnapshotStep step,
                      control::EdgeIncarnation incarnation) {
    if (subscription_)
        subscription_->report_snapshot_step(as, step, incarnation);
}
void Server::snapshot_hold(const control::SnapshotHold &order) {
    core_->cut_hold(loop::now(), order.volume, order.snapshot, order.epoch, order.max_hold);
}
void Server::snapshot_resume(const control::SnapshotResume &order) {
    core_->cut_go(loop::now(), order.volume, order.snapshot, order.epoch);
}
void Server::snapshot_release(const control::SnapshotRelease &order) {
    core_->cut_release(loop::now(), order.volume, order.snapshot);
}
void Server::planner_lost() {
    core_->planner_lost(loop::now());
}
void Server::quota_share_changed(VolumeId volume, double hosts) {
    core_->quota_share_changed(loop::now(), volume, hosts);
}
void Server::cluster_state_changed(const control::ClusterState &table, bool nodes, bool plans,
                                   const std::map<NodeId, Time> &started) {
    if (plans)
        for (auto &[id, p] : table.plans)
            core_->plan_told(id, p.weight, p.usual, p.reserve, p.price, p.rate, p.burst);
    core_->facts_changed(loop::now());
    if (!nodes)
        return;
    NodeList list;
    for (auto &[id, n] : table.nodes)
        list.nodes.push_back({id, n.address, n.shard, n.zone, n.state, started.at(id)});
    list.version = ++lists_;
    take_list(list);
}
void Server::store_plan(std::string bytes, bool anew) {
    if (plan_path_.empty())
        return;
    bool well = write_plan(plan_path_, bytes, anew);
    if (!well && !std::exchange(said_unkept_, true))
        say(plan_path_ + ": the last plan can't be kept there");
    if (well)
        said_unkept_ = false;
}

void Server::read_list() {
    std::string fault;
    auto text = settings::File::slurp(nodes_path_, fault);
    std::vector<std::string> faults;
    if (!fault.empty())
        faults.push_back(fault);
    NodeList list;
    if (faults.empty())
        list = read_nodes(nodes_path_, text, faults);
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
    take_list(list);
}
void Server::take_list(const NodeList &list) {
    if (!core_->endpoint_list_begin(loop::now(), list.version))
        return;
    for (auto &n : list.nodes)
        core_->endpoint_listed(n.id, on_the_way ? on_the_way(n.id, n.address) : n.address, n.shard,
                               n.zone, n.state, n.started);
    core_->endpoint_list_end();
    log::line(log::info, "node list taken",
              {{"edge", std::to_string(id_)},
               {"version", std::to_string(list.version)},
               {"nodes", std::to_string(list.nodes.size())}});
    if (on_list)
        on_list(list);
}

Time Server::end_of_moment() {
    if (subscription_)
        subscription_->tick(loop::now());
    // What was written makes room for more, which is sent in the same moment; a few rounds do.
    for (int round = 0; round < 4; ++round) {
        core_->settle(loop::now());
        if (!clients_.has_out() && !links_.has_out())
            break;
        links_.flush();
        clients_.flush();
    }
    if (!subscription_)
        return core_->next_due();
    planner_->flush();
    return std::min(core_->next_due(), subscription_->next_due());
}

void Server::connect(LinkId id, const std::string &address) {
    auto s = std::make_shared<loop::Socket>(loop_);
    links_.add(id, s);
    s->on_bytes = [this, id](std::string_view in) { core_->link_bytes(loop::now(), id, in); };
    s->on_written = [this, id](std::size_t n) { core_->link_written(loop::now(), id, n); };
    s->on_gone = [this, id](loop::Gone) {
        links_.remove(id);
        core_->link_gone(loop::now(), id);
    };
    s->connect(address, [this, id](bool well) {
        if (!links_.find(id))
            return;
        if (well)
            return core_->link_up(loop::now(), id);
        links_.remove(id)->close();
        core_->link_failed(loop::now(), id);
    });
}
void Server::send(LinkId id, std::string bytes) {
    links_.send(id, std::move(bytes));
}
void Server::close(LinkId id) {
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
void Server::hold_client(ClientId id, bool hold) {
    if (auto s = clients_.find(id))
        s->hold(hold);
}
void Server::say(std::string text) {
    log::line(log::warn, text, {{"edge", std::to_string(id_)}});
}
void Server::attempt_completed(RequestId task, NodeId node, AttemptOutcome how, Time took) {
    if (subscription_)
        subscription_->attempt_completed(loop::now(), node, how);
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
