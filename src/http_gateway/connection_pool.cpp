#include "http_gateway/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

#include "http_gateway/trace_line.hpp"

namespace knotvane::http_gateway {
namespace {

// A node's heads are a few hundred bytes. Bodies were seen up to 400 KB, past the protocol's 64
// KiB, and are good answers all the same; this still keeps all that are read at once within the
// least memory.
constexpr std::size_t max_head_bytes = 8 << 10;
constexpr std::size_t max_body_bytes = 1 << 20;

// A connection that has just answered isn't used for this long: a second answer may come some
// milliseconds behind the first, seen 0.8 to 3.9, and would be read as the next request's.
constexpr Time settle_time = 10 * ms;

/// Idle connections are closed before the node would close them, as a request that is written while
/// the node closes is reset.
Time idle_timeout_before(Time node_idle_timeout) {
    constexpr Time margin = 250 * ms;
    return std::max<Time>(node_idle_timeout - node_idle_timeout / 10 - margin, 0);
}

AttemptOutcome outcome_of(const http::Decoder &response) {
    if (response.state() != http::State::complete)
        return AttemptOutcome::error;
    auto status = response.status();
    if (status == 200)
        return AttemptOutcome::answered;
    if ((status == 503 || status == 504) && response.header("X-Never-Ran") == "1")
        return AttemptOutcome::overloaded;
    return AttemptOutcome::error;
}

/// The outcome of an attempt whose connection's time is over.
AttemptOutcome outcome_at_due(bool timeout_reached, bool request_handed) {
    if (timeout_reached)
        return request_handed ? AttemptOutcome::timed_out : AttemptOutcome::not_sent;
    // A response that stopped short is spoilt: the node is done with it, and no more will come.
    return request_handed ? AttemptOutcome::error : AttemptOutcome::unreachable;
}

} // namespace

ConnectionPool::Connection::Connection(NodeId node_id, std::string node_address,
                                       const AttemptKey &first_attempt)
    : node(node_id), address(std::move(node_address)), attempt(first_attempt),
      decoder(http::MessageKind::response, max_head_bytes, max_body_bytes) {}

ConnectionPool::ConnectionPool(Transport &transport, UpstreamAttemptEvents &events,
                               ConnectionIds &connection_ids, const ConnectionPoolOptions &options)
    : transport_(transport), events_(events), connection_ids_(connection_ids),
      connect_timeout_(options.connect_timeout),
      idle_timeout_(idle_timeout_before(options.node_idle_timeout)),
      max_connections_(std::max<std::size_t>(options.max_connections, 1)) {}

void ConnectionPool::set_address(Time now, NodeId node, const std::string &address) {
    if (nodes_[node].address == address)
        return;
    remove_node(now, node);
    nodes_[node].address = address;
}

void ConnectionPool::drain_node(Time now, NodeId node) {
    auto it = nodes_.find(node);
    if (it == nodes_.end())
        return;
    for (auto id : std::vector<ConnectionId>(it->second.idle))
        close(id);
    std::vector<AttemptKey> unsent;
    for (auto &[id, connection] : connections_) {
        if (connection.node != node)
            continue;
        connection.retired = true;
        if (connection.busy && !connection.request_handed)
            unsent.push_back(connection.attempt);
    }
    for (const auto &key : unsent)
        complete_unsent(now, key);
}

void ConnectionPool::remove_node(Time now, NodeId node) {
    drain_node(now, node);
    auto it = nodes_.find(node);
    if (it == nodes_.end())
        return;
    it->second.address.clear();
    if (it->second.connection_count == 0)
        nodes_.erase(it);
}

void ConnectionPool::start_attempt(Time now, const AttemptKey &key, NodeId node,
                                   std::shared_ptr<const OutboundRequest> request,
                                   Time timeout_at) {
    auto it = nodes_.find(node);
    if (timeout_at <= now || it == nodes_.end() || it->second.address.empty())
        return events_.attempt_completed({key, node, AttemptOutcome::not_sent, 0, now, {}});
    Attempt &attempt = attempts_[key];
    attempt = Attempt{node, {}, std::move(request), now, timeout_at};
    attempt.connection = take_idle(now, it->second);
    if (attempt.connection.value == 0)
        return open_connection(now, key, it->second, attempt);
    Connection &connection = connections_.at(attempt.connection);
    connection.busy = true;
    connection.attempt = key;
    hand_request(now, attempt.connection, connection);
}

ConnectionId ConnectionPool::take_idle(Time now, Node &node) {
    auto usable = std::find_if(node.idle.rbegin(), node.idle.rend(), [&](ConnectionId id) {
        return connections_.at(id).idle_since + settle_time <= now;
    });
    if (usable == node.idle.rend())
        return {};
    ConnectionId id = *usable;
    node.idle.erase(std::next(usable).base());
    return id;
}

/// Closes the idle connection that is next to be closed anyway, if there are too many.
bool ConnectionPool::make_room() {
    if (connections_.size() < max_connections_)
        return true;
    auto idle = std::find_if(due_.begin(), due_.end(), [&](const auto &entry) {
        const Connection &connection = connections_.at(entry.second);
        return connection.connected && !connection.busy;
    });
    if (idle == due_.end())
        return false;
    close(idle->second);
    return true;
}

void ConnectionPool::open_connection(Time now, const AttemptKey &key, Node &node,
                                     Attempt &attempt) {
    if (!make_room())
        return complete(now, key, AttemptOutcome::not_sent);
    attempt.connection = connection_ids_.next();
    Connection &connection =
        connections_.try_emplace(attempt.connection, Connection(attempt.node, node.address, key))
            .first->second;
    ++node.connection_count;
    set_due(attempt.connection, connection, std::min(now + connect_timeout_, attempt.timeout_at));
    transport_.connect(attempt.connection, connection.address);
}

void ConnectionPool::hand_request(Time now, ConnectionId id, Connection &connection) {
    const AttemptKey key = connection.attempt;
    const Attempt &attempt = attempts_.at(key);
    // Since the attempt was decided its connection came up: the client may have left by now, or the
    // node may drain.
    if (connection.retired || now >= attempt.timeout_at || !events_.may_send_attempt(now, key))
        return complete_unsent(now, key);
    auto message = encode(*attempt.request, attempt.timeout_at - now);
    connection.unsent_bytes = message.size();
    connection.request_handed = true;
    connection.decoder.start_next();
    set_due(id, connection, attempt.timeout_at);
    transport_.send(id, std::move(message));
}

void ConnectionPool::cancel_attempt(Time now, const AttemptKey &key) {
    auto it = attempts_.find(key);
    if (it == attempts_.end())
        return;
    if (!connections_.at(it->second.connection).request_sent())
        return complete_unsent(now, key);
    close(it->second.connection);
    complete(now, key, AttemptOutcome::canceled);
}

void ConnectionPool::complete_unsent(Time now, const AttemptKey &key) {
    close(attempts_.at(key).connection);
    complete(now, key, AttemptOutcome::not_sent);
}

void ConnectionPool::cancel_unsent(Time now, RequestId request) {
    std::vector<AttemptKey> unsent;
    for (auto it = attempts_.lower_bound({request, AttemptId{}});
         it != attempts_.end() && it->first.request == request; ++it)
        if (!connections_.at(it->second.connection).request_sent())
            unsent.push_back(it->first);
    for (const auto &key : unsent)
        complete_unsent(now, key);
}

void ConnectionPool::complete(Time now, const AttemptKey &key, AttemptOutcome outcome,
                              std::string body) {
    auto it = attempts_.find(key);
    const Attempt attempt = std::move(it->second);
    attempts_.erase(it);
    if (transport_.tracing())
        trace_attempt(now, key, attempt, outcome);
    events_.attempt_completed(
        {key, attempt.node, outcome, now - attempt.started_at, now, std::move(body)});
}

void ConnectionPool::trace_attempt(Time now, const AttemptKey &key, const Attempt &attempt,
                                   AttemptOutcome outcome) {
    auto since_start = [&](Time time) {
        return time == 0 ? std::nullopt : std::optional(time - attempt.started_at);
    };
    transport_.trace(TraceLine("attempt")
                         .field("request", key.request.value)
                         .field("attempt", key.attempt.value)
                         .field("node", attempt.node.value)
                         .field("conn", attempt.connection.value)
                         .field("how", static_cast<int>(outcome))
                         .microseconds("at", attempt.started_at)
                         .microseconds("connected", since_start(attempt.connected_at))
                         .microseconds("written", since_start(attempt.sent_at))
                         .microseconds("first", since_start(attempt.first_byte_at))
                         .microseconds("over", now - attempt.started_at)
                         .text());
}

void ConnectionPool::forget(ConnectionId id) {
    auto it = connections_.find(id);
    const Connection &connection = it->second;
    due_.erase({connection.due, id});
    if (auto node = nodes_.find(connection.node); node != nodes_.end()) {
        std::erase(node->second.idle, id);
        --node->second.connection_count;
        if (node->second.connection_count == 0 && node->second.address.empty())
            nodes_.erase(node);
    }
    connections_.erase(it);
}

void ConnectionPool::close(ConnectionId id) {
    forget(id);
    transport_.close(id);
}

void ConnectionPool::set_due(ConnectionId id, Connection &connection, Time due) {
    due_.erase({connection.due, id});
    connection.due = due;
    due_.insert({due, id});
}

void ConnectionPool::make_idle(Time now, ConnectionId id, Connection &connection) {
    connection.busy = false;
    connection.request_handed = false;
    connection.decoder.start_next();
    connection.idle_since = now;
    set_due(id, connection, now + idle_timeout_);
    nodes_.at(connection.node).idle.push_back(id);
}

std::map<NodeId, std::size_t> ConnectionPool::busy_connections() const {
    std::map<NodeId, std::size_t> busy;
    for (const auto &[id, connection] : connections_)
        busy[connection.node] += connection.busy ? 1 : 0;
    return busy;
}

void ConnectionPool::connected(Time now, ConnectionId id) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    it->second.connected = true;
    attempts_.at(it->second.attempt).connected_at = now;
    hand_request(now, id, it->second);
}

void ConnectionPool::connect_failed(Time now, ConnectionId id, bool connect_attempted) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    auto key = it->second.attempt;
    forget(id);
    complete(now, key, connect_attempted ? AttemptOutcome::unreachable : AttemptOutcome::not_sent);
}

void ConnectionPool::disconnected(Time now, ConnectionId id, CloseReason reason) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    Connection &connection = it->second;
    bool busy = connection.busy;
    bool request_sent = connection.request_sent();
    auto key = connection.attempt;
    // A response without a length ends with its stream; a connection that broke ends nothing.
    if (busy && request_sent && reason == CloseReason::end_of_stream) {
        connection.decoder.finish();
        connection.retired = true;
        if (connection.decoder.state() == http::State::complete)
            return response_ended(now, id, false);
    }
    forget(id);
    // Before its last byte has left, the node can't have executed it.
    if (busy)
        complete(now, key, request_sent ? AttemptOutcome::reset : AttemptOutcome::unreachable);
}

void ConnectionPool::sent(Time now, ConnectionId id, std::size_t bytes) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    Connection &connection = it->second;
    connection.unsent_bytes -= std::min(bytes, connection.unsent_bytes);
    if (connection.busy && connection.unsent_bytes == 0)
        attempts_.at(connection.attempt).sent_at = now;
}

void ConnectionPool::received(Time now, ConnectionId id, std::string_view bytes) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    Connection &connection = it->second;
    // Nothing was asked: whatever this is, it must not be taken for the next response.
    if (!connection.busy) {
        if (transport_.tracing())
            transport_.trace(TraceLine("stray")
                                 .field("conn", id.value)
                                 .microseconds("after", now - connection.idle_since)
                                 .text());
        return close(id);
    }

    Attempt &attempt = attempts_.at(connection.attempt);
    if (attempt.first_byte_at == 0)
        attempt.first_byte_at = now;
    bytes.remove_prefix(connection.decoder.consume(bytes));
    auto state = connection.decoder.state();
    if (state == http::State::complete || state == http::State::invalid)
        return response_ended(now, id, !bytes.empty());
    set_due(id, connection, std::min(attempt.timeout_at, now + connect_timeout_));
}

/// The response is whole or broken.
void ConnectionPool::response_ended(Time now, ConnectionId id, bool bytes_behind) {
    Connection &connection = connections_.at(id);
    http::Decoder &response = connection.decoder;
    auto key = connection.attempt;
    AttemptOutcome outcome = outcome_of(response);
    std::string body = outcome == AttemptOutcome::answered ? response.take_body() : std::string();
    if (outcome == AttemptOutcome::error && transport_.tracing())
        transport_.trace(TraceLine("error")
                             .field("conn", id.value)
                             .field("status", response.status())
                             .field("length", response.header("Content-Length").value_or("-"))
                             .field("fault", *response.error() ? response.error() : "-")
                             .text());

    bool reusable = response.state() == http::State::complete && !bytes_behind &&
                    response.keep_alive() && !connection.retired && connection.unsent_bytes == 0;
    if (reusable)
        make_idle(now, id, connection);
    else
        close(id);
    complete(now, key, outcome, std::move(body));
}

void ConnectionPool::handle_timeouts(Time now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto id = due_.begin()->second;
        const Connection &connection = connections_.at(id);
        auto key = connection.attempt;
        bool busy = connection.busy;
        bool request_handed = connection.request_handed;
        close(id);
        if (busy)
            complete(now, key, outcome_at_due(attempts_.at(key).timeout_at <= now, request_handed));
    }
}

} // namespace knotvane::http_gateway
