/// \file
/// Connections to nodes, without I/O: assigns attempts to connections and determines their
/// outcomes. An outcome is only reported if the event that it names has happened.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/config.hpp"
#include "edge/ids.hpp"
#include "edge/node_request.hpp"
#include "node_protocol/frame.hpp"
#include "scheduling/events.hpp"

namespace knotvane::edge {

/// Performs the I/O of the connections to nodes. After close, no event of that connection may
/// follow.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void connect(NodeConnectionId connection, const std::string &address) = 0;
    virtual void send(NodeConnectionId connection, std::string bytes) = 0;
    virtual void close(NodeConnectionId connection) = 0;
};

/// A node's answer to an attempt; default values if there was none.
struct NodeAnswer {
    node_protocol::Status status{};
    /// Incarnation of the store that answered; 0 if none did.
    std::uint64_t store_incarnation = 0;
    std::string payload;
    /// The epoch in force, if the status is stale_epoch.
    std::uint32_t epoch = 0;
};

/// The end of an attempt.
struct AttemptCompletion {
    RequestId request;
    AttemptId attempt;
    NodeId node;
    AttemptOutcome outcome = AttemptOutcome::not_sent;
    NodeAnswer answer;
};

/// Receives events from NodeConnections. Implementations must not call back into it.
class NodeConnectionEvents {
public:
    virtual ~NodeConnectionEvents() = default;
    virtual void attempt_completed(AttemptCompletion completion) = 0;
    virtual void log_event(std::string text) = 0;
};

/// An attempt to send.
struct NodeAttempt {
    RequestId request;
    AttemptId attempt;
    NodeId node;
    std::shared_ptr<const NodeRequest> node_request;
    /// If there is no answer by then, the attempt completes as timed_out, or as not_sent if nothing
    /// of it was sent.
    Time deadline = 0;
};

/// The connections of one edge to all nodes. Each attempt that is started completes exactly once.
class NodeConnections {
public:
    /// @param transport must outlive this object, as must `events`.
    /// @param edge_id sent to nodes, with `incarnation`, to identify this edge.
    NodeConnections(Transport &transport, NodeConnectionEvents &events, std::uint64_t edge_id,
                    std::uint64_t incarnation, const NodeConnectionConfig &config);
    ~NodeConnections();

    /// Replaces the list of nodes that attempts may be sent to. Connections to other nodes or
    /// addresses close after their last attempt.
    void set_nodes(const std::map<NodeId, std::string> &addresses);
    void start_attempt(Time now, NodeAttempt attempt);
    /// Has no effect if the attempt has completed already.
    void cancel_attempt(RequestId request, AttemptId attempt);

    // Events of a connection. They are ignored if the connection is unknown.
    void connected(Time now, NodeConnectionId id);
    void connect_failed(NodeConnectionId id);
    void received(Time now, NodeConnectionId id, std::string_view bytes);
    void disconnected(NodeConnectionId id);
    /// The transport has sent `bytes` of the bytes that it was given.
    void sent(Time now, NodeConnectionId id, std::size_t bytes);

    /// @return when tick must be called next; the maximum of Time if never.
    Time next_due() const;
    void tick(Time now);

private:
    /// Identifies an attempt in frames.
    using Tag = std::uint64_t;

    struct Attempt {
        NodeAttempt request;
        NodeConnectionId connection; // none if the node isn't listed
        Time sent_at = 0;
        bool sent = false; // handed to the transport
    };
    enum class Stage { connecting, greeting, established };
    struct Connection;
    struct Node {
        std::string address; // empty once it isn't listed
        std::vector<NodeConnectionId> connections;
    };
    /// The outcomes of attempts whose connection is closed or lost.
    struct LossOutcomes {
        AttemptOutcome sent;
        AttemptOutcome not_sent;
    };

    /// Outcomes for a connection that is lost after it was established. No attempt is sent before
    /// the node's welcome; its outcome must not be `reset`, which says that it may have run.
    static constexpr LossOutcomes lost{AttemptOutcome::reset, AttemptOutcome::not_sent};

    Connection *find(NodeConnectionId id);
    Connection *choose(Time now, NodeId node);
    Connection *open(Time now, NodeId node);
    void send_pending(Time now, Connection &connection);
    std::string encode(const Connection &connection, Tag tag, const NodeRequest &request) const;
    void complete(Tag tag, AttemptOutcome outcome, NodeAnswer answer = {});
    void drain(Connection &connection);
    void close(NodeConnectionId id, LossOutcomes outcomes);
    void remove(NodeConnectionId id, LossOutcomes outcomes);
    void schedule_check(Connection &connection, Time at);
    void check(Time now, Connection &connection);
    void expire_attempts(Time now);

    Transport &transport_;
    NodeConnectionEvents &events_;
    std::uint64_t edge_id_;
    std::uint64_t incarnation_;
    NodeConnectionConfig config_;
    std::uint64_t last_connection_ = 0;
    Tag last_tag_ = 0;
    std::map<NodeId, Node> nodes_;
    std::map<NodeConnectionId, std::unique_ptr<Connection>> connections_;
    std::map<Tag, Attempt> attempts_;
    std::map<std::pair<RequestId, AttemptId>, Tag> tags_;
    std::set<std::pair<Time, Tag>> deadlines_;
    std::set<std::pair<Time, NodeConnectionId>> checks_; // when to look at a connection again
    std::vector<Tag> unlisted_;                          // attempts at nodes that aren't listed
};

} // namespace knotvane::edge
