// Connections to nodes, without I/O: which shot goes on which, and what became of it. Every outcome
// that the decisions know comes from the event it names.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "edge/ids.hpp"
#include "node_protocol/frame.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

// What is asked of a node; the same for each shot of a task.
struct NodeRequest {
    node_protocol::Kind kind;
    VolumeId volume;
    ShardId shard;
    std::uint64_t offset;
    std::uint32_t length;
    double units;
    bool durable;
    std::uint64_t number; // the task's
    bool deduplicated;    // the number is a mark: repeats are dropped
    Time not_after;       // not to be done later, by the edge's clock; 0: whenever
    std::string payload;
    std::uint32_t epoch = 0; // of the volume, when its request began
    bool cut = false;        // the volume is a snapshot or a clone
};

// What links ask of the shell.
class Transport {
public:
    virtual ~Transport() = default;
    virtual void connect(NodeConnectionId link, const std::string &address) = 0;
    virtual void send(NodeConnectionId link, std::string bytes) = 0;
    virtual void close(NodeConnectionId link) = 0;
};

// What links tell. `life`: of the store that answered, 0 if none did; `epoch`: with a stale answer.
class NodeConnectionEvents {
public:
    virtual ~NodeConnectionEvents() = default;
    virtual void shot_over(Time now, RequestId task, AttemptId shot, NodeId node,
                           AttemptOutcome how, node_protocol::Status status,
                           std::uint64_t incarnation, std::string_view payload,
                           std::uint32_t epoch) = 0;
    virtual void log_event(std::string text) = 0;
};

/// Limits of the connections to nodes.
struct NodeConnectionConfig {
    /// Connections to one node at most; 0 reads as 1.
    std::size_t max_per_node = 1;
    /// A connection that is not established and greeted within this time has failed.
    Time connect_timeout = sec;
    /// A connection that stops for this long in the middle of a frame is closed.
    Time frame_stall_timeout = sec;
    /// A connection without attempts and traffic for this long is closed.
    Time idle_timeout = 60 * sec;
    /// Bytes handed to a connection and not yet sent, past which attempts wait here.
    std::size_t max_unsent_bytes = 1 << 20;
};

class NodeConnections {
public:
    NodeConnections(Transport &transport, NodeConnectionEvents &told, std::uint64_t edge,
                    std::uint64_t incarnation, const NodeConnectionConfig &config);
    ~NodeConnections();

    // The nodes that may be sent to, as a whole; links to others close once their last shot is
    // over.
    void nodes(std::map<NodeId, std::string> addresses);
    // Until `until` the outcome may come; then it is timed_out, or unsent where nothing went out.
    void start_attempt(Time now, RequestId task, AttemptId shot, NodeId node,
                       std::shared_ptr<const NodeRequest> work, Time until);
    void cancel_attempt(Time now, RequestId task, AttemptId shot);

    // What happened to a connection.
    void up(Time now, NodeConnectionId link);
    void failed(Time now, NodeConnectionId link);
    void bytes(Time now, NodeConnectionId link, std::string_view in);
    void gone(Time now, NodeConnectionId link);
    void written(Time now, NodeConnectionId link, std::size_t bytes);

    Time next_due() const;
    void tick(Time now);

private:
    struct Shot {
        RequestId task;
        AttemptId shot;
        NodeId node;
        NodeConnectionId link;
        std::shared_ptr<const NodeRequest> work;
        Time until;
        Time sent = 0;
        bool out = false; // handed to the connection
    };
    enum class Stage { connecting, greeting, up };
    struct Link;
    struct Peer {
        std::string address;
        std::vector<NodeConnectionId> links;
    };

    Link *choose(Time now, NodeId node);
    void pump(Time now, Link &link);
    void end(Time now, std::uint64_t tag, AttemptOutcome how, node_protocol::Status status,
             std::uint64_t incarnation, std::string_view payload, std::uint32_t epoch = 0);
    void close(Time now, NodeConnectionId link, AttemptOutcome sent, AttemptOutcome unsent,
               bool tell_transport);

    Transport &transport_;
    NodeConnectionEvents &told_;
    std::uint64_t edge_, incarnation_;
    NodeConnectionConfig config_;
    std::uint64_t next_link_ = 0, next_tag_ = 0;
    std::map<NodeId, Peer> peers_;
    std::map<NodeConnectionId, std::unique_ptr<Link>> links_;
    std::map<std::uint64_t, Shot> shots_; // by tag
    std::map<std::pair<RequestId, AttemptId>, std::uint64_t> tags_;
    std::set<std::pair<Time, std::uint64_t>> until_;
    std::set<std::pair<Time, NodeConnectionId>> watch_; // when to look at a link again
    std::vector<std::uint64_t> nowhere_;                // shots at nodes that are not listed
};

} // namespace knotvane::edge
