/// \file
/// The protocol logic of connections from clients, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
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
#include "http_gateway/client_response.hpp"
#include "http_gateway/outbound_request.hpp"
#include "http_gateway/pipelined_input.hpp"
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

/// What all clients together may use.
struct ClientLimits {
    /// The most connections open at a time; at least 1.
    std::size_t max_connections = 1;
    /// The most memory for what clients have sent and not yet read, in bytes.
    std::size_t max_memory_bytes = std::numeric_limits<std::size_t>::max();
};

/// What clients got without a request of theirs being scheduled, since the start.
struct ClientCounts {
    std::uint64_t health_checks = 0;
    /// Messages that were answered with an error.
    std::uint64_t invalid = 0;
    /// Connections closed to make room for others.
    std::uint64_t evicted = 0;
    /// Requests answered with 503 because the memory for clients was used up.
    std::uint64_t refused_for_memory = 0;
    /// Connections closed because the memory was used up and their client didn't read.
    std::uint64_t closed_for_memory = 0;
    /// Connections whose pipelined bytes were discarded: too many of them, or no memory.
    std::uint64_t pipelined_discarded = 0;
};

/// The connections that clients have opened. Reads requests, one at a time on each connection, and
/// sends one response to each. An invalid message is answered with an error at once and its
/// connection is closed. Limits the connections, memory and time that clients can use.
class ClientConnections {
public:
    /// @param transport, events, connection_ids must outlive this object.
    /// @param parser turns complete messages into requests.
    ClientConnections(Transport &transport, ClientRequestEvents &events,
                      ConnectionIds &connection_ids, RequestParser parser,
                      const ClientLimits &limits);

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

    /// Begins an iteration, in which only so many messages of each connection are handled: one that
    /// sends without a pause must not delay the others.
    void begin_iteration();
    /// Parses the pipelined bytes of connections whose request has been answered in the meantime.
    /// Must not be called from within a call of the scheduler, as it passes new requests to it.
    void process_pipelined(Time now);
    /// Whether process_pipelined has something to do in this iteration.
    bool has_pipelined() const { return !answered_with_pipelined_.empty(); }
    /// Whether it has something to do in the next iteration.
    bool waits_for_iteration() const { return !waiting_for_iteration_.empty(); }

    /// The number of connections that aren't half-closed.
    std::size_t open_count() const { return clients_.size() - half_closed_count_; }
    /// The number of all connections.
    std::size_t count() const { return clients_.size(); }
    /// The memory that is used for what clients have sent and not yet read, in bytes.
    std::size_t memory_bytes() const { return memory_bytes_; }
    const ClientCounts &counts() const { return counts_; }

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
        /// The body's size of the request in flight.
        std::size_t open_request_bytes = 0;
        /// Bytes behind the request in flight, or those that wait for the next iteration.
        PipelinedInput pipelined;
        bool reading_paused = false;
        /// When bytes were received last.
        Time received_at = 0;
        /// When bytes of a response were written last, or the first ones began to wait.
        Time written_at = 0;
        /// Its part of memory_bytes_.
        std::size_t counted_memory = 0;
        /// The iteration in which a message was handled last, and how many were in it.
        std::uint64_t iteration = 0;
        int messages_in_iteration = 0;
    };

    /// Parses bytes and handles the messages that they complete, until a request is in flight.
    /// @param received_at when the bytes arrived. The client's timeout counts from then, also if
    /// they were parsed only after an earlier request was answered.
    void process_bytes(Time now, Time received_at, ConnectionId id, std::string_view bytes);
    /// Handles the complete message in the client's decoder: a request, health check or error.
    void handle_message(Time now, Time received_at, ConnectionId id, Client &client);
    /// Refuses the request if there is no memory for its body.
    bool has_memory_for(Time now, Client &client);
    void refuse_for_memory(Time now, ConnectionId id);
    /// Refuses a request that isn't complete, and closes its connection.
    void refuse_unfinished(Time now, ConnectionId id);
    /// Whether the client's next message may be handled in this iteration.
    bool may_handle_message(Client &client) const;
    /// Counts the memory that the client's input occupies, and pauses reading until what waits is
    /// handled.
    void input_processed(ConnectionId id);
    void set_reading_paused(ConnectionId id, Client &client, bool paused);
    /// Keeps bytes that arrive while others wait, up to the limits.
    void keep_pipelined(Client &client, Time received_at, std::string_view bytes);
    /// Puts bytes that aren't parsed yet back in front of the pipelined ones.
    void put_back(Client &client, Time received_at, std::string_view bytes);
    /// Discards what a client has sent from now on, once it has its response.
    void ignore_input(Client &client);
    /// Discards the pipelined bytes that were just received with a request or with other messages,
    /// if there is no memory for them. The client is told: by its response, which closes the
    /// connection, or by a 503 if no request is in flight.
    void limit_pipelined(Time now, ConnectionId id);

    /// Updates the client's part of the memory in use.
    void count_memory(Client &client);
    /// Refuses unfinished requests, then closes connections whose client doesn't read, until the
    /// memory in use is within its limit. A request in flight is left alone, unless its client
    /// doesn't read.
    void limit_memory(Time now);
    void refuse_stalled_requests(Time now);
    /// Whether the client uses no more memory than each could if all connections were open. It is
    /// left alone, however much the others use.
    bool within_even_share(const Client &client) const;
    /// Returns the unfinished request to refuse first, if any uses more than its even share.
    std::optional<ConnectionId> stalled_request(Time now) const;
    /// Returns the connection whose response has waited longest for its client to read it.
    std::optional<ConnectionId> unread_response(Time now) const;
    void close_unread(Time now, ConnectionId id);

    void send(Time now, ConnectionId id, ClientResponse response);
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
    ClientLimits limits_;
    ClientCounts counts_;
    std::size_t memory_bytes_ = 0;
    std::size_t half_closed_count_ = 0;
    std::map<ConnectionId, Client> clients_;
    /// Pending timeouts, the next one first.
    std::set<std::pair<Time, ConnectionId>> timeouts_;
    /// Connections whose request was answered and that have pipelined bytes to parse.
    std::set<ConnectionId> answered_with_pipelined_;
    /// Connections that have pipelined bytes to parse in the next iteration.
    std::set<ConnectionId> waiting_for_iteration_;
    std::uint64_t iteration_ = 0;
    bool keep_idle_ = false;
    bool close_after_responses_ = false;
};

} // namespace knotvane::http_gateway
