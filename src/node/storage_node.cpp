#include "node/storage_node.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include "node/connection.hpp"

namespace knotvane::node {
namespace {

using node_protocol::FrameKind;
using node_protocol::Status;

constexpr Time never = std::numeric_limits<Time>::max();

// A step of reclaiming space: the number of tree nodes that it frees, and the time that it counts
// for if the node has no service model.
constexpr std::size_t reclaim_step_nodes = 64;
constexpr Time reclaim_step_time = 200 * us;
// With a service model, a step takes a unit's time divided by this.
constexpr Time reclaim_steps_per_unit = 4;

// Minimum cost of a request, so that a large number of empty requests is not free.
constexpr double min_units = 0.1;
constexpr double milliunits_per_unit = 1000;

} // namespace

bool StorageNode::Connection::on_frame(const node_protocol::Frame &frame) {
    if (frame.kind == FrameKind::hello) {
        has_greeted_ = true;
        node_.send_welcome(now_, id_);
        return true;
    }
    if (!has_greeted_) {
        node_.transport_.log_event(
            "closing a connection: received a request before the hello frame");
        node_.close_connection(id_, false);
        return false;
    }
    if (frame.kind == FrameKind::cancel_attempt) {
        node_.cancel(now_, id_, frame.tag);
        return true;
    }

    PendingRequest request{id_, frame, std::string(frame.payload)};
    request.frame.payload = {};
    if (frame.shard != node_.shard_) {
        node_.answer(now_, request, Status::misdirected);
        return true;
    }
    node_.admit(now_, std::move(request));
    return node_.connections_.contains(id_);
}

StorageNode::StorageNode(NodeId id, ShardId shard, Store &store, Transport &transport,
                         std::uint64_t random_seed, Time started_at)
    : id_(id), shard_(shard), store_(store), transport_(transport),
      random_(static_cast<std::uint32_t>(random_seed)), started_at_(started_at),
      slow_start_(started_at) {}

void StorageNode::set_service_model(const ServiceModel &model) {
    service_ = model;
    service_.cores = std::max(1U, model.cores);
    service_.slots = std::max(1U, model.slots);
}

SnapshotResult StorageNode::open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch,
                                          std::set<control::EdgeIncarnation> draining_edges) {
    auto result = store_.open_snapshot(source, snapshot, epoch);
    if (result == SnapshotResult::created || result == SnapshotResult::already_exists)
        draining_edges_[source] = std::move(draining_edges);
    return result;
}

// If the medium can't make the snapshot durable, the store stops serving: the planner gets a
// failure report for the snapshot, and the clients' next flushes fail.
bool StorageNode::seal_snapshot(VolumeId source, VolumeId snapshot) {
    try {
        if (!store_.seal_snapshot(snapshot))
            return false;
    } catch (const store::StoreError &error) {
        transport_.log_event(error.what());
        return false;
    }
    draining_edges_.erase(source);
    return true;
}

SnapshotResult StorageNode::clone(VolumeId source, VolumeId copy) {
    try {
        return store_.clone(source, copy);
    } catch (const store::StoreError &error) {
        transport_.log_event(error.what());
        return SnapshotResult::medium_failed;
    }
}

bool StorageNode::drop_snapshot(VolumeId snapshot) {
    try {
        return !store_.contains(snapshot) || store_.drop(snapshot);
    } catch (const store::StoreError &error) {
        transport_.log_event(error.what());
        return false;
    }
}

void StorageNode::connected(Time now, ConnectionId connection) {
    connections_[connection] = std::make_shared<Connection>(*this, connection);
    if (has_crashed_ || faults_.is_active(FaultKind::refuse_connections, now))
        close_connection(connection, true);
}

void StorageNode::disconnected(ConnectionId connection) {
    connections_.erase(connection);
}

void StorageNode::received(Time now, ConnectionId connection, std::string_view bytes) {
    auto it = connections_.find(connection);
    if (it == connections_.end())
        return;
    auto receiving = it->second; // keeps it alive if it is closed while its bytes are decoded
    std::string fault = receiving->received(now, bytes);
    if (!fault.empty() && connections_.contains(connection)) {
        transport_.log_event("closing a connection after a protocol error: " + fault);
        close_connection(connection, false);
    }
    start_queued(now);
}

void StorageNode::close_connection(ConnectionId connection, bool reset) {
    if (connections_.erase(connection) > 0)
        transport_.close(connection, reset);
}

void StorageNode::close_all_connections() {
    while (!connections_.empty())
        close_connection(connections_.begin()->first, true);
}

void StorageNode::send_welcome(Time now, ConnectionId connection) {
    transport_.send(connection,
                    node_protocol::encode({.kind = FrameKind::welcome,
                                           .tag = id_.value,
                                           .offset = static_cast<std::uint64_t>(started_at_),
                                           .incarnation = store_.incarnation(),
                                           .not_after = now,
                                           .shard = shard_}));
}

void StorageNode::cancel(Time now, ConnectionId connection, std::uint64_t tag) {
    // Only a queued request is canceled; a request in execution continues.
    auto it = std::find_if(queued_.begin(), queued_.end(), [&](const PendingRequest &request) {
        return request.connection == connection && request.frame.tag == tag;
    });
    if (it == queued_.end())
        return;
    answer(now, *it, Status::canceled);
    queued_.erase(it);
}

void StorageNode::admit(Time now, PendingRequest request) {
    if (faults_.apply(FaultKind::reset_connection, now))
        return close_connection(request.connection, true);
    if (!slow_start_.survives(now, request.frame.milliunits / milliunits_per_unit, service_))
        return crash();

    bool is_full = service_.unit_time > 0 && executing_.size() >= service_.slots &&
                   queued_.size() >= service_.queue_capacity;
    if (faults_.apply(FaultKind::reject_requests, now) || is_full)
        return answer(now, request, Status::rejected);
    queued_.push_back(std::move(request));
}

void StorageNode::crash() {
    transport_.log_event("crashed: overloaded during warm-up; not listening until a restart");
    has_crashed_ = true;
    queued_.clear();
    executing_.clear();
    delayed_answers_.clear();
    transport_.listen(false);
    close_all_connections();
}

void StorageNode::start_queued(Time now) {
    if (has_crashed_ || faults_.is_active(FaultKind::hang, now) || pauses_.is_paused(now))
        return;
    while (!queued_.empty() && (service_.unit_time == 0 || executing_.size() < service_.slots)) {
        PendingRequest request = std::move(queued_.front());
        queued_.pop_front();
        if (service_.unit_time == 0) {
            execute(now, request);
            continue;
        }
        Time done_at = now + execution_time(now, request);
        executing_.emplace(done_at, std::move(request));
    }
}

// The execution time of a request that starts at `now`.
Time StorageNode::execution_time(Time now, const PendingRequest &request) {
    double units = std::max(request.frame.milliunits / milliunits_per_unit, min_units);
    double slowdown = faults_.apply(FaultKind::slow, now).value_or(1);
    if (request.frame.kind == FrameKind::write)
        units = pauses_.defer_fraction_of(units);
    // If there are more requests than cores, they share the cores.
    double sharing = std::max(1.0, static_cast<double>(executing_.size() + 1) / service_.cores);
    auto time = static_cast<Time>(static_cast<double>(service_.unit_time) * units * slowdown *
                                  sharing / slow_start_.capacity(now));
    return std::max<Time>(time, 1);
}

void StorageNode::finish_executions(Time now) {
    while (!executing_.empty() && executing_.begin()->first <= now) {
        Execution execution = std::move(executing_.begin()->second);
        executing_.erase(executing_.begin());
        if (execution)
            execute(now, *execution);
        else
            store_.reclaim(reclaim_step_nodes);
        start_queued(now);
    }
}

RequestLoad StorageNode::load() const {
    return {executing_.size(), service_.slots, queued_.size()};
}

void StorageNode::reclaim_in_background(Time now) {
    if (!store_.has_reclaimable_space() || !background_.may_begin(now, load()))
        return;
    if (service_.unit_time == 0) {
        background_.step_began(now, reclaim_step_time);
        store_.reclaim(reclaim_step_nodes);
        return;
    }
    auto step_time = std::max<Time>(1, service_.unit_time / reclaim_steps_per_unit);
    background_.step_began(now, step_time);
    executing_.emplace(now + step_time, std::nullopt);
}

Time StorageNode::next_due() const {
    if (has_crashed_)
        return never;
    bool has_queued = !queued_.empty();
    Time due = std::min(pauses_.next_due(has_queued), faults_.next_due(has_queued));
    if (!executing_.empty())
        due = std::min(due, executing_.begin()->first);
    if (!delayed_answers_.empty())
        due = std::min(due, delayed_answers_.begin()->first);
    if (store_.has_reclaimable_space())
        due = std::min(due, background_.next_due(load()));
    return due;
}

void StorageNode::tick(Time now) {
    if (has_crashed_)
        return;
    faults_.remove_ended(now);
    if (faults_.begin_refusal(now))
        close_all_connections();
    finish_executions(now);
    send_delayed_answers(now);
    pauses_.tick(now, service_, random_);
    start_queued(now);
    reclaim_in_background(now);
}

void StorageNode::restart(Time now, bool discard_unflushed) {
    if (discard_unflushed) {
        store_.discard_unflushed();
        transport_.log_event(
            "restarted as after a power failure: data that was not flushed is lost");
    }
    queued_.clear();
    executing_.clear();
    delayed_answers_.clear();
    draining_edges_.clear();
    background_.reset();
    close_all_connections();
    has_crashed_ = false;
    started_at_ = now;
    slow_start_.restart(now);
    pauses_.restart(now);
    transport_.listen(true);
}

} // namespace knotvane::node
