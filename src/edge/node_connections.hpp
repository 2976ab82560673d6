/// \file
/// Connections to nodes, without I/O: which attempt goes on which, and what became of it. Every
/// outcome that the scheduler is told comes from the event that it names.
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

/// The sockets to nodes. Closing is final: no event of that connection may follow.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void connect(NodeConnectionId connection, const std::string &address) = 0;
    virtual void send(NodeConnectionId connection, std::string bytes) = 0;
    virtual void close(NodeConnectionId connection) = 0;
};

/// What a node answered to an attempt; as default where it didn't.
struct NodeAnswer {
    node_protocol::Status status{};
    /// Of the store that answered; 0 if none did.
    std::uint64_t store_incarnation = 0;
    std::string payload;
    /// With a stale answer: the epoch in force.
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

/// What the connections report. No call may call the connections back.
class NodeConnectionEvents {
public:
    virtual ~NodeConnectionEvents() = default;
    virtual void attempt_completed(AttemptCompletion completion) = 0;
    virtual void log_event(std::string text) = 0;
};

/// An attempt to be sent.
struct NodeAttempt {
    RequestId request;
    AttemptId attempt;
    NodeId node;
    std::shared_ptr<const NodeRequest> node_request;
    /// Without an answer until then it completes as timed_out, or not_sent if nothing went out.
    Time deadline = 0;
};

/// The connections of one edge to all nodes. Each attempt that is started completes exactly once.
class NodeConnections {
public:
    /// @param transport and events must outlive this.
    /// @param edge_id and incarnation are what nodes are told of this edge.
    NodeConnections(Transport &transport, NodeConnectionEvents &events, std::uint64_t edge_id,
                    std::uint64_t incarnation, const NodeConnectionConfig &config);
    ~NodeConnections();

    /// The nodes that may be sent to, all of them; connections to others close after their last
    /// attempt.
    void set_nodes(const std::map<NodeId, std::string> &addresses);
    void start_attempt(Time now, NodeAttempt attempt);
    /// Nothing happens if the attempt has completed.
    void cancel_attempt(RequestId request, AttemptId attempt);

    // Events of a connection; those of one that is unknown are ignored.
    void connected(Time now, NodeConnectionId id);
    void connect_failed(NodeConnectionId id);
    void received(Time now, NodeConnectionId id, std::string_view bytes);
    void disconnected(NodeConnectionId id);
    /// So many of the bytes handed to the transport have left.
    void sent(Time now, NodeConnectionId id, std::size_t bytes);

    /// When tick has something to do; the largest Time if never.
    Time next_due() const;
    void tick(Time now);

private:
    /// Names an attempt on the wire.
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
    /// How the attempts of a connection that goes away complete.
    struct LossOutcomes {
        AttemptOutcome sent;
        AttemptOutcome not_sent;
    };

    /// The connection is lost after it was established. Before the node's welcome no attempt is
    /// sent: `reset` would claim that it may have run.
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
