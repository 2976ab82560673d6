#include "http_gateway/client_connections.hpp"

#include <algorithm>
#include <cstdio>
#include <variant>

#include "http_gateway/trace_line.hpp"

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

// A client that sends nothing, or doesn't complete a first request, is owed an end within 3 s of
// connecting. Some usual clients write slowly: one that was answered before has longer.
constexpr Time first_byte_timeout = 2 * sec;
constexpr Time first_request_timeout = 2700 * ms;
constexpr Time later_request_timeout = 5 * sec;

// A connection without a request may be closed after 2 s. Some clients ask once and stay connected:
// kept for long, they leave no room for others.
constexpr Time min_idle_time = 2 * sec;
constexpr Time idle_timeout = 2500 * ms;

// Usual clients send as soon as they are connected; a throttled loop's turn is well under this.
constexpr Time usual_first_byte_time = 200 * ms;

// Bytes kept of what comes behind a request in flight: one request of the largest size. Past that
// nothing more of the connection is served, but it is read on, so that its client's close shows.
constexpr std::size_t max_pipelined_bytes = 72 << 10;

// How long a half-closed connection waits for its client's close, and how much is read and
// discarded meanwhile: a close over unread bytes resets the connection and takes the answer along.
constexpr Time linger_time = 500 * ms;
constexpr std::size_t max_discarded_bytes = 1 << 20;

// Before that, how long its last answer may take to leave: past the longest client timeout, 3 s.
constexpr Time last_answer_timeout = 5 * sec;

const char *reason_phrase(unsigned status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Error";
    }
}

// The rank of a connection that isn't closed to make room.
constexpr int never_evicted = 5;

} // namespace

ClientConnections::ClientConnections(Transport &transport, ClientRequestEvents &events,
                                     ConnectionIds &connection_ids, RequestParser parser,
                                     std::size_t max_connections)
    : transport_(transport), events_(events), connection_ids_(connection_ids),
      parser_(std::move(parser)), max_connections_(std::max<std::size_t>(max_connections, 1)) {}

std::optional<ConnectionId> ClientConnections::connected(Time now) {
    if (clients_.size() >= max_connections_)
        evict_one(now);
    // Each has a request in flight: one more would take a descriptor from nodes and discovery.
    if (clients_.size() >= max_connections_)
        return std::nullopt;
    ConnectionId id = connection_ids_.next();
    Client &client = clients_.try_emplace(id).first->second;
    client.idle_since = now;
    set_due(id, client, now + first_byte_timeout);
    return id;
}

/// The order in which connections are closed to make room, lowest first. One that is just connected
/// comes last: its request may wait unread. Guards against crowds of clients that ask once and
/// stay, for which usual clients were refused a connection.
int ClientConnections::eviction_rank(Time now, const Client &client) {
    if (client.half_closed)
        return -1;
    if (client.request_in_flight)
        return never_evicted;
    Time idle = now - client.idle_since;
    if (!client.has_sent_bytes)
        return idle >= usual_first_byte_time ? 0 : 4;
    if (client.decoder.state() != http::State::empty)
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
    if (lowest != clients_.end())
        close(lowest->first);
}

void ClientConnections::set_due(ConnectionId id, Client &client, Time due) {
    due_.erase({client.due, id});
    client.due = due;
    if (due != never)
        due_.insert({due, id});
}

bool ClientConnections::forget(ConnectionId id) {
    auto it = clients_.find(id);
    bool in_flight = it->second.request_in_flight;
    due_.erase({it->second.due, id});
    if (it->second.half_closed)
        --half_closed_count_;
    clients_.erase(it);
    return in_flight;
}

void ClientConnections::close(ConnectionId id) {
    forget(id);
    transport_.close(id);
}

void ClientConnections::finish_sending(Time now, ConnectionId id, Client &client) {
    client.half_closed = true;
    ++half_closed_count_;
    client.request_in_flight = false;
    client.pipelined.clear();
    client.pipelined_bytes = 0;
    set_due(id, client, now + (client.unsent_bytes > 0 ? last_answer_timeout : linger_time));
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
    if (client.half_closed) {
        // A request that crossed our end isn't taken; its client sends it elsewhere.
        client.discarded_bytes += bytes.size();
        if (client.discarded_bytes > max_discarded_bytes)
            close(id);
        return;
    }
    if (client.ignores_input)
        return;
    if (!client.request_in_flight && client.pipelined.empty())
        return read(now, now, id, bytes);
    if (client.pipelined_bytes + bytes.size() > max_pipelined_bytes) {
        client.ignores_input = true;
        return;
    }
    client.pipelined.push_back({now, std::string(bytes)});
    client.pipelined_bytes += bytes.size();
}

void ClientConnections::read(Time now, Time received_at, ConnectionId id, std::string_view bytes) {
    while (!bytes.empty()) {
        Client &client = clients_.at(id);
        http::Decoder &decoder = client.decoder;
        if (decoder.state() == http::State::empty)
            set_due(id, client,
                    client.has_been_answered ? now + later_request_timeout
                                             : client.idle_since + first_request_timeout);
        bytes.remove_prefix(decoder.take(bytes));
        if (decoder.state() == http::State::broken)
            return send_error(now, id, {decoder.fault_status(), decoder.fault()});
        if (decoder.state() != http::State::whole) {
            // The rest of it was ignored: what comes next must not be read as its end.
            if (client.ignores_input && client.pipelined.empty())
                send_error(now, id, {413, "too much at once"});
            return;
        }

        handle_message(now, received_at, id, client);
        auto it = clients_.find(id);
        if (it == clients_.end() || it->second.half_closed)
            return;
        if (it->second.request_in_flight)
            return keep_pipelined(it->second, received_at, bytes);
    }
}

void ClientConnections::keep_pipelined(Client &client, Time received_at, std::string_view bytes) {
    client.ignores_input |= bytes.size() > max_pipelined_bytes;
    bytes = bytes.substr(0, max_pipelined_bytes);
    if (bytes.empty())
        return;
    client.pipelined.push_front({received_at, std::string(bytes)});
    client.pipelined_bytes += bytes.size();
}

void ClientConnections::handle_message(Time now, Time received_at, ConnectionId id,
                                       Client &client) {
    client.close_after_response = !client.decoder.keeps_open();
    ParsedRequest parsed = parser_.parse(client.decoder);
    if (std::holds_alternative<HealthCheck>(parsed))
        return send(now, id, events_.serving() ? 200 : 503, "", "");
    if (auto *error = std::get_if<RequestError>(&parsed))
        return send_error(now, id, *error);

    auto &request = std::get<ClientRequest>(parsed);
    request.info.client_timeout += received_at;
    client.request_in_flight = true;
    set_due(id, client, never);
    events_.request_received(now, id, request.info, std::move(request.outbound));
}

void ClientConnections::disconnected(Time now, ConnectionId id) {
    if (!clients_.contains(id))
        return;
    if (forget(id))
        events_.request_canceled(now, id);
}

void ClientConnections::send(Time now, ConnectionId id, unsigned status, const std::string &headers,
                             const std::string &body) {
    auto it = clients_.find(id);
    if (it == clients_.end() || it->second.half_closed)
        return;
    Client &client = it->second;
    bool last = client.close_after_response ||
                (client.pipelined.empty() && (close_after_responses_ || client.ignores_input));
    std::string message = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
                          "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
                          "\r\n" + (last ? "Connection: close\r\n" : "") + "\r\n";
    message += body;
    client.unsent_bytes += message.size();
    transport_.send(id, std::move(message));
    if (last)
        return finish_sending(now, id, client);

    client.request_in_flight = false;
    client.has_been_answered = true;
    client.idle_since = now;
    client.decoder.next();
    set_due(id, client, now + idle_timeout);
    if (!client.pipelined.empty())
        answered_with_pipelined_.insert(id);
}

void ClientConnections::sent(Time now, ConnectionId id, std::size_t bytes) {
    auto it = clients_.find(id);
    if (it == clients_.end())
        return;
    Client &client = it->second;
    client.unsent_bytes -= std::min(bytes, client.unsent_bytes);
    if (client.half_closed && client.unsent_bytes == 0)
        set_due(id, client, now + linger_time);
}

void ClientConnections::read_pipelined(Time now) {
    for (auto id : std::exchange(answered_with_pipelined_, {})) {
        auto it = clients_.find(id);
        while (it != clients_.end() && !it->second.request_in_flight &&
               !it->second.pipelined.empty()) {
            auto pipelined = std::move(it->second.pipelined.front());
            it->second.pipelined.pop_front();
            it->second.pipelined_bytes -= pipelined.bytes.size();
            read(now, pipelined.received_at, id, pipelined.bytes);
            it = clients_.find(id);
        }
    }
}

void ClientConnections::send_error(Time now, ConnectionId id, const RequestError &error) {
    clients_.at(id).close_after_response = true;
    if (transport_.tracing())
        transport_.trace(
            TraceLine("refused").field("status", error.status).field("why", error.reason).text());
    send(now, id, error.status, "Content-Type: text/plain\r\n", std::string(error.reason) + "\n");
}

void ClientConnections::respond(Time now, ConnectionId id, const std::string &body) {
    send(now, id, 200, "", body);
}

void ClientConnections::reject(Time now, ConnectionId id, Time retry_after) {
    char header[64] = "";
    if (retry_after > 0)
        std::snprintf(header, sizeof header, "Retry-After: %.3f\r\n", seconds(retry_after));
    send(now, id, 503, header, "");
}

void ClientConnections::fail(Time now, ConnectionId id) {
    send(now, id, 502, "", "");
}

void ClientConnections::handle_timeouts(Time now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto id = due_.begin()->second;
        Client &client = clients_.at(id);
        bool idle = client.decoder.state() == http::State::empty;
        if (client.half_closed)
            close(id);
        else if (idle && client.has_sent_bytes && keep_idle_)
            set_due(id, client, now + idle_timeout);
        else if (idle)
            finish_sending(now, id, client);
        else
            send_error(now, id, {408, "the request does not come to an end"});
    }
}

} // namespace knotvane::http_gateway
