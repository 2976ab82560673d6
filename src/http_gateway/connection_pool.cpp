#include "http_gateway/connection_pool.hpp"

#include <algorithm>
#include <iterator>

#include "http_gateway/trace_line.hpp"

namespace knotvane::http_gateway {
namespace {

// The head of a node's response is a few hundred bytes. Valid bodies of up to 400 KB were seen,
// although the protocol's limit is 64 KiB. What all responses use together has a limit of its own.
constexpr std::size_t max_head_bytes = 8 << 10;
constexpr std::size_t max_body_bytes = 1 << 20;

// Bodies that aren't delivered yet may use one part in this many of the limit on incomplete
// responses before reading from the nodes is paused.
constexpr std::size_t undelivered_divisor = 4;

// A connection is not reused for this long after a response: a node may send a second response to
// the same request, seen 0.8 to 3.9 ms after the first, and it would be taken for the response to
// the next request.
constexpr Time reuse_delay = 10 * ms;

/// Returns after how long an idle connection is closed: before the node closes it, because a
/// request that is written while the node closes the connection fails with a reset.
Time idle_timeout_before(Time node_idle_timeout) {
    constexpr Time margin = 250 * ms;
    return std::max<Time>(node_idle_timeout - node_idle_timeout / 10 - margin, 0);
}

AttemptOutcome outcome_of(const http::Decoder &response) {
    if (response.state() != http::MessageState::complete)
        return AttemptOutcome::error;
    auto status = response.status();
    if (status == 200)
        return AttemptOutcome::answered;
    if ((status == 503 || status == 504) && response.header("X-Never-Ran") == "1")
        return AttemptOutcome::overloaded;
    return AttemptOutcome::error;
}

/// Returns the outcome of an attempt whose connection has reached its deadline.
AttemptOutcome timeout_outcome(bool timeout_reached, bool request_submitted) {
    if (timeout_reached)
        return request_submitted ? AttemptOutcome::timed_out : AttemptOutcome::not_sent;
    // The node stopped in the middle of its response, so the rest will not arrive.
    return request_submitted ? AttemptOutcome::error : AttemptOutcome::unreachable;
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
      max_connections_(std::max<std::size_t>(options.max_connections, 1)),
      max_response_memory_(options.max_response_memory) {}

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
        connection.close_after_attempt = true;
        if (connection.busy && !connection.request_submitted)
            unsent.push_back(connection.attempt);
    }
    for (const auto &key : unsent)
        complete_not_sent(now, key);
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
    attempt.connection = take_idle_connection(now, it->second);
    if (attempt.connection.value == 0)
        return open_connection(now, key, it->second, attempt);
    Connection &connection = connections_.at(attempt.connection);
    connection.busy = true;
    connection.attempt = key;
    submit_request(now, attempt.connection, connection);
}

ConnectionId ConnectionPool::take_idle_connection(Time now, Node &node) {
    auto usable = std::find_if(node.idle.rbegin(), node.idle.rend(), [&](ConnectionId id) {
        return connections_.at(id).idle_since + reuse_delay <= now;
    });
    if (usable == node.idle.rend())
        return {};
    ConnectionId id = *usable;
    node.idle.erase(std::next(usable).base());
    return id;
}

bool ConnectionPool::ensure_capacity() {
    if (connections_.size() < max_connections_)
        return true;
    // The idle connection that would time out first.
    auto idle = std::find_if(deadlines_.begin(), deadlines_.end(), [&](const auto &entry) {
        const Connection &connection = connections_.at(entry.second);
        return connection.connected && !connection.busy;
    });
    if (idle == deadlines_.end())
        return false;
    close(idle->second);
    return true;
}

void ConnectionPool::open_connection(Time now, const AttemptKey &key, Node &node,
                                     Attempt &attempt) {
    if (!ensure_capacity())
        return complete_attempt(now, key, AttemptOutcome::not_sent);
    attempt.connection = connection_ids_.next();
    Connection &connection =
        connections_.try_emplace(attempt.connection, Connection(attempt.node, node.address, key))
            .first->second;
    ++node.connection_count;
    set_deadline(attempt.connection, connection,
                 std::min(now + connect_timeout_, attempt.timeout_at));
    transport_.connect(attempt.connection, connection.address);
}

void ConnectionPool::submit_request(Time now, ConnectionId id, Connection &connection) {
    const AttemptKey key = connection.attempt;
    const Attempt &attempt = attempts_.at(key);
    // While the connection was being established, the client may have disconnected or the node may
    // have started to drain.
    if (connection.close_after_attempt || now >= attempt.timeout_at ||
        !events_.may_send_attempt(now, key))
        return complete_not_sent(now, key);
    auto message = encode(*attempt.request, attempt.timeout_at - now);
    connection.unsent_bytes = message.size();
    connection.request_submitted = true;
    connection.decoder.start_next();
    set_deadline(id, connection, attempt.timeout_at);
    transport_.send(id, std::move(message));
}

void ConnectionPool::cancel_attempt(Time now, const AttemptKey &key) {
    auto it = attempts_.find(key);
    if (it == attempts_.end())
        return;
    if (!connections_.at(it->second.connection).request_sent())
        return complete_not_sent(now, key);
    close(it->second.connection);
    complete_attempt(now, key, AttemptOutcome::canceled);
}

void ConnectionPool::complete_not_sent(Time now, const AttemptKey &key) {
    close(attempts_.at(key).connection);
    complete_attempt(now, key, AttemptOutcome::not_sent);
}

void ConnectionPool::cancel_unsent(Time now, RequestId request) {
    std::vector<AttemptKey> unsent;
    for (auto it = attempts_.lower_bound({request, AttemptId{}});
         it != attempts_.end() && it->first.request == request; ++it)
        if (!connections_.at(it->second.connection).request_sent())
            unsent.push_back(it->first);
    for (const auto &key : unsent)
        complete_not_sent(now, key);
}

void ConnectionPool::complete_attempt(Time now, const AttemptKey &key, AttemptOutcome outcome,
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

void ConnectionPool::trace_error(ConnectionId id, const char *fault) {
    if (!transport_.tracing())
        return;
    const http::Decoder &response = connections_.at(id).decoder;
    transport_.trace(TraceLine("error")
                         .field("conn", id.value)
                         .field("status", response.status())
                         .field("length", response.header("Content-Length").value_or("-"))
                         .field("fault", fault)
                         .text());
}

void ConnectionPool::remove_connection(ConnectionId id) {
    auto it = connections_.find(id);
    const Connection &connection = it->second;
    deadlines_.erase({connection.deadline, id});
    incomplete_bytes_ -= connection.counted_memory;
    if (auto node = nodes_.find(connection.node); node != nodes_.end()) {
        std::erase(node->second.idle, id);
        --node->second.connection_count;
        if (node->second.connection_count == 0 && node->second.address.empty())
            nodes_.erase(node);
    }
    connections_.erase(it);
}

void ConnectionPool::close(ConnectionId id) {
    remove_connection(id);
    transport_.close(id);
}

void ConnectionPool::set_deadline(ConnectionId id, Connection &connection, Time deadline) {
    deadlines_.erase({connection.deadline, id});
    connection.deadline = deadline;
    deadlines_.insert({deadline, id});
}

void ConnectionPool::make_idle(Time now, ConnectionId id, Connection &connection) {
    connection.busy = false;
    connection.request_submitted = false;
    connection.decoder.start_next();
    count_memory(connection, 0);
    connection.idle_since = now;
    set_deadline(id, connection, now + idle_timeout_);
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
    submit_request(now, id, it->second);
}

void ConnectionPool::connect_failed(Time now, ConnectionId id, bool attempted) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    auto key = it->second.attempt;
    remove_connection(id);
    complete_attempt(now, key, attempted ? AttemptOutcome::unreachable : AttemptOutcome::not_sent);
}

void ConnectionPool::disconnected(Time now, ConnectionId id, CloseReason reason) {
    auto it = connections_.find(id);
    if (it == connections_.end())
        return;
    Connection &connection = it->second;
    bool busy = connection.busy;
    bool request_sent = connection.request_sent();
    auto key = connection.attempt;
    // The end of the stream completes a response without a length; a reset doesn't.
    if (busy && request_sent && reason == CloseReason::end_of_stream) {
        connection.decoder.finish();
        connection.close_after_attempt = true;
        if (connection.decoder.state() == http::MessageState::complete)
            return handle_response_end(now, id, false);
    }
    remove_connection(id);
    // The node can't have executed a request whose last byte was not written.
    if (busy)
        complete_attempt(now, key,
                         request_sent ? AttemptOutcome::reset : AttemptOutcome::unreachable);
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
    // No request is in flight: the bytes must not be taken for the response to the next one.
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
    if (state == http::MessageState::complete || state == http::MessageState::invalid)
        return handle_response_end(now, id, !bytes.empty());
    set_deadline(id, connection, std::min(attempt.timeout_at, now + connect_timeout_));
    count_memory(connection, connection.decoder.memory_bytes());
    limit_response_memory(now);
}

void ConnectionPool::count_memory(Connection &connection, std::size_t bytes) {
    incomplete_bytes_ += bytes - connection.counted_memory;
    connection.counted_memory = bytes;
}

void ConnectionPool::limit_response_memory(Time now) {
    while (incomplete_bytes_ > max_response_memory_) {
        auto costliest = costliest_response(now);
        if (!costliest)
            return;
        auto key = connections_.at(*costliest).attempt;
        ++responses_ended_for_memory_;
        trace_error(*costliest, "no memory for the response");
        close(*costliest);
        complete_attempt(now, key, AttemptOutcome::error);
    }
}

std::optional<ConnectionId> ConnectionPool::costliest_response(Time now) const {
    const std::size_t even_share = max_response_memory_ / max_connections_;
    std::optional<ConnectionId> costliest;
    double highest_cost = 0;
    for (const auto &[id, connection] : connections_) {
        if (!connection.busy || connection.counted_memory <= even_share)
            continue;
        // Memory times the time for which it has been held: a response that never ends costs more
        // than a valid one of the same size. One that has just begun has a cost, too, so that there
        // is always one to choose.
        Time held_for = now - attempts_.at(connection.attempt).first_byte_at + ms;
        double cost = static_cast<double>(connection.counted_memory) * seconds(held_for);
        if (cost > highest_cost) {
            costliest = id;
            highest_cost = cost;
        }
    }
    return costliest;
}

void ConnectionPool::add_undelivered(const std::string &body) {
    undelivered_bytes_ += body.capacity();
    if (undelivered_bytes_ > max_response_memory_ / undelivered_divisor)
        set_reading_paused(true);
}

void ConnectionPool::bodies_delivered() {
    undelivered_bytes_ = 0;
    set_reading_paused(false);
}

void ConnectionPool::set_reading_paused(bool paused) {
    if (reading_paused_ == paused)
        return;
    reading_paused_ = paused;
    for (const auto &[id, connection] : connections_)
        transport_.set_reading_paused(id, paused);
}

void ConnectionPool::handle_response_end(Time now, ConnectionId id, bool has_trailing_bytes) {
    Connection &connection = connections_.at(id);
    http::Decoder &response = connection.decoder;
    auto key = connection.attempt;
    AttemptOutcome outcome = outcome_of(response);
    std::string body = outcome == AttemptOutcome::answered ? response.take_body() : std::string();
    if (outcome == AttemptOutcome::answered)
        add_undelivered(body);
    else if (outcome == AttemptOutcome::error)
        trace_error(id, *response.error() ? response.error() : "-");

    bool reusable = response.state() == http::MessageState::complete && !has_trailing_bytes &&
                    response.keep_alive() && !connection.close_after_attempt &&
                    connection.unsent_bytes == 0;
    if (reusable)
        make_idle(now, id, connection);
    else
        close(id);
    complete_attempt(now, key, outcome, std::move(body));
}

void ConnectionPool::handle_timeouts(Time now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        auto id = deadlines_.begin()->second;
        const Connection &connection = connections_.at(id);
        auto key = connection.attempt;
        bool busy = connection.busy;
        bool request_submitted = connection.request_submitted;
        close(id);
        if (busy)
            complete_attempt(
                now, key, timeout_outcome(attempts_.at(key).timeout_at <= now, request_submitted));
    }
}

} // namespace knotvane::http_gateway
