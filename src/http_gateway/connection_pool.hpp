/// \file
/// Pool of the connections to nodes, without I/O.
#pragma once

#include <compare>
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
#include "http_gateway/outbound_request.hpp"
#include "http_gateway/transport.hpp"
#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Identifies an attempt of a client's request.
struct AttemptKey {
    RequestId request;
    AttemptId attempt;

    auto operator<=>(const AttemptKey &) const = default;
};

/// How an attempt ended.
struct CompletedAttempt {
    AttemptKey key;
    NodeId node;
    AttemptOutcome outcome = AttemptOutcome::error;
    /// From the start of the attempt to its completion, in nanoseconds.
    Time duration = 0;
    Time completed_at = 0;
    /// The response's body if the outcome is answered; otherwise empty.
    std::string body;
};

/// Receives the pool's attempt events. Implemented by the pool's owner.
class UpstreamAttemptEvents {
public:
    virtual ~UpstreamAttemptEvents() = default;

    /// Called just before the first byte of an attempt's request is sent, and at no other time. The
    /// connection may have been established long after the attempt was decided, so the request may
    /// have ended meanwhile. If it returns false, the attempt completes as not_sent.
    virtual bool may_send_attempt(Time now, const AttemptKey &key) const = 0;

    /// Called exactly once for each started attempt.
    virtual void attempt_completed(CompletedAttempt attempt) = 0;
};

struct ConnectionPoolOptions {
    /// Timeout for establishing a connection, and for the pause between two pieces of a response
    /// that has begun: both bound the wait for a peer that is reachable over the same network. In
    /// nanoseconds.
    Time connect_timeout = 0;
    /// Nodes close a connection that has been idle for this long, in nanoseconds.
    Time node_idle_timeout = 0;
    /// Limit on the open connections to all nodes together; at least 1.
    std::size_t max_connections = 1;
    /// Limit on the memory of all responses that are incomplete, in bytes.
    std::size_t max_response_memory = std::numeric_limits<std::size_t>::max();
};

/// Connections to nodes, each with at most one request in flight. An attempt uses the node's most
/// recently used idle connection or opens a new one. The outcome of each attempt reports the
/// network event that ended it. Limits the memory that the responses of all nodes use together.
class ConnectionPool {
public:
    /// Stands for "no timeout": longer than any wait in the gateway.
    static constexpr Time unbounded_timeout = 3600 * sec;

    ConnectionPool(Transport &transport, UpstreamAttemptEvents &events,
                   ConnectionIds &connection_ids, const ConnectionPoolOptions &options);

    /// Sets the "host:port" at which a node listens. If it changes, connections to the former
    /// address are drained and not reused.
    void set_address(Time now, NodeId node, const std::string &address);
    /// Closes the node's idle connections. Attempts whose request was sent continue; attempts that
    /// still wait for a connection complete as not_sent.
    void drain_node(Time now, NodeId node);
    /// Drains a node that is no longer in the endpoint list and forgets its address.
    void remove_node(Time now, NodeId node);

    /// Starts an attempt. It completes at `timeout_at` at the latest.
    void start_attempt(Time now, const AttemptKey &key, NodeId node,
                       std::shared_ptr<const OutboundRequest> request, Time timeout_at);
    /// Closes the attempt's connection. The attempt completes as canceled, or as not_sent if its
    /// request was not fully written to the socket. Does nothing if the attempt is not in flight.
    void cancel_attempt(Time now, const AttemptKey &key);
    /// Cancels a request's attempts whose bytes were not fully written to the socket; they
    /// complete as not_sent.
    void cancel_unsent(Time now, RequestId request);

    /// Whether the connection belongs to this pool. The events below are ignored for any other.
    bool owns(ConnectionId id) const { return connections_.contains(id); }
    void connected(Time now, ConnectionId id);
    /// @param attempted whether a connection was attempted over the network. False if no descriptor
    /// was available, which says nothing about the node.
    void connect_failed(Time now, ConnectionId id, bool attempted);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id, CloseReason reason);
    /// @param bytes bytes that the socket has accepted since the last call.
    void sent(Time now, ConnectionId id, std::size_t bytes);

    /// @return when handle_timeouts must be called next; the largest Time if no timeout is set.
    Time next_due() const {
        return deadlines_.empty() ? std::numeric_limits<Time>::max() : deadlines_.begin()->first;
    }
    /// Closes connections and completes attempts that have timed out.
    void handle_timeouts(Time now);

    /// The owner has passed on the bodies of all completed attempts. Resumes reading from the nodes
    /// if it was paused because of them.
    void bodies_delivered();

    /// The memory of incomplete responses and of bodies that aren't delivered yet, in bytes.
    std::size_t response_memory_bytes() const { return incomplete_bytes_ + undelivered_bytes_; }
    /// How many incomplete responses were given up because the memory was used up, since the start.
    std::uint64_t responses_ended_for_memory() const { return responses_ended_for_memory_; }

    std::size_t connection_count() const { return connections_.size(); }
    std::size_t attempts_in_flight() const { return attempts_.size(); }
    /// Returns the number of connections with an attempt in flight, by node.
    std::map<NodeId, std::size_t> busy_connections() const;

private:
    struct Connection {
        Connection(NodeId node_id, std::string node_address, const AttemptKey &first_attempt);

        /// Whether the attempt's request was written to the socket to its last byte.
        bool request_sent() const { return request_submitted && unsent_bytes == 0; }

        NodeId node;
        std::string address;
        bool connected = false;
        /// Whether the connection is closed, not reused, once its attempt completes.
        bool close_after_attempt = false;
        /// Whether an attempt is in flight on it.
        bool busy = true;
        /// Valid only while busy.
        AttemptKey attempt;
        /// Whether the attempt's request was passed to the transport.
        bool request_submitted = false;
        /// Bytes of that request that are not yet written to the socket.
        std::size_t unsent_bytes = 0;
        /// When the connection times out: the key of its entry in deadlines_.
        Time deadline = 0;
        Time idle_since = 0;
        /// Its part of incomplete_bytes_.
        std::size_t counted_memory = 0;
        http::Decoder decoder;
    };

    struct Attempt {
        NodeId node;
        ConnectionId connection;
        std::shared_ptr<const OutboundRequest> request;
        Time started_at = 0;
        Time timeout_at = 0;
        // Recorded for the trace; 0 if it has not happened yet.
        Time connected_at = 0;
        Time sent_at = 0;
        Time first_byte_at = 0;
    };

    struct Node {
        std::string address;
        /// Idle connections, the most recently used one last.
        std::vector<ConnectionId> idle;
        std::size_t connection_count = 0;
    };

    /// Removes the idle connection to use next from the idle ones and returns it; id 0 if there is
    /// none.
    ConnectionId take_idle_connection(Time now, Node &node);
    /// Closes an idle connection if the limit is reached. Returns whether one more may be opened.
    bool ensure_capacity();
    void open_connection(Time now, const AttemptKey &key, Node &node, Attempt &attempt);
    /// Passes the attempt's request to the transport, on an established connection.
    void submit_request(Time now, ConnectionId id, Connection &connection);
    /// Completes the attempt after its response has become complete or invalid.
    /// @param has_trailing_bytes whether bytes followed the response.
    void handle_response_end(Time now, ConnectionId id, bool has_trailing_bytes);
    void make_idle(Time now, ConnectionId id, Connection &connection);
    /// Updates the connection's part of the memory of incomplete responses.
    void count_memory(Connection &connection, std::size_t bytes);
    /// Gives up incomplete responses until their memory is within its limit. Their attempts
    /// complete as errors: their requests were sent, so the nodes may have executed them.
    void limit_response_memory(Time now);
    /// Returns the connection whose incomplete response is to be given up first, if any uses more
    /// than each could if all connections were open.
    std::optional<ConnectionId> costliest_response(Time now) const;
    /// Counts a body that is passed to the owner, and pauses reading if too many wait there.
    void add_undelivered(const std::string &body);
    void set_reading_paused(bool paused);
    void complete_attempt(Time now, const AttemptKey &key, AttemptOutcome outcome,
                          std::string body = {});
    /// Closes the attempt's connection before the last byte of its request is written, and
    /// completes the attempt as not_sent: the node never gets the whole request, so it can't
    /// execute it.
    void complete_not_sent(Time now, const AttemptKey &key);
    /// Removes a connection that the other side has closed.
    void remove_connection(ConnectionId id);
    void close(ConnectionId id);
    void set_deadline(ConnectionId id, Connection &connection, Time deadline);
    void trace_attempt(Time now, const AttemptKey &key, const Attempt &attempt,
                       AttemptOutcome outcome);
    /// Writes to the trace why a connection's response was not accepted.
    void trace_error(ConnectionId id, const char *fault);

    Transport &transport_;
    UpstreamAttemptEvents &events_;
    ConnectionIds &connection_ids_;
    Time connect_timeout_;
    Time idle_timeout_;
    std::size_t max_connections_;
    std::size_t max_response_memory_;
    /// The memory of incomplete responses.
    std::size_t incomplete_bytes_ = 0;
    /// The memory of bodies that the owner has got since bodies_delivered was called last.
    std::size_t undelivered_bytes_ = 0;
    bool reading_paused_ = false;
    std::uint64_t responses_ended_for_memory_ = 0;
    std::map<ConnectionId, Connection> connections_;
    std::map<NodeId, Node> nodes_;
    std::map<AttemptKey, Attempt> attempts_;
    /// The deadline of each connection, earliest first.
    std::set<std::pair<Time, ConnectionId>> deadlines_;
};

} // namespace knotvane::http_gateway
