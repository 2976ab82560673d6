// Connections to nodes, without I/O: one request at a time on each, the last used first of those
// that rested for a moment. Every outcome comes from the event that it names.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "http/decoder.hpp"
#include "http_gateway/transport.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::http_gateway {

// What is asked of a node; the same for each attempt of a request. The head is written anew for
// each attempt.
struct OutboundRequest {
    std::string method, target, trace, mark, body; // mark: the Idempotency-Key, empty for none
};

// What pools tell and ask. `body`: of an answer.
class UpstreamAttemptEvents {
public:
    virtual ~UpstreamAttemptEvents() = default;
    // Asked before an attempt's first byte, and nowhere else: is somebody owed an answer, may the
    // node have it now?
    virtual bool may_send_attempt(Time now, RequestId request, AttemptId attempt,
                                  NodeId node) const = 0;
    virtual void attempt_completed(Time now, RequestId request, AttemptId attempt, NodeId node,
                                   AttemptOutcome how, Time took, std::string body) = 0;
};

class ConnectionPool {
public:
    static constexpr Time unbounded = 3600 * sec; // far past all that is waited for
    // A connection that takes longer than `connect` failed, and so did an answer that stops for as
    // long: both wait for a peer that is there, across the same network. One idle for `idle` is
    // closed by the node, so it is closed here a margin before. `most`: connections to all nodes
    // together.
    ConnectionPool(Transport &transport, UpstreamAttemptEvents &told, ConnectionIds &connection_ids,
                   Time connect, Time idle, std::size_t most);

    // Where a node listens; connections to where it was before are not used any more.
    void node_at(Time now, NodeId node, const std::string &address);
    // A node that drains, or is gone: attempts out there go on; those that have not begun come back
    // as unsent, idle connections are closed.
    void node_drains(Time now, NodeId node);
    void node_gone(Time now, NodeId node);
    // Until `until` its outcome may come; then it is timed_out, or unsent where no byte went out.
    void begin(Time now, RequestId request, AttemptId attempt, NodeId node,
               std::shared_ptr<const OutboundRequest> work, Time until);
    // Closes its connection before it is told.
    void cancel_attempt(Time now, RequestId request, AttemptId attempt);
    // Nobody is owed an answer any more: its attempts whose last byte has not left come back as
    // never run.
    void withdraw(Time now, RequestId request);

    bool owns(ConnectionId conn) const { return links_.contains(conn); }
    void connected(Time now, ConnectionId conn);
    void connect_failed(Time now, ConnectionId conn, bool tried);
    void received(Time now, ConnectionId conn, std::string_view in);
    void disconnected(Time now, ConnectionId conn, CloseReason how);
    void sent(Time now, ConnectionId conn, std::size_t bytes);

    Time next_due() const {
        return due_.empty() ? std::numeric_limits<Time>::max() : due_.begin()->first;
    }
    void tick(Time now);
    std::size_t open() const { return links_.size(); }
    std::size_t attempts_out() const { return attempts_.size(); }
    // Open connections with an attempt on them, by node.
    std::map<NodeId, std::size_t> busy() const;

private:
    using AttemptKey = std::pair<RequestId, AttemptId>;
    struct Link {
        NodeId node;
        std::string address;
        bool up = false, leaving = false;
        bool busy = false;
        AttemptKey attempt{};
        std::size_t to_write = 0; // of the attempt's request, bytes that have not left
        bool handed = false;      // the request was given to the shell
        Time due = 0, rests = 0;  // rests: since its last answer
        http::Decoder in;
    };
    struct Attempt {
        NodeId node;
        ConnectionId conn;
        std::shared_ptr<const OutboundRequest> work;
        Time began, until;
        // Its connection was up, its last byte had left, the first came back; 0: not yet.
        Time connected = 0, written = 0, first = 0;
    };
    struct Peer {
        std::string address;
        std::vector<ConnectionId> idle; // the last used last
        std::size_t links = 0;
    };
    void give(Time now, ConnectionId conn, Link &link);
    void over(Time now, const AttemptKey &key, AttemptOutcome how, std::string body = {});
    void drop(ConnectionId conn, bool close = true);
    bool left(const Attempt &attempt) const;
    void take_back(Time now, const AttemptKey &key);
    void answered(Time now, ConnectionId conn, std::string_view behind);
    void rest(Time now, ConnectionId conn, Link &link);
    void due_at(ConnectionId conn, Link &link, Time at);
    bool make_room();

    Transport &transport_;
    UpstreamAttemptEvents &told_;
    ConnectionIds &connection_ids_;
    Time connect_, idle_;
    std::size_t most_;
    std::map<ConnectionId, Link> links_;
    std::map<NodeId, Peer> peers_;
    std::map<AttemptKey, Attempt> attempts_;
    std::set<std::pair<Time, ConnectionId>> due_;
};

} // namespace knotvane::http_gateway
