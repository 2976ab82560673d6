#include "planner/core.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "control/encode.hpp"
#include "planner/receiver.hpp"
#include "planner/state_rows.hpp"
#include "planner/status_report.hpp"

namespace knotvane::planner {
namespace {

// A commit that failed (for example, because the disk is full) is retried after this time.
constexpr Time commit_retry_interval = 500 * ms;

std::string describe(const Session &session) {
    switch (session.role) {
    case Session::Role::unknown:
        return "a peer";
    case Session::Role::edge:
        return "edge " + text(session.edge);
    case Session::Role::node:
        return "node " + text(session.node);
    case Session::Role::operator_client:
        return "an operator's client";
    }
    return "a peer";
}

} // namespace

Core::Core(PlannerTransport &transport, StateStore &store, const PlannerConfig &config)
    : config_(config), context_(transport, store) {}

// ---- Start.

std::string Core::restore(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                          Version stamp, std::string_view body) {
    context_.state.set_restored_version(stamp);
    try {
        restore_row(row, first_id, second_id, body);
    } catch (const control::ProtocolError &error) {
        return error.what();
    }
    return {};
}

void Core::restore_row(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                       std::string_view body) {
    using Row = StateStore::Row;
    switch (row) {
    case Row::plan: {
        auto plan = decode_plan_row(body);
        context_.desired.plans[plan.name] = plan;
        context_.state.put(PlanId{static_cast<std::uint32_t>(first_id)}, plan);
        return;
    }
    case Row::volume:
        context_.state.put(VolumeId{first_id}, decode_volume_row(body));
        return;
    case Row::node:
        context_.state.put(NodeId{first_id}, decode_node_row(body));
        return;
    case Row::quota_share:
        quotas_.restore(VolumeId{second_id}, EdgeId{first_id}, decode_quota_share_row(body));
        return;
    case Row::drained_node:
        nodes_.restore_drain(NodeId{first_id});
        return;
    case Row::desired_node:
        context_.desired.nodes[NodeId{first_id}] = decode_desired_node_row(body);
        return;
    case Row::incomplete:
        snapshots_.restore_incomplete(VolumeId{first_id}, VolumeId{second_id},
                                      decode_epoch_row(body));
        return;
    }
    throw control::ProtocolError("row of unknown kind " + std::to_string(static_cast<int>(row)));
}

// Restores the settings' volumes from the stored cluster state.
void Core::restore_desired_volumes() {
    const auto &state = context_.state.cluster_state();
    for (const auto &[id, volume] : state.volumes) {
        if (volume.is_snapshot_or_clone())
            continue; // created by an operator, not part of the settings
        auto plan = state.plans.find(volume.plan);
        context_.desired.volumes[id] = {volume, plan == state.plans.end() ? "" : plan->second.name,
                                        0};
    }
}

bool Core::start(Time now, const PlannerStart &start) {
    const auto &position = start.position;
    started_ = now;
    context_.now = now;
    context_.term = position.term;
    context_.instance = start.instance;
    context_.lineage = position.lineage;
    context_.desired.version = position.settings_version;
    context_.state.restore(position.version, position.oldest_version);
    restore_desired_volumes();
    nodes_.start();
    quotas_.start(position.version);
    // Set again, because quotas_.start sets the version of each quota share in turn.
    context_.state.restore(position.version, position.oldest_version);
    snapshots_.start();
    if (start.rebuilt)
        quotas_.start_recovery();
    is_started_ = commit();
    return is_started_;
}

// ---- Settings.

std::vector<DesiredStateFault> Core::apply_desired_state(Time now, const DesiredState &desired) {
    context_.now = now;
    const auto current = context_.desired.version;
    if (current > 0 && desired.version < current)
        return {{0, "version " + std::to_string(desired.version) +
                        " is older than the one in use, " + std::to_string(current)}};
    if (current > 0 && desired.version == current)
        return {};
    auto faults = desired_state_change_.check(desired);
    if (!faults.empty())
        return faults;
    desired_state_change_.apply(desired);
    snapshots_.update_shards();
    return {};
}

// ---- Sessions.

void Core::connected(Time now, SessionId id) {
    context_.now = now;
    auto &session = context_.sessions.all.insert_or_assign(id, Session(id)).first->second;
    session.last_received = now;
}

void Core::received(Time now, SessionId id, std::string_view bytes) {
    context_.now = now;
    auto it = context_.sessions.all.find(id);
    if (it == context_.sessions.all.end() || it->second.closed)
        return;
    auto &session = it->second;
    session.last_received = now;
    Receiver receiver(*this, session);
    std::string why;
    try {
        session.decoder.decode(bytes, receiver);
        why = session.error;
    } catch (const control::ProtocolError &error) {
        why = error.what();
    }
    if (!why.empty() && !session.closed)
        close(session, why);
}

void Core::disconnected(Time now, SessionId id) {
    context_.now = now;
    auto &[all, edges, nodes] = context_.sessions;
    auto it = all.find(id);
    if (it == all.end())
        return;
    const auto &session = it->second;
    if (auto edge = edges.find(session.edge);
        session.role == Session::Role::edge && edge != edges.end() && edge->second == id) {
        edges.erase(edge);
        nodes_.edge_disconnected(session.edge);
        snapshots_.edge_disconnected(session.edge);
    }
    if (auto node = nodes.find(session.node);
        session.role == Session::Role::node && node != nodes.end() && node->second == id) {
        nodes.erase(node);
        snapshots_.node_disconnected(session.node);
    }
    all.erase(it);
}

void Core::close(Session &session, const std::string &why) {
    session.closed = true;
    context_.transport.log_event(describe(session) + ": connection closed: " + why);
    context_.transport.close(session.id);
}

void Core::replace_session(SessionId old_session, const std::string &why) {
    close(context_.sessions.all.at(old_session), why);
    disconnected(context_.now, old_session);
}

void Core::edge_hello(Session &session, const control::EdgeHello &hello) {
    if (!leadership_.check(hello))
        return;
    auto &edges = context_.sessions.edges;
    if (auto it = edges.find(hello.edge); it != edges.end() && it->second != session.id)
        replace_session(it->second, "replaced by a newer connection of the same edge");
    session.role = Session::Role::edge;
    session.edge = hello.edge;
    auto &view = session.edge_view;
    view.listen_address = hello.listen_address;
    view.term = hello.term;
    view.lineage = hello.lineage;
    view.acknowledged = hello.lineage == context_.lineage ? hello.version : Version{0};
    view.sent = view.acknowledged;
    edges[hello.edge] = session.id;
    quotas_.edge_connected(session, hello.served_volumes);
    if (context_.recovering)
        nodes_.restore_drains_known_to_edge(hello.draining_nodes);
}

void Core::lease_renewal(Session &session, const control::LeaseRenewal &renewal) {
    if (renewal.term > context_.term)
        leadership_.observe_other_planner(renewal.term, "edge " + text(session.edge));
    else
        quotas_.renew(session, renewal);
}

void Core::refuse_node(Session &session, const control::NodeHello &hello, const std::string &why) {
    const auto who = "node " + text(hello.node);
    if (logged_refusals_.insert(who + why).second)
        context_.transport.log_event(who + " at " + hello.address +
                                     ": registration rejected: " + why);
    session.closed = true;
    context_.transport.close(session.id);
}

void Core::node_hello(Session &session, const control::NodeHello &hello) {
    if (auto why = nodes_.refusal(hello); !why.empty())
        return refuse_node(session, hello, why);
    auto &nodes = context_.sessions.nodes;
    if (auto it = nodes.find(hello.node); it != nodes.end() && it->second != session.id)
        replace_session(it->second, "replaced by a newer connection of the same node");
    session.role = Session::Role::node;
    session.node = hello.node;
    nodes[hello.node] = session.id;
    nodes_.registered(hello);
    snapshots_.node_connected(hello.node, hello.shard);
}

// ---- Settling a moment.

// Stores the rows of all entries changed in the open version, then closes the version. The rows of
// quota shares are stored by QuotaManager.
void Core::store_changes() {
    using Kind = VersionedState::Kind;
    using Row = StateStore::Row;
    const auto version = context_.state.open_version();
    const auto &state = context_.state.cluster_state();
    quotas_.allocate();
    auto keep = [&](Row row, const auto &entries, auto id, const auto &encode_entry) {
        if (auto it = entries.find(id); it != entries.end())
            context_.store.put(row, id.value, 0, version, encode_entry(id, it->second));
        else
            context_.store.erase(row, id.value, 0);
    };
    for (const auto &key : context_.state.changed()) {
        switch (key.kind) {
        case Kind::plan:
            keep(Row::plan, state.plans, PlanId{static_cast<std::uint32_t>(key.id)},
                 [](PlanId id, const auto &plan) {
                     return control::encode(control::PlanUpdate{id, plan});
                 });
            break;
        case Kind::volume:
            keep(Row::volume, state.volumes, VolumeId{key.id}, [](VolumeId id, const auto &volume) {
                return control::encode(control::VolumeUpdate{id, volume});
            });
            break;
        case Kind::node:
            keep(Row::node, state.nodes, NodeId{key.id}, [](NodeId id, const auto &node) {
                return control::encode(control::NodeUpdate{id, node});
            });
            break;
        case Kind::quota_share:
            break;
        }
    }
    if (context_.state.close())
        context_.commit_due = true;
}

bool Core::commit() {
    return context_.store.commit(context_.position());
}

void Core::settle(Time now) {
    context_.now = now;
    if (context_.retired || !is_started_)
        return;
    quotas_.expire();
    nodes_.decide(quotas_.leases().held_count());
    snapshots_.settle();
    store_changes();
    // Only durable state is sent: a planner that restarts from its store must know everything that
    // it sent before.
    if (context_.commit_due && !commit())
        return;
    context_.commit_due = false;
    snapshots_.drop_from_nodes();
    for (auto &[session, bytes] : std::exchange(context_.replies_after_commit, {}))
        if (context_.sessions.all.contains(session))
            context_.transport.send(session, std::move(bytes));
    updates_.send();
    snapshots_.begin_committed();
}

Time Core::next_due() const {
    if (context_.retired)
        return std::numeric_limits<Time>::max();
    auto due = std::min(
        {quotas_.next_due(), nodes_.next_due(), snapshots_.next_due(), updates_.next_due()});
    return context_.commit_due ? std::min(due, context_.now + commit_retry_interval) : due;
}

std::string Core::status_json(Time now) const {
    return build_status_report({context_, nodes_, quotas_, snapshots_, started_}, now);
}

} // namespace knotvane::planner
