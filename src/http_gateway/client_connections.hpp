/// \file
/// The protocol logic of connections from clients, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "http/decoder.hpp"
#include "http_gateway/outbound_request.hpp"
#include "http_gateway/request_parser.hpp"
#include "http_gateway/transport.hpp"
#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Receives the requests of clients. The implementation answers each request exactly once, through
/// the ClientConnections' respond, reject or fail with the client's connection id, unless the
/// request is canceled before.
class ClientRequestEvents {
public:
    virtual ~ClientRequestEvents() = default;

    /// A client sent a complete, valid request.
    /// @param info complete except for the request's id, which the receiver assigns.
    virtual void request_received(Time now, ConnectionId client, RequestInfo info,
                                  std::shared_ptr<const OutboundRequest> outbound) = 0;

    /// A client disconnected before its request was answered.
    virtual void request_canceled(Time now, ConnectionId client) = 0;

    /// Whether the gateway is able to serve: health checks are answered with 200 if so, else 503.
    virtual bool serving() const = 0;
};

/// The connections that clients have opened. Reads requests, one at a time on each connection, and
/// sends one response to each. An invalid message is answered with an error at once and its
/// connection is closed. Limits the connections, memory and time that clients can use.
class ClientConnections {
public:
    /// @param transport, events, connection_ids must outlive this object.
    /// @param parser turns complete messages into requests.
    /// @param max_connections the most connections open at a time; at least 1.
    ClientConnections(Transport &transport, ClientRequestEvents &events,
                      ConnectionIds &connection_ids, RequestParser parser,
                      std::size_t max_connections);

    bool owns(ConnectionId id) const { return clients_.contains(id); }

    /// A connection was accepted. At the connection limit, the connection with the lowest eviction
    /// rank is closed to make room.
    /// @return the new connection's id, or nothing if every connection has a request in flight; the
    /// caller then closes the new one.
    std::optional<ConnectionId> connected(Time now);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id);
    void sent(Time now, ConnectionId id, std::size_t bytes);

    /// Answers with 200 and a node's response body.
    void respond(Time now, ConnectionId id, const std::string &body);
    /// Answers with 503: nothing was executed and the client may repeat the request.
    /// @param retry_after how long the client should wait before that, sent as Retry-After; 0 sends
    /// none.
    void reject(Time now, ConnectionId id, Time retry_after);
    /// Answers with 502: the request failed and may have been executed.
    void fail(Time now, ConnectionId id);

    /// From now on idle connections on which a client has sent something stay open.
    void keep_idle() { keep_idle_ = true; }
    /// From now on a connection is closed after its next response, unless the client has already
    /// sent another request on it.
    void close_after_responses() { close_after_responses_ = true; }
    /// Half-closes every connection without a request. Bytes that it receives later are discarded.
    void close_idle(Time now);

    /// Parses the pipelined bytes of connections whose request has been answered in the meantime.
    /// Must not be called from within a call of the scheduler, as it passes new requests to it.
    void process_pipelined(Time now);
    bool has_pipelined() const { return !answered_with_pipelined_.empty(); }

    /// The number of connections that aren't half-closed.
    std::size_t open_count() const { return clients_.size() - half_closed_count_; }
    /// The number of all connections.
    std::size_t count() const { return clients_.size(); }

    /// When handle_timeouts must be called next; the largest Time if no timeout is pending.
    Time next_due() const {
        return timeouts_.empty() ? std::numeric_limits<Time>::max() : timeouts_.begin()->first;
    }
    /// Acts on the timeouts that have passed: sends a 408 response, half-closes or closes the
    /// connection.
    void handle_timeouts(Time now);

private:
    // Request heads of this protocol have some hundred bytes, bodies at most 64 KiB.
    static constexpr std::size_t max_head_bytes = 8 << 10;
    static constexpr std::size_t max_body_bytes = 64 << 10;

    /// Bytes that were received while an earlier request was in flight.
    struct PipelinedBytes {
        Time received_at;
        std::string bytes;
    };

    /// The state of a connection.
    struct Client {
        http::Decoder decoder{http::MessageKind::request, max_head_bytes, max_body_bytes};
        /// When its current timeout passes; also in timeouts_.
        Time timeout_at = 0;
        /// When it connected or was last answered, whichever is later.
        Time idle_since = 0;
        bool has_sent_bytes = false;
        bool request_in_flight = false;
        bool has_been_answered = false;
        /// The connection is closed after the next response.
        bool close_after_response = false;
        /// Too many bytes were pipelined: those received from now on are discarded.
        bool ignores_input = false;
        /// This side is closed for sending and the client's isn't closed yet.
        bool half_closed = false;
        /// Bytes of responses that aren't written to the socket yet.
        std::size_t unsent_bytes = 0;
        /// Bytes received since the connection was half-closed.
        std::size_t discarded_bytes = 0;
        std::deque<PipelinedBytes> pipelined;
        /// The number of bytes in `pipelined`.
        std::size_t pipelined_bytes = 0;
    };

    /// Parses bytes and handles the messages that they complete, until a request is in flight.
    /// @param received_at when the bytes arrived. The client's timeout counts from then, also if
    /// they were parsed only after an earlier request was answered.
    void process_bytes(Time now, Time received_at, ConnectionId id, std::string_view bytes);
    /// Handles the complete message in the client's decoder: a request, health check or error.
    void handle_message(Time now, Time received_at, ConnectionId id, Client &client);
    /// Puts bytes that aren't parsed yet back in front of the pipelined ones, up to the limit.
    void keep_pipelined(Client &client, Time received_at, std::string_view bytes);

    void send(Time now, ConnectionId id, unsigned status, const std::string &headers,
              const std::string &body);
    void send_error(Time now, ConnectionId id, const RequestError &error);

    void set_timeout(ConnectionId id, Client &client, Time timeout_at);
    /// Removes a connection from the tables; returns whether it had a request in flight.
    bool erase(ConnectionId id);
    void close(ConnectionId id);
    /// Half-closes a connection: this side is closed once all responses are written. Bytes received
    /// after that are discarded until the client closes or a timeout passes.
    void finish_sending(Time now, ConnectionId id, Client &client);
    static int eviction_rank(Time now, const Client &client);
    /// Closes the connection with the lowest eviction rank, if any may be closed.
    void evict_one(Time now);

    Transport &transport_;
    ClientRequestEvents &events_;
    ConnectionIds &connection_ids_;
    RequestParser parser_;
    std::size_t max_connections_;
    std::size_t half_closed_count_ = 0;
    std::map<ConnectionId, Client> clients_;
    /// Pending timeouts, the next one first.
    std::set<std::pair<Time, ConnectionId>> timeouts_;
    /// Connections whose request was answered and that have pipelined bytes to parse.
    std::set<ConnectionId> answered_with_pipelined_;
    bool keep_idle_ = false;
    bool close_after_responses_ = false;
};

} // namespace knotvane::http_gateway
