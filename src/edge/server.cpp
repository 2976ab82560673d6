#include "edge/server.hpp"

#include <algorithm>
#include <utility>

#include "edge/plan_cache_file.hpp"
#include "edge/settings.hpp"
#include "log/log.hpp"

namespace knotvane::edge {
namespace {

const char *name_of(AttemptOutcome outcome) {
    switch (outcome) {
    case AttemptOutcome::answered:
        return "answered";
    case AttemptOutcome::error:
        return "error";
    case AttemptOutcome::overloaded:
        return "overloaded";
    case AttemptOutcome::timed_out:
        return "timed_out";
    case AttemptOutcome::unreachable:
        return "unreachable";
    case AttemptOutcome::reset:
        return "reset";
    case AttemptOutcome::canceled:
        return "canceled";
    case AttemptOutcome::not_sent:
        return "not_sent";
    }
    return "unknown";
}

} // namespace

Server::Server(
    loop::Loop &loop, settings::File &file,
    const std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t)> &scheduler)
    : loop_(loop) {
    auto identity = read_identity(file);
    auto layout = read_layout(file);
    id_ = identity.edge_id;
    endpoint_path_ = identity.endpoint_file;
    core_ = std::make_unique<Core>(
        *this, [&](SchedulerActions &actions) { return scheduler(actions, identity.seed + id_); },
        CoreConfig{id_, static_cast<std::uint64_t>(loop::now()), layout.extent_bytes,
                   layout.span_bytes, layout.bytes_per_unit, std::move(layout.shards)});
    apply(read_service(file), *core_);
    core_->start(loop::now());
    listener_ = std::make_unique<loop::Listener>(
        loop_, identity.listen,
        [this](const std::shared_ptr<loop::Socket> &socket) { accept(socket); });
    follow_planner(read_planner(file), identity.seed);
    if (!planner_client_) {
        load_endpoint_file();
        endpoint_watcher_ = std::make_unique<loop::FileWatcher>(loop_, endpoint_path_,
                                                                [this] { load_endpoint_file(); });
    }
    loop_.set_before_wait_callback([this] { return end_of_moment(); });
}

Server::~Server() {
    loop_.set_before_wait_callback(nullptr);
    planner_.reset();
}

void Server::accept(const std::shared_ptr<loop::Socket> &socket) {
    ClientId id{++last_client_};
    clients_.add(id, socket);
    socket->on_received = [this, id](std::string_view bytes) {
        core_->client_received(loop::now(), id, bytes);
    };
    socket->on_written = [this, id](std::size_t bytes) {
        core_->client_sent(loop::now(), id, bytes);
    };
    socket->on_disconnected = [this, id](loop::DisconnectReason) {
        clients_.remove(id);
        core_->client_disconnected(loop::now(), id);
    };
    socket->start();
    core_->client_connected(loop::now(), id);
}

void Server::follow_planner(const PlannerSettings &settings, std::uint64_t seed) {
    if (settings.address.empty())
        return;
    cluster_state_path_ = settings.plan_file;
    planner_ = std::make_unique<loop::OutgoingConnection>(loop_, settings.address);
    planner_client_ = std::make_unique<PlannerClient>(
        *this, PlannerClientConfig{control::EdgeId{id_}, listener_->address(), seed,
                                   settings.renew_every, settings.max_cache_age});
    planner_->on_connected = [this] { planner_client_->connected(loop::now()); };
    planner_->on_disconnected = [this] { planner_client_->disconnected(loop::now()); };
    planner_->on_received = [this](std::string_view bytes) {
        planner_client_->received(loop::now(), bytes);
    };
    core_->follow_cluster_state(planner_client_->replica().cluster_state());
    std::string fault;
    planner_client_->start(
        loop::now(),
        cluster_state_path_.empty() ? "" : settings::File::read_text(cluster_state_path_, fault));
}

void Server::volume_used(VolumeId volume, bool used) {
    if (planner_client_)
        planner_client_->volume_used(loop::now(), volume, used);
}

void Server::snapshot_step_done(VolumeId snapshot, control::SnapshotStep step,
                                control::EdgeIncarnation incarnation) {
    if (planner_client_)
        planner_client_->report_snapshot_step(snapshot, step, incarnation);
}

void Server::snapshot_hold(const control::SnapshotHold &order) {
    core_->hold_snapshot(loop::now(), {order.volume, order.snapshot, order.epoch}, order.max_hold);
}

void Server::snapshot_resume(const control::SnapshotResume &order) {
    core_->resume_snapshot(loop::now(), {order.volume, order.snapshot, order.epoch});
}

void Server::snapshot_release(const control::SnapshotRelease &order) {
    core_->release_snapshot(loop::now(), order.volume, order.snapshot);
}

void Server::planner_lost() {
    core_->planner_lost(loop::now());
}

void Server::quota_share_changed(VolumeId volume, double sharers) {
    core_->quota_share_changed(loop::now(), volume, sharers);
}

void Server::cluster_state_changed(const control::ClusterState &cluster_state, bool nodes,
                                   bool plans, const std::map<NodeId, Time> &started) {
    if (plans)
        for (auto &[id, plan] : cluster_state.plans)
            core_->set_plan(id, plan_config(plan));
    core_->cluster_state_changed(loop::now());
    if (!nodes)
        return;
    EndpointList list;
    for (auto &[id, node] : cluster_state.nodes)
        list.entries.push_back(
            {{id, node.shard, node.zone, node.state, started.at(id)}, node.address});
    list.version = ++last_list_version_;
    apply_endpoint_list(list);
}

void Server::store_cluster_state(std::string bytes, bool replace) {
    if (cluster_state_path_.empty())
        return;
    bool written = write_cluster_state(cluster_state_path_, bytes, replace);
    if (!written && !std::exchange(store_failure_logged_, true))
        log_event(cluster_state_path_ +
                  ": writing the cluster state failed; after a restart the edge may "
                  "find an outdated state or none");
    if (written)
        store_failure_logged_ = false;
}

void Server::load_endpoint_file() {
    std::string fault;
    auto text = settings::File::read_text(endpoint_path_, fault);
    std::vector<std::string> faults;
    EndpointList list;
    if (fault.empty())
        list = parse_endpoint_list(endpoint_path_, text, faults);
    else
        faults.push_back(fault);
    if (faults.empty()) {
        last_faults_.clear();
        return apply_endpoint_list(list);
    }
    // The same faults are logged only once, not each time that the file is read.
    if (faults != last_faults_)
        for (const auto &fault_text : faults)
            log::write(log::error, "endpoint list rejected; keeping the last accepted one",
                       {{"fault", fault_text}});
    last_faults_ = std::move(faults);
}

void Server::apply_endpoint_list(const EndpointList &list) {
    if (!core_->endpoint_list_begin(loop::now(), list.version))
        return;
    for (const auto &entry : list.entries) {
        const auto &address =
            resolve_address ? resolve_address(entry.endpoint.node, entry.address) : entry.address;
        core_->endpoint_listed(entry.endpoint, address);
    }
    core_->endpoint_list_end();
    log::write(log::info, "endpoint list accepted",
               {{"edge", std::to_string(id_)},
                {"version", std::to_string(list.version)},
                {"nodes", std::to_string(list.entries.size())}});
    if (on_endpoint_list)
        on_endpoint_list(list);
}

Time Server::end_of_moment() {
    if (planner_client_)
        planner_client_->tick(loop::now());
    // Bytes that were sent make room for more, which are sent in the same moment. A few rounds are
    // enough.
    for (int round = 0; round < 4; ++round) {
        core_->settle(loop::now());
        if (!clients_.has_unflushed() && !node_connections_.has_unflushed())
            break;
        node_connections_.flush();
        clients_.flush();
    }
    if (!planner_client_)
        return core_->next_due();
    planner_->flush();
    return std::min(core_->next_due(), planner_client_->next_due());
}

void Server::connect(NodeConnectionId id, const std::string &address) {
    auto socket = std::make_shared<loop::Socket>(loop_);
    node_connections_.add(id, socket);
    socket->on_received = [this, id](std::string_view bytes) {
        core_->node_received(loop::now(), id, bytes);
    };
    socket->on_written = [this, id](std::size_t bytes) {
        core_->node_sent(loop::now(), id, bytes);
    };
    socket->on_disconnected = [this, id](loop::DisconnectReason) {
        node_connections_.remove(id);
        core_->node_disconnected(loop::now(), id);
    };
    socket->connect(address, [this, id](bool connected) {
        if (!node_connections_.find(id))
            return;
        if (connected)
            return core_->node_connected(loop::now(), id);
        node_connections_.remove(id)->close();
        core_->node_connect_failed(loop::now(), id);
    });
}

void Server::send(NodeConnectionId id, std::string bytes) {
    node_connections_.send(id, std::move(bytes));
}

void Server::close(NodeConnectionId id) {
    if (auto socket = node_connections_.remove(id))
        socket->close();
}

void Server::send_client(ClientId id, std::string bytes) {
    clients_.send(id, std::move(bytes));
}

void Server::close_client(ClientId id) {
    if (auto socket = clients_.remove(id))
        socket->close_when_sent();
}

void Server::pause_client(ClientId id, bool paused) {
    if (auto socket = clients_.find(id))
        socket->set_reading_paused(paused);
}

void Server::log_event(std::string text) {
    log::write(log::warn, text, {{"edge", std::to_string(id_)}});
}

void Server::attempt_completed(RequestId request, NodeId node, AttemptOutcome outcome,
                               Time duration) {
    if (planner_client_)
        planner_client_->attempt_completed(loop::now(), node, outcome);
    if (!log::is_enabled(log::debug))
        return;
    log::write(log::debug, "attempt completed",
               {{"edge", std::to_string(id_)},
                {"request", std::to_string(request.value)},
                {"node", std::to_string(node.value)},
                {"outcome", name_of(outcome)},
                {"us", std::to_string(duration / us)}});
}

} // namespace knotvane::edge
