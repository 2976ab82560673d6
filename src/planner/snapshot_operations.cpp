#include "planner/snapshot_operations.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// Attempts at a snapshot or clone if the reason of a failure may pass, such as a lost connection.
constexpr std::uint32_t max_attempts = 3;
constexpr std::size_t max_name_bytes = 255;

// An id of a snapshot or clone has the highest bit set, 23 bits of the planner's term and 40 bits
// of a counter.
constexpr std::uint64_t snapshot_id_bit = std::uint64_t{1} << 63;
constexpr std::uint64_t term_mask = 0x7fffff;
constexpr int count_bits = 40;

} // namespace

void SnapshotOperations::start() {
    const auto &volumes = context_.state.cluster_state().volumes;
    for (const auto &[snapshot, incomplete] : incomplete_) {
        coordinator_.drop_everywhere(snapshot, all_shards());
        // Some edges may already use its epoch, which must not be assigned a second time.
        auto it = volumes.find(incomplete.source);
        if (it == volumes.end() || it->second.epoch >= incomplete.epoch)
            continue;
        auto volume = it->second;
        volume.epoch = incomplete.epoch;
        context_.state.put(incomplete.source, volume);
    }
}

// ---- The current cluster

std::set<ShardId> SnapshotOperations::all_shards() const {
    std::set<ShardId> out;
    for (const auto &[id, node] : context_.desired.nodes)
        out.insert(node.shard);
    return out;
}

std::map<NodeId, ShardId> SnapshotOperations::connected_nodes() const {
    std::map<NodeId, ShardId> out;
    for (const auto &[id, session] : context_.sessions.nodes)
        if (auto it = context_.desired.nodes.find(id); it != context_.desired.nodes.end())
            out[id] = it->second.shard;
    return out;
}

// All nodes that can take part. Empty if a shard has none, and then `error` says so.
std::set<NodeId> SnapshotOperations::participating_nodes(std::string &error) const {
    const auto &nodes = context_.state.cluster_state().nodes;
    std::set<NodeId> out;
    std::set<ShardId> shards;
    for (const auto &[id, shard] : connected_nodes()) {
        auto it = nodes.find(id);
        if (it == nodes.end() || it->second.state == NodeState::removed)
            continue;
        out.insert(id);
        shards.insert(shard);
    }
    for (auto shard : all_shards())
        if (!shards.contains(shard))
            error = "no node of shard " + text(shard) + " is connected to the planner";
    return error.empty() ? out : std::set<NodeId>{};
}

std::optional<VolumeId> SnapshotOperations::find_volume(const std::string &name) const {
    const auto &names = context_.state.cluster_state().names;
    auto it = names.find(name);
    return it == names.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::uint64_t> SnapshotOperations::edges_using(VolumeId volume) const {
    std::vector<std::uint64_t> out;
    if (auto it = allocation_.holdings().find(volume); it != allocation_.holdings().end())
        for (const auto &[edge, holding] : it->second)
            if (holding.serves)
                out.push_back(edge.value);
    return out;
}

// ---- Requests

void SnapshotOperations::reply(SessionId session, const control::OperationResult &result) {
    context_.transport.send(session, control::encode(result));
}

void SnapshotOperations::reply_after_commit(SessionId session,
                                            const control::OperationResult &result) {
    context_.replies_after_commit.emplace_back(session, control::encode(result));
}

void SnapshotOperations::request(SessionId session, const control::SnapshotRequest &request) {
    switch (request.operation) {
    case control::SnapshotOperation::take:
    case control::SnapshotOperation::clone:
        return create(session, request);
    case control::SnapshotOperation::drop:
        return remove(session, request);
    case control::SnapshotOperation::compare:
        return compare(session, request);
    }
}

void SnapshotOperations::create(SessionId session, const control::SnapshotRequest &request) {
    Pending pending;
    if (auto error = check_creation(request, pending); !error.empty())
        return reply(session, {false, false, error});
    // With two open snapshots of one volume, late writes would reach only one of them. A failed
    // snapshot that is about to be retried counts as well.
    for (const auto &[id, other] : pending_)
        if (!pending.is_clone && !other.is_clone && other.source == pending.source)
            return reply(session,
                         {false, false, "another snapshot of " + request.name + " is in progress"});
    pending.session = session;
    pending.began_at = context_.now;
    prepare(std::move(pending));
}

std::string SnapshotOperations::check_new_name(const std::string &name,
                                               const std::string &full_name) const {
    if (name.empty() || name.find('@') != std::string::npos || full_name.size() > max_name_bytes)
        return "invalid name '" + name + "': expected a non-empty name without '@', of at most " +
               std::to_string(max_name_bytes) + " bytes including the volume's name";
    if (auto id = find_volume(full_name)) {
        const auto &volume = context_.state.cluster_state().volumes.at(*id);
        auto age = std::to_string((context_.now - volume.created_at) / sec);
        return full_name + " already exists" +
               (volume.is_snapshot_or_clone() ? ", created " + age + "s ago" : "");
    }
    for (const auto &[id, other] : pending_)
        if (other.volume.name == full_name)
            return full_name + " is already being created";
    return {};
}

// Returns why the request is refused. Returns an empty string if it is allowed, and then `pending`
// describes the snapshot or clone to make.
std::string SnapshotOperations::check_creation(const control::SnapshotRequest &request,
                                               Pending &pending) const {
    const auto source_id = find_volume(request.name);
    if (!source_id)
        return "there is no volume or snapshot " + request.name;
    const auto &source = context_.state.cluster_state().volumes.at(*source_id);
    const bool take = request.operation == control::SnapshotOperation::take;
    const auto full_name = take ? request.name + "@" + request.other_name : request.other_name;
    if (auto error = check_new_name(request.other_name, full_name); !error.empty())
        return error;
    if (take && source.frozen)
        return request.name + " is a snapshot, which never changes; clone it instead";
    if (!take && !source.frozen)
        return request.name + " is not a snapshot; take a snapshot of it and clone that";

    pending.source = *source_id;
    pending.is_clone = !take;
    pending.volume = source;
    pending.volume.name = full_name;
    pending.volume.source = *source_id;
    pending.volume.layout_volume = source.resolve_layout_volume(*source_id);
    pending.volume.frozen = take;
    pending.volume.epoch = 0;
    // It uses its source's quota, so that no reserve or limit is granted twice.
    pending.volume.quota_volume = source.resolve_quota_volume(*source_id);
    if (!take && !request.plan.empty())
        if (auto error = choose_plan(request.plan, pending.volume); !error.empty())
            return error;
    std::string error;
    if (participating_nodes(error).empty())
        return error.empty() ? "the settings contain no nodes" : error;
    return {};
}

std::string SnapshotOperations::choose_plan(const std::string &plan, control::Volume &clone) const {
    const auto &plans = context_.state.cluster_state().plans;
    auto it = std::find_if(plans.begin(), plans.end(),
                           [&](const auto &entry) { return entry.second.name == plan; });
    if (it == plans.end())
        return "there is no plan " + plan;
    if (it->second.reserved_rate > 0)
        return "plan " + plan +
               " has a reserve, which the clone would claim a second time; choose a plan " +
               "without a reserve, or none to use the source's quota";
    clone.plan = it->first;
    clone.quota_volume = {};
    return {};
}

void SnapshotOperations::remove(SessionId session, const control::SnapshotRequest &request) {
    const auto id = find_volume(request.name);
    if (!id || !context_.state.cluster_state().volumes.at(*id).is_snapshot_or_clone())
        return reply(session, {false, false, "there is no snapshot or clone " + request.name});
    const auto volume = context_.state.cluster_state().volumes.at(*id);
    if (auto edges = edges_using(*id); !edges.empty()) {
        std::string edge_list;
        for (auto edge : edges)
            edge_list += (edge_list.empty() ? "" : ", ") + std::to_string(edge);
        return reply(session,
                     {true, false, volume.name + " is in use by clients of edge " + edge_list});
    }
    for (const auto &[other, pending] : pending_)
        if (pending.source == *id)
            return reply(session,
                         {true, false, volume.name + " is being cloned to " + pending.volume.name});
    context_.state.drop_volume(*id);
    incomplete_[*id] = {volume.source, 0};
    context_.store.put(StateStore::Row::incomplete, id->value, volume.source.value, Version{1},
                       "0");
    // Nodes must not drop the data before the deletion is durable. Otherwise a planner that
    // restarts in between would still list a snapshot whose data is gone.
    drops_to_commit_.push_back(*id);
    context_.transport.log_event("operator: drop " + volume.name);
    context_.commit_due = true;
    reply_after_commit(
        session, {true, true, volume.name + ": dropped; nodes free its space in the background"});
}

void SnapshotOperations::compare(SessionId session, const control::SnapshotRequest &request) {
    const auto first = find_volume(request.name);
    const auto second = find_volume(request.other_name);
    if (!first || !second)
        return reply(session, {false, false,
                               "there is no volume or snapshot " +
                                   (first ? request.other_name : request.name)});
    const auto &volumes = context_.state.cluster_state().volumes;
    if (volumes.at(*first).resolve_layout_volume(*first) !=
        volumes.at(*second).resolve_layout_volume(*second))
        return reply(session, {false, false,
                               request.name + " and " + request.other_name +
                                   " are not derived from the same volume"});
    std::string error;
    const auto nodes = participating_nodes(error);
    if (nodes.empty())
        return reply(session, {false, false, error});
    diff_queries_.start(session, *first, *second, nodes);
}

// ---- From request to result

// Greater than all ids of earlier planners, because the term and the counter only increase.
VolumeId SnapshotOperations::allocate_id() {
    for (;;) {
        const VolumeId id{snapshot_id_bit | (context_.term.value & term_mask) << count_bits |
                          ++last_id_};
        if (!context_.state.cluster_state().volumes.contains(id))
            return id;
    }
}

void SnapshotOperations::prepare(Pending pending) {
    const auto id = allocate_id();
    if (!pending.is_clone) {
        // A rebuilt store has lost the last epochs. The clock in seconds is past every epoch that
        // was assigned before.
        const auto last = context_.state.cluster_state().volumes.at(pending.source).epoch;
        pending.epoch = std::max(last + 1, static_cast<std::uint32_t>(context_.now / sec));
    }
    incomplete_[id] = {pending.source, pending.epoch};
    context_.store.put(StateStore::Row::incomplete, id.value, pending.source.value, Version{1},
                       std::to_string(pending.epoch));
    context_.commit_due = true;
    pending_[id] = std::move(pending);
}

void SnapshotOperations::begin_committed() {
    for (auto &[id, pending] : pending_) {
        if (std::exchange(pending.started, true))
            continue;
        std::string error;
        auto nodes = participating_nodes(error);
        if (nodes.empty()) {
            failed(id, error, false);
        } else if (pending.is_clone) {
            coordinator_.begin_clone(context_.now, pending.source, id, std::move(nodes));
        } else {
            std::set<EdgeId> edges;
            for (const auto &[edge, session] : context_.sessions.edges)
                edges.insert(edge);
            coordinator_.begin_snapshot(context_.now, pending.source, id, pending.epoch,
                                        std::move(edges), std::move(nodes));
        }
    }
}

void SnapshotOperations::settle() {
    coordinator_.tick(context_.now, connected_nodes());
    std::vector<VolumeId> ended;
    for (const auto &[id, pending] : pending_)
        if (pending.failed || pending.completed)
            ended.push_back(id);
    for (auto id : ended)
        finish(id);
    diff_queries_.expire();
}

void SnapshotOperations::finish(VolumeId snapshot) {
    auto pending = std::move(pending_.extract(snapshot).mapped());
    record_epoch(pending);
    context_.commit_due = true;
    if (pending.completed)
        finish_completed(snapshot, std::move(pending));
    else
        finish_failed(snapshot, std::move(pending));
}

// The epoch is in use even if the snapshot failed.
void SnapshotOperations::record_epoch(const Pending &pending) {
    const auto &volumes = context_.state.cluster_state().volumes;
    auto it = volumes.find(pending.source);
    if (pending.is_clone || it == volumes.end())
        return;
    auto source = it->second;
    source.epoch = std::max(source.epoch, pending.epoch);
    context_.state.put(pending.source, source);
}

void SnapshotOperations::finish_completed(VolumeId snapshot, Pending pending) {
    incomplete_.erase(snapshot);
    context_.store.erase(StateStore::Row::incomplete, snapshot.value, pending.source.value);
    pending.volume.created_at = pending.began_at;
    context_.state.put(snapshot, pending.volume);
    context_.transport.log_event(pending.volume.name + " is complete");
    reply_after_commit(pending.session,
                       {true, true,
                        pending.volume.name + ": " + (pending.is_clone ? "cloned" : "taken") +
                            " in " + std::to_string((context_.now - pending.began_at) / ms) +
                            "ms"});
}

void SnapshotOperations::finish_failed(VolumeId snapshot, Pending pending) {
    coordinator_.drop_everywhere(snapshot, all_shards());
    context_.transport.log_event(pending.volume.name +
                                 " failed, nodes drop its data: " + pending.error);
    if (pending.retry && ++pending.attempts < max_attempts) {
        pending.failed = false;
        pending.started = false;
        pending.retry = false;
        prepare(std::move(pending));
        return;
    }
    reply_after_commit(
        pending.session,
        {true, false, pending.volume.name + ": " + pending.error + "; nothing was created"});
}

void SnapshotOperations::drop_from_nodes() {
    for (auto id : std::exchange(drops_to_commit_, {}))
        coordinator_.drop_everywhere(id, all_shards());
}

Time SnapshotOperations::next_due() const {
    auto due = std::min(coordinator_.next_due(), diff_queries_.next_due());
    for (const auto &[id, pending] : pending_)
        if (pending.failed || pending.completed)
            due = std::min(due, context_.now);
    return due;
}

// ---- Steps

void SnapshotOperations::handle_edge_step(EdgeId edge, const control::SnapshotStepReport &report) {
    coordinator_.handle_edge_step(context_.now, edge, report.incarnation, report.snapshot,
                                  report.step);
}

void SnapshotOperations::handle_node_step(NodeId node, const control::SnapshotStepReport &report) {
    if (auto it = context_.desired.nodes.find(node); it != context_.desired.nodes.end())
        coordinator_.handle_node_step(context_.now, node, it->second.shard, report.snapshot,
                                      report.step, report.result);
}

void SnapshotOperations::completed(VolumeId snapshot) {
    pending_.at(snapshot).completed = true;
}

void SnapshotOperations::failed(VolumeId snapshot, const std::string &error, bool retry) {
    auto &pending = pending_.at(snapshot);
    pending.failed = true;
    pending.retry = retry;
    pending.error = error;
}

void SnapshotOperations::dropped_everywhere(VolumeId snapshot) {
    auto it = incomplete_.find(snapshot);
    if (it == incomplete_.end())
        return;
    context_.store.erase(StateStore::Row::incomplete, snapshot.value, it->second.source.value);
    incomplete_.erase(it);
    context_.commit_due = true;
}

// ---- Orders to connected edges and nodes

namespace {

template <class Id, class Message>
void send_to(PlannerContext &context, const std::map<Id, SessionId> &connected, Id to,
             const Message &message) {
    if (auto it = connected.find(to); it != connected.end())
        context.transport.send(it->second, control::encode(message));
}

} // namespace

void SnapshotOperations::hold_writes(EdgeId edge, VolumeId volume, VolumeId snapshot,
                                     std::uint32_t epoch, Time max_hold) {
    send_to(context_, context_.sessions.edges, edge,
            control::SnapshotHold{volume, snapshot, epoch, max_hold});
}

void SnapshotOperations::resume_writes(EdgeId edge, VolumeId volume, VolumeId snapshot,
                                       std::uint32_t epoch) {
    send_to(context_, context_.sessions.edges, edge,
            control::SnapshotResume{volume, snapshot, epoch});
}

void SnapshotOperations::cancel_hold(EdgeId edge, VolumeId volume, VolumeId snapshot) {
    send_to(context_, context_.sessions.edges, edge, control::SnapshotRelease{volume, snapshot});
}

void SnapshotOperations::open_snapshot(NodeId node, VolumeId volume, VolumeId snapshot,
                                       std::uint32_t epoch,
                                       const std::vector<control::EdgeIncarnation> &late_writers) {
    send_to(context_, context_.sessions.nodes, node,
            control::SnapshotOpen{volume, snapshot, epoch, late_writers});
}

void SnapshotOperations::seal_snapshot(NodeId node, VolumeId volume, VolumeId snapshot) {
    send_to(context_, context_.sessions.nodes, node, control::SnapshotSeal{volume, snapshot});
}

void SnapshotOperations::open_clone(NodeId node, VolumeId source, VolumeId clone) {
    send_to(context_, context_.sessions.nodes, node, control::CloneOpen{source, clone});
}

void SnapshotOperations::drop_snapshot(NodeId node, VolumeId snapshot) {
    send_to(context_, context_.sessions.nodes, node, control::SnapshotDrop{snapshot});
}

} // namespace knotvane::planner
