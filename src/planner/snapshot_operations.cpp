#include "planner/snapshot_operations.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// One that met a loss on the way is tried so often; then the operator hears why.
constexpr std::uint32_t max_attempts = 3;
constexpr std::size_t max_name_bytes = 255;

// Ids of snapshots and clones: the highest bit, 23 bits of the planner's term, 40 of a count.
constexpr std::uint64_t snapshot_id_bit = std::uint64_t{1} << 63;
constexpr std::uint64_t term_mask = 0x7fffff;
constexpr int count_bits = 40;

} // namespace

void SnapshotOperations::start() {
    const auto &volumes = context_.state.cluster_state().volumes;
    for (const auto &[snapshot, incomplete] : incomplete_) {
        coordinator_.drop_everywhere(snapshot, all_shards());
        // Some edges may go by its epoch, which must not be given twice.
        auto it = volumes.find(incomplete.source);
        if (it == volumes.end() || it->second.epoch >= incomplete.epoch)
            continue;
        auto volume = it->second;
        volume.epoch = incomplete.epoch;
        context_.state.put(incomplete.source, volume);
    }
}

// ---- The cluster as it stands.

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

// All nodes that can take part; none where a shard has none, which `why` says.
std::set<NodeId> SnapshotOperations::participating_nodes(std::string &why) const {
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
            why = "no node of shard " + text(shard) + " is connected to the planner";
    return why.empty() ? out : std::set<NodeId>{};
}

std::optional<VolumeId> SnapshotOperations::find(const std::string &name) const {
    const auto &names = context_.state.cluster_state().names;
    auto it = names.find(name);
    return it == names.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::uint64_t> SnapshotOperations::edges_using(VolumeId volume) const {
    std::vector<std::uint64_t> out;
    if (auto it = allocation_.all().find(volume); it != allocation_.all().end())
        for (const auto &[edge, holding] : it->second)
            if (holding.serves)
                out.push_back(edge.value);
    return out;
}

// ---- Requests.

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
    if (auto why = refusal(request, pending); !why.empty())
        return reply(session, {false, false, why});
    // Guards against two snapshots of one volume that are open at once, of which late writes would
    // reach only one. One that has failed and is about to be tried again counts, too.
    for (const auto &[id, other] : pending_)
        if (!pending.is_clone && !other.is_clone && other.source == pending.source)
            return reply(session,
                         {false, false, "another snapshot of " + request.name + " is under way"});
    pending.session = session;
    pending.began = context_.now;
    prepare(std::move(pending));
}

std::string SnapshotOperations::refusal_of_name(const std::string &name,
                                                const std::string &full_name) const {
    if (name.empty() || name.find('@') != std::string::npos || full_name.size() > max_name_bytes)
        return "the name '" + name + "' can't be: expected one without '@', " +
               std::to_string(max_name_bytes) + " bytes at most with the volume's";
    if (auto id = find(full_name)) {
        const auto &volume = context_.state.cluster_state().volumes.at(*id);
        auto age = std::to_string((context_.now - volume.created_at) / sec);
        return full_name + " is there already" +
               (volume.is_snapshot_or_clone() ? ", taken " + age + "s ago" : "");
    }
    for (const auto &[id, other] : pending_)
        if (other.volume.name == full_name)
            return full_name + " is under way";
    return {};
}

// Why it can't be; empty where it can, and then `pending` says what is to be made.
std::string SnapshotOperations::refusal(const control::SnapshotRequest &request,
                                        Pending &pending) const {
    const auto source_id = find(request.name);
    if (!source_id)
        return "there is no volume or snapshot " + request.name;
    const auto &source = context_.state.cluster_state().volumes.at(*source_id);
    const bool take = request.operation == control::SnapshotOperation::take;
    const auto full_name = take ? request.name + "@" + request.other_name : request.other_name;
    if (auto why = refusal_of_name(request.other_name, full_name); !why.empty())
        return why;
    if (take && source.frozen)
        return request.name + " is a snapshot, which does not change: clone it";
    if (!take && !source.frozen)
        return request.name + " is no snapshot: take one and clone that";

    pending.source = *source_id;
    pending.is_clone = !take;
    pending.volume = source;
    pending.volume.name = full_name;
    pending.volume.source = *source_id;
    pending.volume.layout_volume = source.resolve_layout_volume(*source_id);
    pending.volume.frozen = take;
    pending.volume.epoch = 0;
    // It uses its source's quota, so that no reserve and no limit is there twice.
    pending.volume.quota_volume = source.resolve_quota_volume(*source_id);
    if (!take && !request.plan.empty())
        if (auto why = choose_plan(request.plan, pending.volume); !why.empty())
            return why;
    std::string why;
    if (participating_nodes(why).empty())
        return why.empty() ? "there are no nodes" : why;
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
               " has a reserve, which a clone would have again: choose one without, or none to " +
               "pay from the source's part";
    clone.plan = it->first;
    clone.quota_volume = {};
    return {};
}

void SnapshotOperations::remove(SessionId session, const control::SnapshotRequest &request) {
    const auto id = find(request.name);
    if (!id || !context_.state.cluster_state().volumes.at(*id).is_snapshot_or_clone())
        return reply(session, {false, false, "there is no snapshot or clone " + request.name});
    const auto volume = context_.state.cluster_state().volumes.at(*id);
    if (auto edges = edges_using(*id); !edges.empty()) {
        std::string list;
        for (auto edge : edges)
            list += (list.empty() ? "" : ", ") + std::to_string(edge);
        return reply(session, {true, false, volume.name + " is in use by clients of edge " + list});
    }
    for (const auto &[other, pending] : pending_)
        if (pending.source == *id)
            return reply(session,
                         {true, false, volume.name + " is being cloned to " + pending.volume.name});
    context_.state.drop_volume(*id);
    incomplete_[*id] = {volume.source, 0};
    context_.store.keep(StateStore::Row::incomplete, id->value, volume.source.value, Version{1},
                        "0");
    // Guards against nodes that drop it before that is durable: a planner that died in between came
    // back to a snapshot whose bytes were gone.
    dropped_.push_back(*id);
    context_.transport.log_event("operator: drop " + volume.name);
    context_.commit_due = true;
    reply_after_commit(
        session, {true, true, volume.name + ": dropped; its space comes back in the background"});
}

void SnapshotOperations::compare(SessionId session, const control::SnapshotRequest &request) {
    const auto first = find(request.name);
    const auto second = find(request.other_name);
    if (!first || !second)
        return reply(session, {false, false,
                               "there is no volume or snapshot " +
                                   (first ? request.other_name : request.name)});
    const auto &volumes = context_.state.cluster_state().volumes;
    if (volumes.at(*first).resolve_layout_volume(*first) !=
        volumes.at(*second).resolve_layout_volume(*second))
        return reply(session, {false, false,
                               request.name + " and " + request.other_name +
                                   " do not come from one volume"});
    std::string why;
    const auto nodes = participating_nodes(why);
    if (nodes.empty())
        return reply(session, {false, false, why});
    diff_queries_.ask(session, *first, *second, nodes);
}

// ---- From request to result.

// Above every planner's before: terms count up, and so does this.
VolumeId SnapshotOperations::next_id() {
    for (;;) {
        const VolumeId id{snapshot_id_bit | (context_.term.value & term_mask) << count_bits |
                          ++last_id_};
        if (!context_.state.cluster_state().volumes.contains(id))
            return id;
    }
}

void SnapshotOperations::prepare(Pending pending) {
    const auto id = next_id();
    if (!pending.is_clone) {
        // A store that was made anew has lost count of epochs; the clock is past all that it gave
        // out.
        const auto last = context_.state.cluster_state().volumes.at(pending.source).epoch;
        pending.epoch = std::max(last + 1, static_cast<std::uint32_t>(context_.now / sec));
    }
    incomplete_[id] = {pending.source, pending.epoch};
    context_.store.keep(StateStore::Row::incomplete, id.value, pending.source.value, Version{1},
                        std::to_string(pending.epoch));
    context_.commit_due = true;
    pending_[id] = std::move(pending);
}

void SnapshotOperations::begin_committed() {
    for (auto &[id, pending] : pending_) {
        if (std::exchange(pending.begun, true))
            continue;
        std::string why;
        auto nodes = participating_nodes(why);
        if (nodes.empty()) {
            failed(id, why, false);
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
    keep_epoch(pending);
    context_.commit_due = true;
    if (pending.completed)
        finish_completed(snapshot, std::move(pending));
    else
        finish_failed(snapshot, std::move(pending));
}

// Whole or taken back, the epoch is in use.
void SnapshotOperations::keep_epoch(const Pending &pending) {
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
    context_.store.drop(StateStore::Row::incomplete, snapshot.value, pending.source.value);
    pending.volume.created_at = pending.began;
    context_.state.put(snapshot, pending.volume);
    context_.transport.log_event(pending.volume.name + " is whole");
    reply_after_commit(pending.session,
                       {true, true,
                        pending.volume.name + ": " + (pending.is_clone ? "cloned" : "taken") +
                            " in " + std::to_string((context_.now - pending.began) / ms) + "ms"});
}

void SnapshotOperations::finish_failed(VolumeId snapshot, Pending pending) {
    coordinator_.drop_everywhere(snapshot, all_shards());
    context_.transport.log_event(pending.volume.name + " is taken back: " + pending.why);
    if (pending.retry && ++pending.attempts < max_attempts) {
        pending.failed = false;
        pending.begun = false;
        pending.retry = false;
        prepare(std::move(pending));
        return;
    }
    reply_after_commit(
        pending.session,
        {true, false, pending.volume.name + ": " + pending.why + "; nothing is left of it"});
}

void SnapshotOperations::drop_from_nodes() {
    for (auto id : std::exchange(dropped_, {}))
        coordinator_.drop_everywhere(id, all_shards());
}

Time SnapshotOperations::next_due() const {
    auto due = std::min(coordinator_.next_due(), diff_queries_.next_due());
    for (const auto &[id, pending] : pending_)
        if (pending.failed || pending.completed)
            due = std::min(due, context_.now);
    return due;
}

// ---- Steps.

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

void SnapshotOperations::failed(VolumeId snapshot, const std::string &why, bool retry) {
    auto &pending = pending_.at(snapshot);
    pending.failed = true;
    pending.retry = retry;
    pending.why = why;
}

void SnapshotOperations::dropped_everywhere(VolumeId snapshot) {
    auto it = incomplete_.find(snapshot);
    if (it == incomplete_.end())
        return;
    context_.store.drop(StateStore::Row::incomplete, snapshot.value, it->second.source.value);
    incomplete_.erase(it);
    context_.commit_due = true;
}

// ---- Orders, to whoever is connected.

namespace {

template <class Id, class Message>
void send_to(PlannerContext &context, const std::map<Id, SessionId> &connected, Id to,
             const Message &message) {
    if (auto it = connected.find(to); it != connected.end())
        context.transport.send(it->second, control::encode(message));
}

} // namespace

void SnapshotOperations::hold(EdgeId edge, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                              Time max_hold) {
    send_to(context_, context_.sessions.edges, edge,
            control::SnapshotHold{volume, snapshot, epoch, max_hold});
}

void SnapshotOperations::resume(EdgeId edge, VolumeId volume, VolumeId snapshot,
                                std::uint32_t epoch) {
    send_to(context_, context_.sessions.edges, edge,
            control::SnapshotResume{volume, snapshot, epoch});
}

void SnapshotOperations::release(EdgeId edge, VolumeId volume, VolumeId snapshot) {
    send_to(context_, context_.sessions.edges, edge, control::SnapshotRelease{volume, snapshot});
}

void SnapshotOperations::open(NodeId node, VolumeId volume, VolumeId snapshot, std::uint32_t epoch,
                              const std::vector<control::EdgeIncarnation> &late_writers) {
    send_to(context_, context_.sessions.nodes, node,
            control::SnapshotOpen{volume, snapshot, epoch, late_writers});
}

void SnapshotOperations::seal(NodeId node, VolumeId volume, VolumeId snapshot) {
    send_to(context_, context_.sessions.nodes, node, control::SnapshotSeal{volume, snapshot});
}

void SnapshotOperations::clone(NodeId node, VolumeId source, VolumeId clone) {
    send_to(context_, context_.sessions.nodes, node, control::CloneOpen{source, clone});
}

void SnapshotOperations::drop(NodeId node, VolumeId snapshot) {
    send_to(context_, context_.sessions.nodes, node, control::SnapshotDrop{snapshot});
}

} // namespace knotvane::planner
