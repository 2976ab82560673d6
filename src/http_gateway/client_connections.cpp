#include "http_gateway/client_connections.hpp"

#include <algorithm>
#include <cstdio>
#include <variant>

#include "http_gateway/trace_line.hpp"

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

// The platform requires that a connection on which no complete first request arrives is closed
// within 3 s of connecting. Some regular clients write slowly, so a client that was answered before
// has more time for its next request.
constexpr Time first_byte_timeout = 2 * sec;
constexpr Time first_request_timeout = 2700 * ms;
constexpr Time later_request_timeout = 5 * sec;

// The platform allows closing a connection that had no request for 2 s. Idle connections are closed
// soon after that: some clients send one request and stay connected, and would use up the
// connections that other clients need.
constexpr Time min_idle_time = 2 * sec;
constexpr Time idle_timeout = 2500 * ms;

// Regular clients send as soon as they are connected. An iteration of the event loop takes well
// under this time even when the processor is throttled.
constexpr Time typical_first_byte_time = 200 * ms;

// How many bytes are kept of those that arrive while a request is in flight: enough for one request
// of the largest size. If more arrive, the rest isn't served, but the connection is still read, so
// that the client's close is noticed.
constexpr std::size_t max_pipelined_bytes = 72 << 10;

// How many messages of one connection are handled before those of other connections.
constexpr int max_messages_per_iteration = 16;

// While more bytes of responses than this wait for a client to read them, its next message isn't
// handled.
constexpr std::size_t max_unsent_bytes = 64 << 10;

// A client that hasn't read any byte of its response for this long may lose the response if memory
// runs out.
constexpr Time min_unread_time = 500 * ms;

// How long a half-closed connection waits for the client to close its side, and how many bytes are
// read and discarded meanwhile. Closing a socket with unread bytes resets the connection, by which
// the client would lose the response.
constexpr Time linger_time = 500 * ms;
constexpr std::size_t max_discarded_bytes = 1 << 20;

// How long the last response may take to be written before that; longer than the longest client
// timeout of 3 s.
constexpr Time last_response_timeout = 5 * sec;

// The eviction rank of connections that are never closed to make room.
constexpr int never_evicted = 5;

} // namespace

ClientConnections::ClientConnections(Transport &transport, ClientRequestEvents &events,
                                     ConnectionIds &connection_ids, RequestParser parser,
                                     const ClientLimits &limits)
    : transport_(transport), events_(events), connection_ids_(connection_ids),
      parser_(std::move(parser)), limits_(limits) {
    limits_.max_connections = std::max<std::size_t>(limits.max_connections, 1);
}

std::optional<ConnectionId> ClientConnections::connected(Time now) {
    if (clients_.size() >= limits_.max_connections)
        evict_one(now);
    // Every connection has a request in flight. One more connection would use a descriptor that is
    // reserved for nodes and discovery.
    if (clients_.size() >= limits_.max_connections)
        return std::nullopt;
    ConnectionId id = connection_ids_.next();
    Client &client = clients_.try_emplace(id).first->second;
    client.idle_since = now;
    client.received_at = now;
    set_timeout(id, client, now + first_byte_timeout);
    return id;
}

/// Returns the rank by which connections are closed to make room, lowest first. A connection that
/// was just accepted ranks last, as its request may be waiting in the socket unread. Without the
/// ranks, many clients that send one request and stay connected caused regular clients to be
/// refused.
int ClientConnections::eviction_rank(Time now, const Client &client) {
    if (client.half_closed)
        return -1;
    if (client.request_in_flight)
        return never_evicted;
    Time idle = now - client.idle_since;
    if (!client.has_sent_bytes)
        return idle >= typical_first_byte_time ? 0 : 4;
    if (client.decoder.state() != http::MessageState::empty || !client.pipelined.empty())
        return 2;
    return idle >= min_idle_time ? 1 : 3;
}

void ClientConnections::evict_one(Time now) {
    auto lowest = clients_.end();
    std::pair<int, Time> lowest_rank{never_evicted, 0};
    for (auto it = clients_.begin(); it != clients_.end(); ++it) {
        std::pair rank{eviction_rank(now, it->second), it->second.idle_since};
        if (rank.first < never_evicted && (lowest == clients_.end() || rank < lowest_rank)) {
            lowest = it;
            lowest_rank = rank;
        }
    }
    if (lowest == clients_.end())
        return;
    ++counts_.evicted;
    close(lowest->first);
}

void ClientConnections::set_timeout(ConnectionId id, Client &client, Time timeout_at) {
    timeouts_.erase({client.timeout_at, id});
    client.timeout_at = timeout_at;
    if (timeout_at != never)
        timeouts_.insert({timeout_at, id});
}

bool ClientConnections::erase(ConnectionId id) {
    auto it = clients_.find(id);
    bool in_flight = it->second.request_in_flight;
    timeouts_.erase({it->second.timeout_at, id});
    if (it->second.half_closed)
        --half_closed_count_;
    memory_bytes_ -= it->second.counted_memory;
    clients_.erase(it);
    return in_flight;
}

void ClientConnections::close(ConnectionId id) {
    erase(id);
    transport_.close(id);
}

void ClientConnections::finish_sending(Time now, ConnectionId id, Client &client) {
    client.half_closed = true;
    ++half_closed_count_;
    client.request_in_flight = false;
    client.open_request_bytes = 0;
    client.pipelined.clear();
    client.decoder.start_next();
    count_memory(client);
    // The client's close shows only if the connection is read.
    set_reading_paused(id, client, false);
    set_timeout(id, client, now + (client.unsent_bytes > 0 ? last_response_timeout : linger_time));
    transport_.finish_sending(id);
}

void ClientConnections::close_idle(Time now) {
    for (auto &[id, client] : clients_)
        if (!client.request_in_flight && !client.half_closed && client.pipelined.empty())
            finish_sending(now, id, client);
}

void ClientConnections::received(Time now, ConnectionId id, std::string_view bytes) {
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    Client &client = it->second;
    client.has_sent_bytes = true;
    client.received_at = now;
    if (client.half_closed) {
        // The client sent a request before it noticed that this side is closed. It isn't accepted;
        // the client sends it to another gateway.
        client.discarded_bytes += bytes.size();
        if (client.discarded_bytes > max_discarded_bytes)
            close(id);
        return;
    }
    if (client.ignores_input)
        return;
    if (client.request_in_flight || !client.pipelined.empty()) {
        keep_pipelined(client, now, bytes);
    } else {
        process_bytes(now, now, id, bytes);
        limit_pipelined(now, id);
    }
    input_processed(id);
    limit_memory(now);
}

void ClientConnections::process_bytes(Time now, Time received_at, ConnectionId id,
                                      std::string_view bytes) {
    while (!bytes.empty()) {
        Client &client = clients_.at(id);
        if (client.request_in_flight || !may_handle_message(client))
            return put_back(client, received_at, bytes);
        http::Decoder &decoder = client.decoder;
        if (decoder.state() == http::MessageState::empty)
            set_timeout(id, client,
                        client.has_been_answered ? now + later_request_timeout
                                                 : client.idle_since + first_request_timeout);
        bytes.remove_prefix(decoder.consume(bytes));
        if (decoder.state() == http::MessageState::invalid)
            return send_error(now, id, {decoder.error_status(), decoder.error()});
        if (decoder.state() != http::MessageState::complete) {
            // The rest of this request was discarded. Bytes that arrive from now on must not be
            // parsed as its end.
            if (client.ignores_input && client.pipelined.empty())
                send_error(now, id, {413, "too much at once"});
            return;
        }

        ++client.messages_in_iteration;
        handle_message(now, received_at, id, client);
        auto it = clients_.find(id);
        if (it == clients_.end() || it->second.half_closed)
            return;
    }
}

bool ClientConnections::may_handle_message(Client &client) const {
    if (client.iteration != iteration_) {
        client.iteration = iteration_;
        client.messages_in_iteration = 0;
    }
    return client.messages_in_iteration < max_messages_per_iteration &&
           client.unsent_bytes <= max_unsent_bytes;
}

void ClientConnections::input_processed(ConnectionId id) {
    auto it = clients_.find(id);
    if (it == clients_.end() || it->second.half_closed)
        return;
    Client &client = it->second;
    count_memory(client);
    bool waits = !client.request_in_flight && !client.pipelined.empty();
    // Sending resumes in the next iteration, or once the client has read enough.
    if (waits && client.unsent_bytes <= max_unsent_bytes)
        waiting_for_iteration_.insert(id);
    set_reading_paused(id, client, waits);
}

void ClientConnections::set_reading_paused(ConnectionId id, Client &client, bool paused) {
    if (client.reading_paused == paused)
        return;
    client.reading_paused = paused;
    transport_.set_reading_paused(id, paused);
}

void ClientConnections::keep_pipelined(Client &client, Time received_at, std::string_view bytes) {
    if (client.pipelined.size() + bytes.size() > max_pipelined_bytes ||
        memory_bytes_ + bytes.size() > limits_.max_memory_bytes)
        return ignore_input(client);
    client.pipelined.append(received_at, bytes);
}

void ClientConnections::put_back(Client &client, Time received_at, std::string_view bytes) {
    // While no request is in flight all bytes are kept and no more are read.
    if (client.request_in_flight && bytes.size() > max_pipelined_bytes) {
        ignore_input(client);
        bytes = bytes.substr(0, max_pipelined_bytes);
    }
    client.pipelined.prepend(received_at, bytes);
}

void ClientConnections::ignore_input(Client &client) {
    counts_.pipelined_discarded += client.ignores_input ? 0 : 1;
    client.ignores_input = true;
}

void ClientConnections::limit_pipelined(Time now, ConnectionId id) {
    auto it = clients_.find(id);
    if (it == clients_.end() || it->second.half_closed || it->second.pipelined.empty())
        return;
    Client &client = it->second;
    count_memory(client);
    if (memory_bytes_ <= limits_.max_memory_bytes || within_even_share(client))
        return;
    client.pipelined.clear();
    ignore_input(client);
    if (!client.request_in_flight)
        refuse_unfinished(now, id);
}

void ClientConnections::count_memory(Client &client) {
    std::size_t bytes = client.decoder.memory_bytes() + client.pipelined.size() +
                        client.unsent_bytes + client.open_request_bytes;
    memory_bytes_ += bytes - client.counted_memory;
    client.counted_memory = bytes;
}

void ClientConnections::limit_memory(Time now) {
    refuse_stalled_requests(now);
    while (memory_bytes_ > limits_.max_memory_bytes) {
        auto unread = unread_response(now);
        if (!unread)
            return;
        ++counts_.closed_for_memory;
        close_unread(now, *unread);
    }
}

void ClientConnections::refuse_stalled_requests(Time now) {
    while (memory_bytes_ > limits_.max_memory_bytes) {
        auto unfinished = stalled_request(now);
        if (!unfinished)
            return;
        refuse_unfinished(now, *unfinished);
    }
}

bool ClientConnections::within_even_share(const Client &client) const {
    return client.counted_memory <= limits_.max_memory_bytes / limits_.max_connections;
}

std::optional<ConnectionId> ClientConnections::stalled_request(Time now) const {
    std::optional<ConnectionId> worst;
    double worst_cost = 0;
    for (const auto &[id, client] : clients_) {
        auto state = client.decoder.state();
        bool unfinished = state == http::MessageState::head || state == http::MessageState::body;
        if (!unfinished || client.half_closed || within_even_share(client))
            continue;
        // Memory times the time for which it has been of no use. A client that is still sending
        // has some, too, so that one can always be chosen.
        double cost =
            static_cast<double>(client.counted_memory) * seconds(now - client.received_at + ms);
        if (cost > worst_cost) {
            worst = id;
            worst_cost = cost;
        }
    }
    return worst;
}

std::optional<ConnectionId> ClientConnections::unread_response(Time now) const {
    std::optional<ConnectionId> longest;
    Time since = now - min_unread_time;
    for (const auto &[id, client] : clients_) {
        if (client.unsent_bytes == 0 || client.written_at > since)
            continue;
        longest = id;
        since = client.written_at;
    }
    return longest;
}

void ClientConnections::close_unread(Time now, ConnectionId id) {
    bool in_flight = erase(id);
    transport_.close(id);
    if (in_flight)
        events_.request_canceled(now, id);
}

void ClientConnections::handle_message(Time now, Time received_at, ConnectionId id,
                                       Client &client) {
    client.close_after_response = !client.decoder.keep_alive();
    if (!has_memory_for(now, client))
        return refuse_for_memory(now, id);
    ParsedRequest parsed = parser_.parse(client.decoder);
    if (std::holds_alternative<HealthCheck>(parsed)) {
        ++counts_.health_checks;
        return send(now, id, {events_.serving() ? 200U : 503U, "", ""});
    }
    if (auto *error = std::get_if<RequestError>(&parsed))
        return send_error(now, id, *error);

    auto &request = std::get<ClientRequest>(parsed);
    request.info.client_timeout += received_at;
    client.request_in_flight = true;
    client.open_request_bytes = request.outbound->body.size();
    set_timeout(id, client, never);
    events_.request_received(now, id, request.info, std::move(request.outbound));
}

bool ClientConnections::has_memory_for(Time now, Client &client) {
    count_memory(client);
    if (within_even_share(client))
        return true;
    refuse_stalled_requests(now);
    return memory_bytes_ <= limits_.max_memory_bytes;
}

void ClientConnections::refuse_for_memory(Time now, ConnectionId id) {
    ++counts_.refused_for_memory;
    send(now, id, {503, "", ""});
}

void ClientConnections::refuse_unfinished(Time now, ConnectionId id) {
    clients_.at(id).close_after_response = true;
    refuse_for_memory(now, id);
}

void ClientConnections::disconnected(Time now, ConnectionId id) {
    if (!clients_.contains(id))
        return;
    if (erase(id))
        events_.request_canceled(now, id);
}

void ClientConnections::send(Time now, ConnectionId id, ClientResponse response) {
    auto it = clients_.find(id);
    if (it == clients_.end() || it->second.half_closed)
        return;
    Client &client = it->second;
    response.closes_connection =
        client.close_after_response ||
        (client.pipelined.empty() && (close_after_responses_ || client.ignores_input));
    std::string message = encode(response);
    if (client.unsent_bytes == 0)
        client.written_at = now;
    client.unsent_bytes += message.size();
    transport_.send(id, std::move(message));
    if (response.closes_connection)
        return finish_sending(now, id, client);

    client.request_in_flight = false;
    client.open_request_bytes = 0;
    client.has_been_answered = true;
    client.idle_since = now;
    client.decoder.start_next();
    count_memory(client);
    set_timeout(id, client, now + idle_timeout);
    if (!client.pipelined.empty())
        answered_with_pipelined_.insert(id);
}

void ClientConnections::sent(Time now, ConnectionId id, std::size_t bytes) {
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    Client &client = it->second;
    client.written_at = now;
    client.unsent_bytes -= std::min(bytes, client.unsent_bytes);
    count_memory(client);
    if (client.half_closed && client.unsent_bytes == 0)
        set_timeout(id, client, now + linger_time);
    else
        input_processed(id);
}

void ClientConnections::begin_iteration() {
    ++iteration_;
    answered_with_pipelined_.merge(waiting_for_iteration_);
    waiting_for_iteration_.clear();
}

void ClientConnections::process_pipelined(Time now) {
    for (auto id : std::exchange(answered_with_pipelined_, {})) {
        auto it = clients_.find(id);
        while (it != clients_.end() && !it->second.request_in_flight &&
               !it->second.pipelined.empty() && may_handle_message(it->second)) {
            auto pipelined = it->second.pipelined.take_first();
            process_bytes(now, pipelined.received_at, id, pipelined.bytes);
            it = clients_.find(id);
        }
        input_processed(id);
    }
    limit_memory(now);
}

void ClientConnections::send_error(Time now, ConnectionId id, const RequestError &error) {
    ++counts_.invalid;
    clients_.at(id).close_after_response = true;
    if (transport_.tracing())
        transport_.trace(
            TraceLine("refused").field("status", error.status).field("why", error.reason).text());
    send(now, id, {error.status, "Content-Type: text/plain\r\n", std::string(error.reason) + "\n"});
}

void ClientConnections::respond(Time now, ConnectionId id, const std::string &body) {
    send(now, id, {200, "", body});
}

void ClientConnections::reject(Time now, ConnectionId id, Time retry_after) {
    char header[64] = "";
    if (retry_after > 0)
        std::snprintf(header, sizeof header, "Retry-After: %.3f\r\n", seconds(retry_after));
    send(now, id, {503, header, ""});
}

void ClientConnections::fail(Time now, ConnectionId id) {
    send(now, id, {502, "", ""});
}

void ClientConnections::handle_timeouts(Time now) {
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        auto id = timeouts_.begin()->second;
        Client &client = clients_.at(id);
        bool idle = client.decoder.state() == http::MessageState::empty;
        if (client.half_closed)
            close(id);
        else if (idle && client.has_sent_bytes && keep_idle_)
            set_timeout(id, client, now + idle_timeout);
        else if (idle)
            finish_sending(now, id, client);
        else
            send_error(now, id, {408, "the request does not come to an end"});
    }
}

} // namespace knotvane::http_gateway
