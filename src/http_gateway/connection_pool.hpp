/// \file
/// Upstream connections, without I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
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

/// An attempt of a client's request.
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
    /// From its start to its end.
    Time duration = 0;
    Time completed_at = 0;
    /// The response's, if it was answered.
    std::string body;
};

/// What attempts do, and what is asked of them.
class UpstreamAttemptEvents {
public:
    virtual ~UpstreamAttemptEvents() = default;

    /// Asked before an attempt's first byte is sent, and nowhere else: a connection may have come
    /// up late. An attempt that may not be sent completes as not_sent.
    virtual bool may_send_attempt(Time now, const AttemptKey &key) const = 0;

    /// Each attempt that was started completes once.
    virtual void attempt_completed(CompletedAttempt attempt) = 0;
};

struct ConnectionPoolOptions {
    /// A connection that isn't up after this has failed, and so has a response that stops for as
    /// long: both wait for a peer that is there, across the same network. Nanoseconds.
    Time connect_timeout = 0;
    /// Nodes close a connection that is idle for so long. Nanoseconds.
    Time node_idle_timeout = 0;
    /// Connections to all nodes together; 1 at least.
    std::size_t max_connections = 1;
};

/// Connections to nodes, one request at a time on each. An attempt takes the idle connection that
/// was used last, or a new one. Each outcome comes from the event that it names.
class ConnectionPool {
public:
    /// A timeout past all that is waited for.
    static constexpr Time unbounded_timeout = 3600 * sec;

    ConnectionPool(Transport &transport, UpstreamAttemptEvents &events,
                   ConnectionIds &connection_ids, const ConnectionPoolOptions &options);

    /// Where a node listens; connections to its former address aren't used any more.
    void set_address(Time now, NodeId node, const std::string &address);
    /// Attempts in flight at the node go on; those not sent complete as not_sent and idle
    /// connections are closed.
    void drain_node(Time now, NodeId node);
    /// Drains a node that isn't in the endpoint list any more.
    void remove_node(Time now, NodeId node);

    /// Starts an attempt; it completes, at `timeout_at` at the latest.
    void start_attempt(Time now, const AttemptKey &key, NodeId node,
                       std::shared_ptr<const OutboundRequest> request, Time timeout_at);
    /// Closes the attempt's connection; it completes as canceled, or as not_sent if its request
    /// hasn't left.
    void cancel_attempt(Time now, const AttemptKey &key);
    /// Completes those of a request's attempts as not_sent whose request hasn't left.
    void cancel_unsent(Time now, RequestId request);

    bool owns(ConnectionId id) const { return connections_.contains(id); }
    void connected(Time now, ConnectionId id);
    /// @param connect_attempted the attempt to connect left this machine.
    void connect_failed(Time now, ConnectionId id, bool connect_attempted);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id, CloseReason reason);
    void sent(Time now, ConnectionId id, std::size_t bytes);

    /// When handle_timeouts is due next; the largest Time if nothing is.
    Time next_due() const {
        return due_.empty() ? std::numeric_limits<Time>::max() : due_.begin()->first;
    }
    /// Ends connections and attempts whose time is over.
    void handle_timeouts(Time now);

    std::size_t connection_count() const { return connections_.size(); }
    std::size_t attempts_in_flight() const { return attempts_.size(); }
    /// Connections with an attempt on them, by node.
    std::map<NodeId, std::size_t> busy_connections() const;

private:
    struct Connection {
        Connection(NodeId node_id, std::string node_address, const AttemptKey &first_attempt);

        /// Whether the last byte of its attempt's request has left.
        bool request_sent() const { return request_handed && unsent_bytes == 0; }

        NodeId node;
        std::string address;
        bool connected = false;
        /// Closed after the attempt on it.
        bool retired = false;
        bool busy = true;
        /// Read if busy.
        AttemptKey attempt;
        /// Its attempt's request was given to the transport.
        bool request_handed = false;
        /// Of that, bytes that have not left.
        std::size_t unsent_bytes = 0;
        /// When its time is over; see next_due.
        Time due = 0;
        Time idle_since = 0;
        http::Decoder decoder;
    };

    struct Attempt {
        NodeId node;
        ConnectionId connection;
        std::shared_ptr<const OutboundRequest> request;
        Time started_at = 0;
        Time timeout_at = 0;
        // For the trace; 0 is not yet.
        Time connected_at = 0;
        Time sent_at = 0;
        Time first_byte_at = 0;
    };

    struct Node {
        std::string address;
        /// The last used last.
        std::vector<ConnectionId> idle;
        std::size_t connection_count = 0;
    };

    /// Returns the idle connection to use next, taken out of the idle ones; id 0 for none.
    ConnectionId take_idle(Time now, Node &node);
    bool make_room();
    void open_connection(Time now, const AttemptKey &key, Node &node, Attempt &attempt);
    /// Hands the request of its attempt to a connection that is up.
    void hand_request(Time now, ConnectionId id, Connection &connection);
    void response_ended(Time now, ConnectionId id, bool bytes_behind);
    void make_idle(Time now, ConnectionId id, Connection &connection);
    void complete(Time now, const AttemptKey &key, AttemptOutcome outcome, std::string body = {});
    /// Ends an attempt whose last byte has not left, and so never will: it was not executed.
    void complete_unsent(Time now, const AttemptKey &key);
    /// Forgets a connection that the other side has closed.
    void forget(ConnectionId id);
    void close(ConnectionId id);
    void set_due(ConnectionId id, Connection &connection, Time due);
    void trace_attempt(Time now, const AttemptKey &key, const Attempt &attempt,
                       AttemptOutcome outcome);

    Transport &transport_;
    UpstreamAttemptEvents &events_;
    ConnectionIds &connection_ids_;
    Time connect_timeout_;
    Time idle_timeout_;
    std::size_t max_connections_;
    std::map<ConnectionId, Connection> connections_;
    std::map<NodeId, Node> nodes_;
    std::map<AttemptKey, Attempt> attempts_;
    std::set<std::pair<Time, ConnectionId>> due_;
};

} // namespace knotvane::http_gateway
