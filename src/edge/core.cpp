#include "edge/core.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::edge {

PlanConfig plan_config(const control::Plan &plan) {
    return {plan.weight, plan.expected_rate, plan.reserved_rate,
            plan.price,  plan.rate_limit,    plan.burst};
}

Core::Core(Shell &shell, const MakeScheduler &make_scheduler, const CoreConfig &config)
    : state_(shell, make_scheduler, config), requests_(state_), splitter_(state_, requests_),
      attempts_(state_, requests_, splitter_, config.edge_id) {}

// Set-up.

void Core::set_node_connections(const NodeConnectionConfig &config) {
    attempts_.set_node_connections(config);
}

void Core::set_admission_limits(const AdmissionLimits &limits) {
    state_.admission.set_limits(limits);
}

void Core::add_volume(VolumeId id, const VolumeConfig &volume) {
    state_.volumes.add_volume(id, volume);
}

void Core::start(Time now) {
    state_.clock.now = now;
    state_.scheduler.notify().start(now);
}

// From the planner.

void Core::follow_cluster_state(const control::ClusterState &cluster_state) {
    state_.volumes.follow(cluster_state);
}

void Core::cluster_state_changed(Time now) {
    state_.clock.now = now;
    state_.volumes.update();
    // Requests that waited for this change may proceed in the same moment.
    state_.scheduler.notify();
}

void Core::set_plan(PlanId id, const PlanConfig &plan) {
    state_.scheduler.notify().set_plan(id, plan);
}

void Core::quota_share_changed(Time now, VolumeId volume, double sharers) {
    state_.clock.now = now;
    state_.scheduler.notify().quota_share_changed(now, volume, sharers);
}

void Core::hold_snapshot(Time now, const SnapshotTarget &target, Time max_hold) {
    state_.clock.now = now;
    state_.snapshots.hold(now, target, max_hold);
    splitter_.start_released_changes(); // of an earlier hold
}

void Core::resume_snapshot(Time now, const SnapshotTarget &target) {
    state_.clock.now = now;
    state_.snapshots.resume(now, target);
    splitter_.start_released_changes();
}

void Core::release_snapshot(Time now, VolumeId volume, VolumeId snapshot) {
    state_.clock.now = now;
    state_.snapshots.release(volume, snapshot);
    splitter_.start_released_changes();
}

void Core::planner_lost(Time now) {
    state_.clock.now = now;
    state_.snapshots.planner_lost();
    splitter_.start_released_changes();
}

// The endpoint list.

bool Core::endpoint_list_begin(Time now, std::uint64_t version) {
    if (version <= endpoint_list_version_)
        return false;
    state_.clock.now = now;
    endpoint_list_version_ = version;
    listed_addresses_.clear();
    scheduler().endpoint_list_begin(now, EndpointListKind::full);
    return true;
}

void Core::endpoint_listed(const Endpoint &endpoint, const std::string &address) {
    if (endpoint.state != NodeState::removed)
        listed_addresses_[endpoint.node] = address;
    scheduler().endpoint_listed(endpoint);
}

void Core::endpoint_list_end() {
    state_.scheduler.notify().endpoint_list_end();
    attempts_.connections().set_nodes(std::exchange(listed_addresses_, {}));
}

// Events of clients' connections.

ClientSession *Core::find_client(ClientId id) {
    auto it = clients_.find(id);
    return it == clients_.end() ? nullptr : it->second.get();
}

void Core::client_connected(Time now, ClientId id) {
    state_.clock.now = now;
    auto &client = clients_[id];
    client = std::make_unique<ClientSession>(id, state_, splitter_);
    state_.clients_to_flush.insert(id);
    if (state_.admission.paused())
        client->pause_from_start();
}

void Core::client_received(Time now, ClientId id, std::string_view bytes) {
    state_.clock.now = now;
    auto *client = find_client(id);
    if (!client)
        return;
    client->nbd().receive(bytes);
    state_.clients_to_flush.insert(id);
    if (client->ended())
        remove_client(id);
    update_admission();
}

void Core::client_sent(Time now, ClientId id, std::size_t bytes) {
    state_.clock.now = now;
    auto *client = find_client(id);
    if (!client)
        return;
    client->output_sent(bytes);
    state_.clients_to_flush.insert(id);
    update_admission();
}

void Core::client_disconnected(Time now, ClientId id) {
    state_.clock.now = now;
    if (!find_client(id))
        return;
    remove_client(id);
    update_admission();
}

void Core::remove_client(ClientId id) {
    auto &client = *clients_.at(id);
    requests_.withdraw_all(client);
    client.flush_last_output();
    auto *volume = client.volume();
    state_.clients_to_flush.erase(id);
    clients_.erase(id);
    state_.shell.close_client(id);
    if (volume)
        state_.volumes.close(*volume);
}

void Core::update_admission() {
    if (!state_.admission.update(state_.scheduled.size()))
        return;
    for (auto &[id, client] : clients_) {
        client->nbd().pause_input(state_.admission.paused());
        state_.clients_to_flush.insert(id);
    }
}

// Events of connections to nodes.

void Core::node_connected(Time now, NodeConnectionId id) {
    attempts_.connections().connected(now, id);
}

void Core::node_connect_failed(Time, NodeConnectionId id) {
    attempts_.connections().connect_failed(id);
}

void Core::node_received(Time now, NodeConnectionId id, std::string_view bytes) {
    attempts_.connections().received(now, id, bytes);
}

void Core::node_disconnected(Time, NodeConnectionId id) {
    attempts_.connections().disconnected(id);
}

void Core::node_sent(Time now, NodeConnectionId id, std::size_t bytes) {
    attempts_.connections().sent(now, id, bytes);
}

// Time.

Time Core::next_due() const {
    Time due = std::min({attempts_.connections().next_due(), state_.snapshots.next_due(),
                         state_.scheduler.next_due()});
    return attempts_.has_completions() ? std::min(due, state_.clock.now) : due;
}

void Core::settle(Time now) {
    state_.clock.now = now;
    state_.snapshots.expire_holds(now);
    splitter_.start_released_changes();
    attempts_.connections().tick(now);
    state_.scheduler.expire_timers();
    attempts_.run();
    // An answer may release a request that was held back, which then reaches the scheduler in the
    // same moment. A few rounds handle nearly all of them; next_due reports the rest as due at
    // once, so that they are handled after other events.
    constexpr int max_rounds = 4;
    for (int round = 0; state_.scheduler.needs_settle() && round < max_rounds; ++round) {
        state_.scheduler.settle();
        attempts_.run();
    }
    update_admission();
    flush_clients();
}

void Core::flush_clients() {
    for (auto id : std::exchange(state_.clients_to_flush, {})) {
        auto *client = find_client(id);
        if (!client)
            continue;
        if (client->ended())
            remove_client(id);
        else
            client->flush_output();
    }
}

} // namespace knotvane::edge
