#include "edge/node_connections.hpp"

#include <algorithm>
#include <deque>
#include <limits>

namespace knotvane::edge {

using node_protocol::FrameKind;

namespace {

constexpr Time never = std::numeric_limits<Time>::max();

/// Another connection to a node is opened once all of its connections have this many attempts, so
/// that a stalled connection delays only a few. For fewer attempts the handshake isn't worth it.
constexpr std::size_t attempts_per_connection = 8;

/// Frames carry units in thousandths.
constexpr double milliunits_per_unit = 1000;

AttemptOutcome outcome_of(node_protocol::Status status) {
    using node_protocol::Status;
    switch (status) {
    case Status::ok:
        return AttemptOutcome::answered;
    case Status::rejected:
        return AttemptOutcome::overloaded;
    case Status::canceled:
        return AttemptOutcome::canceled;
    case Status::expired:
    case Status::stale_epoch:
    case Status::misdirected:
        return AttemptOutcome::not_sent; // the node guarantees that it did not and will not run
    default:
        return AttemptOutcome::error;
    }
}

std::string node_name(NodeId node) {
    return "node " + std::to_string(node.value);
}

} // namespace

struct NodeConnections::Connection final : node_protocol::FrameHandler {
    NodeConnections &owner;
    NodeConnectionId id;
    NodeId node;
    Stage stage = Stage::connecting;
    bool draining = false; // gets no new attempts and is closed after its last one
    Time opened_at;
    Time last_received_at;
    Time next_check = 0;
    Time now = 0;          // when the bytes being decoded were received
    Time clock_offset = 0; // lower bound of the node's clock minus this edge's
    std::size_t unsent_bytes = 0;
    std::size_t attempts = 0;
    std::deque<Tag> pending; // not sent yet
    std::set<Tag> tags;
    node_protocol::FrameReader reader;
    std::string fault;

    Connection(NodeConnections &connections, NodeConnectionId self, NodeId peer, Time opened)
        : owner(connections), id(self), node(peer), opened_at(opened), last_received_at(opened) {}

    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == FrameKind::welcome && stage == Stage::greeting)
            return welcomed(NodeId{frame.tag}, frame.not_after);
        if (frame.kind != FrameKind::answer || stage != Stage::established) {
            fault = "received an unexpected frame of kind " +
                    std::to_string(static_cast<int>(frame.kind));
            return false;
        }
        // An attempt with an unknown tag has timed out or was canceled.
        if (tags.contains(frame.tag))
            owner.complete(
                frame.tag, outcome_of(frame.status),
                {frame.status, frame.incarnation, std::string(frame.payload), frame.epoch});
        return true;
    }

    bool welcomed(NodeId answering, Time node_clock) {
        if (answering != node) {
            fault = node_name(answering) + " answered at the address listed for " + node_name(node);
            return false;
        }
        stage = Stage::established;
        // The welcome's transfer took some time, so this is a lower bound of the offset. A
        // not-after time converted with it is never later on the node's clock than on this edge's.
        clock_offset = node_clock - now;
        return true;
    }

    /// @return whether a frame has been received only in part.
    bool in_frame() const { return reader.buffered_bytes() > 0; }
};

NodeConnections::NodeConnections(Transport &transport, NodeConnectionEvents &events,
                                 std::uint64_t edge_id, std::uint64_t incarnation,
                                 const NodeConnectionConfig &config)
    : transport_(transport), events_(events), edge_id_(edge_id), incarnation_(incarnation),
      config_(config) {
    config_.max_per_node = std::max<std::size_t>(1, config_.max_per_node);
}

NodeConnections::~NodeConnections() = default;

void NodeConnections::set_nodes(const std::map<NodeId, std::string> &addresses) {
    for (auto &[id, node] : nodes_) {
        auto it = addresses.find(id);
        if (it != addresses.end() && it->second == node.address)
            continue;
        for (auto connection : node.connections)
            drain(*connections_.at(connection));
    }
    std::erase_if(nodes_, [&](const auto &entry) {
        return entry.second.connections.empty() && !addresses.contains(entry.first);
    });
    for (const auto &[id, address] : addresses)
        nodes_[id].address = address;
    for (auto &[id, node] : nodes_)
        if (!addresses.contains(id))
            node.address.clear();
}

NodeConnections::Connection *NodeConnections::find(NodeConnectionId id) {
    auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
}

// Returns the connection with the fewest attempts, or opens another one if all have
// attempts_per_connection and max_per_node allows it. Returns null if the node isn't listed.
NodeConnections::Connection *NodeConnections::choose(Time now, NodeId node) {
    auto it = nodes_.find(node);
    if (it == nodes_.end() || it->second.address.empty())
        return nullptr;
    Connection *best = nullptr;
    std::size_t usable = 0;
    for (auto id : it->second.connections) {
        Connection &connection = *connections_.at(id);
        if (connection.draining)
            continue;
        ++usable;
        if (!best || connection.attempts < best->attempts)
            best = &connection;
    }
    if (best && (usable >= config_.max_per_node || best->attempts < attempts_per_connection))
        return best;
    return open(now, node);
}

NodeConnections::Connection *NodeConnections::open(Time now, NodeId node_id) {
    auto &node = nodes_.at(node_id);
    NodeConnectionId id{++last_connection_};
    auto &connection = connections_[id];
    connection = std::make_unique<Connection>(*this, id, node_id, now);
    node.connections.push_back(id);
    schedule_check(*connection, now + config_.connect_timeout);
    transport_.connect(id, node.address);
    return find(id);
}

void NodeConnections::start_attempt(Time now, NodeAttempt attempt) {
    auto tag = ++last_tag_;
    tags_[{attempt.request, attempt.attempt}] = tag;
    deadlines_.insert({attempt.deadline, tag});
    Connection *connection = choose(now, attempt.node);
    attempts_[tag] = {std::move(attempt), connection ? connection->id : NodeConnectionId{}};
    if (!connection) {
        unlisted_.push_back(tag);
        return;
    }
    ++connection->attempts;
    connection->tags.insert(tag);
    connection->pending.push_back(tag);
    send_pending(now, *connection);
}

void NodeConnections::send_pending(Time now, Connection &connection) {
    while (connection.stage == Stage::established && !connection.pending.empty() &&
           connection.unsent_bytes < config_.max_unsent_bytes) {
        auto tag = connection.pending.front();
        connection.pending.pop_front();
        Attempt &attempt = attempts_.at(tag);
        auto bytes = encode(connection, tag, *attempt.request.node_request);
        connection.unsent_bytes += bytes.size();
        attempt.sent = true;
        attempt.sent_at = now;
        transport_.send(connection.id, std::move(bytes));
    }
}

std::string NodeConnections::encode(const Connection &connection, Tag tag,
                                    const NodeRequest &request) const {
    auto flags = (request.durable ? node_protocol::flag_durable : 0) |
                 (request.deduplicated ? node_protocol::flag_deduplicated : 0) |
                 (request.on_snapshot ? node_protocol::flag_snapshot : 0);
    Time not_after = request.not_after > 0 ? request.not_after + connection.clock_offset : 0;
    return node_protocol::encode(
        {.kind = request.kind,
         .flags = static_cast<std::uint8_t>(flags),
         .tag = tag,
         .volume = request.volume,
         .offset = request.offset,
         .length = request.length,
         .milliunits = static_cast<std::uint32_t>(request.units * milliunits_per_unit),
         .incarnation = incarnation_,
         .request_number = request.request_number,
         .not_after = not_after,
         .shard = request.shard,
         .payload = request.payload,
         .epoch = request.epoch});
}

void NodeConnections::complete(Tag tag, AttemptOutcome outcome, NodeAnswer answer) {
    auto it = attempts_.find(tag);
    if (it == attempts_.end())
        return;
    Attempt attempt = std::move(it->second);
    const NodeAttempt &request = attempt.request;
    attempts_.erase(it);
    tags_.erase({request.request, request.attempt});
    deadlines_.erase({request.deadline, tag});
    if (auto *connection = find(attempt.connection)) {
        --connection->attempts;
        connection->tags.erase(tag);
        if (!attempt.sent)
            std::erase(connection->pending, tag);
        if (connection->draining && connection->attempts == 0)
            schedule_check(*connection, 0);
    }
    events_.attempt_completed(
        {request.request, request.attempt, request.node, outcome, std::move(answer)});
}

void NodeConnections::drain(Connection &connection) {
    connection.draining = true;
    schedule_check(connection, 0);
}

void NodeConnections::close(NodeConnectionId id, LossOutcomes outcomes) {
    if (!find(id))
        return;
    transport_.close(id);
    remove(id, outcomes);
}

void NodeConnections::remove(NodeConnectionId id, LossOutcomes outcomes) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    auto connection = std::move(it->second);
    connections_.erase(it);
    if (auto node = nodes_.find(connection->node); node != nodes_.end()) {
        std::erase(node->second.connections, id);
        if (node->second.connections.empty() && node->second.address.empty())
            nodes_.erase(node);
    }
    for (auto tag : connection->tags)
        complete(tag, attempts_.at(tag).sent ? outcomes.sent : outcomes.not_sent);
}

void NodeConnections::cancel_attempt(RequestId request, AttemptId attempt_id) {
    auto it = tags_.find({request, attempt_id});
    if (it == tags_.end())
        return;
    auto tag = it->second;
    const Attempt &attempt = attempts_.at(tag);
    if (!attempt.sent)
        return complete(tag, AttemptOutcome::not_sent); // nothing was sent, so it can't run
    if (auto *connection = find(attempt.connection)) {
        const NodeRequest &canceled = *attempt.request.node_request;
        auto bytes = node_protocol::encode({.kind = FrameKind::cancel_attempt,
                                            .tag = tag,
                                            .volume = canceled.volume,
                                            .shard = canceled.shard});
        connection->unsent_bytes += bytes.size();
        transport_.send(connection->id, std::move(bytes));
    }
    complete(tag, AttemptOutcome::canceled);
}

void NodeConnections::connected(Time now, NodeConnectionId id) {
    auto *connection = find(id);
    if (!connection)
        return;
    connection->stage = Stage::greeting;
    connection->last_received_at = now;
    auto hello = node_protocol::encode({.kind = FrameKind::hello,
                                        .volume = VolumeId{edge_id_},
                                        .incarnation = incarnation_,
                                        .shard = no_shard});
    connection->unsent_bytes += hello.size();
    transport_.send(id, std::move(hello));
}

void NodeConnections::connect_failed(NodeConnectionId id) {
    remove(id, {AttemptOutcome::unreachable, AttemptOutcome::unreachable});
}

void NodeConnections::received(Time now, NodeConnectionId id, std::string_view bytes) {
    auto *connection = find(id);
    if (!connection)
        return;
    connection->now = now;
    connection->last_received_at = now;
    std::string fault = connection->reader.feed(bytes, *connection);
    if (fault.empty())
        fault = connection->fault;
    if (!fault.empty()) {
        events_.log_event(node_name(connection->node) + ": " + fault + "; closing the connection");
        return close(id, lost);
    }
    // Within a frame the stall timeout applies, which may end before the next scheduled check.
    Time stalls_at = now + config_.frame_stall_timeout;
    if (connection->in_frame() && connection->next_check > stalls_at)
        schedule_check(*connection, stalls_at);
    send_pending(now, *connection);
}

void NodeConnections::disconnected(NodeConnectionId id) {
    remove(id, lost);
}

void NodeConnections::sent(Time now, NodeConnectionId id, std::size_t bytes) {
    auto *connection = find(id);
    if (!connection)
        return;
    connection->unsent_bytes -= std::min(bytes, connection->unsent_bytes);
    send_pending(now, *connection);
}

Time NodeConnections::next_due() const {
    Time due = unlisted_.empty() ? never : 0;
    if (!deadlines_.empty())
        due = std::min(due, deadlines_.begin()->first);
    if (!checks_.empty())
        due = std::min(due, checks_.begin()->first);
    return due;
}

void NodeConnections::tick(Time now) {
    for (auto tag : std::exchange(unlisted_, {}))
        complete(tag, AttemptOutcome::unreachable);
    expire_attempts(now);
    while (!checks_.empty() && checks_.begin()->first <= now) {
        auto [at, id] = *checks_.begin();
        checks_.erase(checks_.begin());
        auto *connection = find(id);
        // Otherwise the check has been rescheduled.
        if (connection && connection->next_check == at)
            check(now, *connection);
    }
}

void NodeConnections::expire_attempts(Time now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        auto tag = deadlines_.begin()->second;
        const Attempt &attempt = attempts_.at(tag);
        auto *connection = find(attempt.connection);
        // The connection gets no further attempts if nothing was received on it since this one was
        // sent.
        if (connection && attempt.sent && connection->last_received_at <= attempt.sent_at)
            drain(*connection);
        complete(tag, attempt.sent ? AttemptOutcome::timed_out : AttemptOutcome::not_sent);
    }
}

void NodeConnections::schedule_check(Connection &connection, Time at) {
    connection.next_check = at;
    checks_.insert({at, connection.id});
}

void NodeConnections::check(Time now, Connection &connection) {
    Time connects_until = connection.opened_at + config_.connect_timeout;
    Time stalls_at = connection.last_received_at + config_.frame_stall_timeout;
    bool is_established = connection.stage == Stage::established;
    if (!is_established && now >= connects_until) {
        // No attempt is sent before the connection is established.
        auto outcome = connection.stage == Stage::connecting ? AttemptOutcome::unreachable
                                                             : AttemptOutcome::not_sent;
        return close(connection.id, {outcome, outcome});
    }
    if (connection.in_frame() && now >= stalls_at) {
        // The node stopped sending in the middle of an answer. All later answers on this connection
        // would wait for the rest of it, and the node would seem unresponsive though it is not.
        events_.log_event(node_name(connection.node) + ": nothing received for " +
                          std::to_string(config_.frame_stall_timeout / ms) +
                          " ms in the middle of a frame; closing the connection");
        return close(connection.id, lost);
    }
    bool is_idle = now >= connection.last_received_at + config_.idle_timeout;
    if (connection.attempts == 0 && (connection.draining || is_idle))
        return close(connection.id, lost);

    Time next = std::max(connection.last_received_at, now) + config_.idle_timeout;
    if (!is_established)
        next = connects_until;
    else if (connection.in_frame())
        next = stalls_at;
    else if (connection.draining)
        next = never; // completion of its last attempt schedules a check
    connection.next_check = std::max(next, now + 1);
    if (next < never)
        checks_.insert({connection.next_check, connection.id});
}

} // namespace knotvane::edge
