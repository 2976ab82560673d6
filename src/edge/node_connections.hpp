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
struct Work {
    node_protocol::FrameKind kind;
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
    virtual void connect(LinkId link, const std::string &address) = 0;
    virtual void send(LinkId link, std::string bytes) = 0;
    virtual void close(LinkId link) = 0;
};

// What links tell. `life`: of the store that answered, 0 if none did; `epoch`: with a stale answer.
class Told {
public:
    virtual ~Told() = default;
    virtual void shot_over(Time now, RequestId task, AttemptId shot, NodeId node,
                           AttemptOutcome how, node_protocol::Status status,
                           std::uint64_t incarnation, std::string_view payload,
                           std::uint32_t epoch) = 0;
    virtual void say(std::string text) = 0;
};

class Links {
public:
    // `each`: connections a node at most. A connection that takes longer than `connect` failed; one
    // that stops for `stall` in the middle of a frame is given up; one that is idle for `idle` is
    // closed. Past `most_out` bytes handed over and not yet written, shots wait here.
    Links(Transport &transport, Told &told, std::uint64_t edge, std::uint64_t incarnation,
          std::size_t each, Time connect, Time stall, Time idle, std::size_t most_out);
    ~Links();

    // The nodes that may be sent to, as a whole; links to others close once their last shot is
    // over.
    void nodes(std::map<NodeId, std::string> addresses);
    // Until `until` the outcome may come; then it is timed_out, or unsent where nothing went out.
    void start_attempt(Time now, RequestId task, AttemptId shot, NodeId node,
                       std::shared_ptr<const Work> work, Time until);
    void cancel_attempt(Time now, RequestId task, AttemptId shot);

    // What happened to a connection.
    void up(Time now, LinkId link);
    void failed(Time now, LinkId link);
    void bytes(Time now, LinkId link, std::string_view in);
    void gone(Time now, LinkId link);
    void written(Time now, LinkId link, std::size_t bytes);

    Time next_due() const;
    void tick(Time now);
    std::size_t shots_out() const { return shots_.size(); }
    std::size_t open_links() const { return links_.size(); }

private:
    struct Shot {
        RequestId task;
        AttemptId shot;
        NodeId node;
        LinkId link;
        std::shared_ptr<const Work> work;
        Time until;
        Time sent = 0;
        bool out = false; // handed to the connection
    };
    enum class Stage { connecting, greeting, up };
    struct Link;
    struct Peer {
        std::string address;
        std::vector<LinkId> links;
    };

    Link *choose(Time now, NodeId node);
    void pump(Time now, Link &link);
    void end(Time now, std::uint64_t tag, AttemptOutcome how, node_protocol::Status status,
             std::uint64_t incarnation, std::string_view payload, std::uint32_t epoch = 0);
    void close(Time now, LinkId link, AttemptOutcome sent, AttemptOutcome unsent,
               bool tell_transport);

    Transport &transport_;
    Told &told_;
    std::uint64_t edge_, incarnation_;
    std::size_t each_;
    Time connect_, stall_, idle_;
    std::size_t most_out_;
    std::uint64_t next_link_ = 0, next_tag_ = 0;
    std::map<NodeId, Peer> peers_;
    std::map<LinkId, std::unique_ptr<Link>> links_;
    std::map<std::uint64_t, Shot> shots_; // by tag
    std::map<std::pair<RequestId, AttemptId>, std::uint64_t> tags_;
    std::set<std::pair<Time, std::uint64_t>> until_;
    std::set<std::pair<Time, LinkId>> watch_; // when to look at a link again
    std::vector<std::uint64_t> nowhere_;      // shots at nodes that are not listed
};

} // namespace knotvane::edge
