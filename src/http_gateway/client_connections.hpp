/// \file
/// Clients' connections, without I/O.
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

/// What clients do. Each request received is answered once, by its connection, unless it is
/// canceled before.
class ClientRequestEvents {
public:
    virtual ~ClientRequestEvents() = default;

    /// @param info all but the request's id.
    virtual void request_received(Time now, ConnectionId client, RequestInfo info,
                                  std::shared_ptr<const OutboundRequest> outbound) = 0;

    /// The client of a request without an answer disconnected.
    virtual void request_canceled(Time now, ConnectionId client) = 0;

    /// Whether health checks are answered that this gateway serves.
    virtual bool serving() const = 0;
};

/// Requests in, one at a time on each connection, and one response to each. What can't be a request
/// is answered with an error at once and its connection is closed. Bounds what clients can occupy:
/// connections, memory and time.
class ClientConnections {
public:
    /// @param parser reads the requests.
    /// @param max_connections at once; 1 at least.
    ClientConnections(Transport &transport, ClientRequestEvents &events,
                      ConnectionIds &connection_ids, RequestParser parser,
                      std::size_t max_connections);

    bool owns(ConnectionId id) const { return clients_.contains(id); }

    /// A connection was accepted. If there are too many, the least useful one is closed.
    /// @return nothing if each has a request in flight: the new one isn't taken.
    std::optional<ConnectionId> connected(Time now);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id);
    void sent(Time now, ConnectionId id, std::size_t bytes);

    /// Answers with a node's body.
    void respond(Time now, ConnectionId id, const std::string &body);
    /// Answers that nothing was done and that the client may ask again.
    /// @param retry_after when; 0 leaves it to the client.
    void reject(Time now, ConnectionId id, Time retry_after);
    /// Answers that the request may have been executed.
    void fail(Time now, ConnectionId id);

    /// From now on connections without a request aren't closed for being idle.
    void keep_idle() { keep_idle_ = true; }
    /// From now on an answer is its connection's last, unless a request waits behind it.
    void close_after_responses() { close_after_responses_ = true; }
    /// Ends every connection without a request; what is received on it after that is ignored.
    void close_idle(Time now);

    /// Reads on where bytes came behind a request that has its answer now. Not to be called while
    /// the scheduler decides.
    void read_pipelined(Time now);
    bool has_pipelined() const { return !answered_with_pipelined_.empty(); }

    /// Connections, without those that only wait for the client's close.
    std::size_t open_count() const { return clients_.size() - half_closed_count_; }
    /// All connections.
    std::size_t count() const { return clients_.size(); }

    /// When handle_timeouts is due next; the largest Time if nothing is.
    Time next_due() const {
        return due_.empty() ? std::numeric_limits<Time>::max() : due_.begin()->first;
    }
    /// Closes connections whose time is over.
    void handle_timeouts(Time now);

private:
    // Heads here are some hundred bytes; bodies 64 KiB at most, by the protocol.
    static constexpr std::size_t max_head_bytes = 8 << 10;
    static constexpr std::size_t max_body_bytes = 64 << 10;

    struct PipelinedBytes {
        Time received_at;
        std::string bytes;
    };

    struct Client {
        http::Decoder decoder{http::MessageKind::request, max_head_bytes, max_body_bytes};
        /// When its time is over; see next_due.
        Time due = 0;
        /// When it connected or was last answered.
        Time idle_since = 0;
        bool has_sent_bytes = false;
        bool request_in_flight = false;
        bool has_been_answered = false;
        /// The next answer ends the connection.
        bool close_after_response = false;
        /// No further requests are read.
        bool ignores_input = false;
        /// Our side has ended, the client's hasn't.
        bool half_closed = false;
        /// Bytes of answers that have not left.
        std::size_t unsent_bytes = 0;
        /// Bytes received after our end.
        std::size_t discarded_bytes = 0;
        /// What was received while a request was in flight.
        std::deque<PipelinedBytes> pipelined;
        std::size_t pipelined_bytes = 0;
    };

    /// @param received_at of these bytes: a client's timeout starts there, also if they waited
    /// behind another request.
    void read(Time now, Time received_at, ConnectionId id, std::string_view bytes);
    /// Handles the whole message in the client's decoder.
    void handle_message(Time now, Time received_at, ConnectionId id, Client &client);
    void keep_pipelined(Client &client, Time received_at, std::string_view bytes);

    void send(Time now, ConnectionId id, unsigned status, const std::string &headers,
              const std::string &body);
    void send_error(Time now, ConnectionId id, const RequestError &error);

    void set_due(ConnectionId id, Client &client, Time due);
    /// Forgets a connection; returns whether it had a request in flight.
    bool forget(ConnectionId id);
    void close(ConnectionId id);
    /// Ends our side once all that is owed has left. What is received after that is discarded until
    /// the client's close, or for a short while.
    void finish_sending(Time now, ConnectionId id, Client &client);
    static int eviction_rank(Time now, const Client &client);
    void evict_one(Time now);

    Transport &transport_;
    ClientRequestEvents &events_;
    ConnectionIds &connection_ids_;
    RequestParser parser_;
    std::size_t max_connections_;
    std::size_t half_closed_count_ = 0;
    std::map<ConnectionId, Client> clients_;
    std::set<std::pair<Time, ConnectionId>> due_;
    std::set<ConnectionId> answered_with_pipelined_;
    bool keep_idle_ = false;
    bool close_after_responses_ = false;
};

} // namespace knotvane::http_gateway
