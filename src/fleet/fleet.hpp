// A whole gateway in one process, on loopback: nodes and edges, each with a loop and a thread of
// its own, and the node lists that the edges read. What `knotvane local` and `knotvane day` run.
#pragma once

#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "edge/endpoint_file.hpp"
#include "edge/server.hpp"
#include "loop/loop.hpp"
#include "node/server.hpp"
#include "planner/desired_state_files.hpp"

namespace knotvane::fleet {

// A loop on a thread of its own; what is made on it is destroyed on it.
class Worker {
public:
    Worker();
    ~Worker();
    loop::Loop &loop() { return loop_; }
    // Runs a call on the loop's thread and waits for it. Throws what the call throws.
    void run(const std::function<void()> &call);

private:
    loop::Loop loop_;
    std::thread thread_;
};

// A program of its own beside this one, so that it can be killed.
class Process {
public:
    // Starts it; its errors go where ours go. Throws std::runtime_error.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    // Kills it and waits for its end.
    ~Process();
    Process(const Process &) = delete;
    void signal(int number) const;
    // Its exit code, once it has ended; -1 before.
    int ended();

private:
    int pid_ = -1, code_ = -1;
};

// The sections of some kinds out of a settings text, headers included.
std::string sections(const std::string &text, std::initializer_list<std::string_view> kinds);

// Embedded defaults. The edge's text needs its id, how many there are, the address to listen on,
// the list's path (with a planner, where the last plan is kept) and the number of shards.
std::string edge_settings(std::uint64_t id, std::uint64_t edges, const std::string &listen,
                          const std::string &list, std::uint64_t shards,
                          const std::string &scheduling, const std::string &planner = "");
std::string node_settings(std::uint64_t id, std::uint64_t shard, const std::string &listen,
                          const std::string &store, const std::string &service, Time age = 0,
                          const std::string &planner = "", bool sync = false);
// Volumes, plans, workloads and rules for an edge; how a node serves. Both can be replaced by a
// day's own.
std::string default_scheduling();
std::string default_service();

using MakeScheduler =
    std::function<std::unique_ptr<Scheduler>(SchedulerActions &, std::uint64_t seed)>;

class Fleet {
    struct NodeHost {
        std::unique_ptr<Worker> worker = std::make_unique<Worker>();
        std::unique_ptr<node::Server> server;
        NodeId id;
        ShardId shard;
        std::string address, store;
    };
    struct EdgeHost {
        std::unique_ptr<Worker> worker = std::make_unique<Worker>();
        std::unique_ptr<edge::Server> server;
        std::string address;
    };

public:
    // `dir` holds stores and lists. `ports`: the first edge listens there, the next ones above; 0:
    // free ones. Throws std::runtime_error, settings' faults among them. `planner`: nodes, plans
    // and volumes come from a planner, a process of its own. `sync`: nodes make flushes durable on
    // the disk, not only against the end of their process.
    Fleet(std::string dir, std::uint64_t nodes, std::uint64_t edges, std::uint16_t ports,
          std::string scheduling, std::string service, MakeScheduler make, bool planner = false,
          bool sync = false);
    ~Fleet();

    // Where edge and node can be reached; an edge's list may name other addresses (a relay's).
    const std::string &edge_address(std::size_t edge) const { return edges_[edge]->address; }
    const std::string &node_address(std::size_t node) const { return nodes_[node]->address; }
    std::size_t edges() const { return edges_.size(); }
    std::size_t nodes() const { return nodes_.size(); }
    NodeId node_id(std::size_t node) const { return nodes_[node]->id; }
    ShardId node_shard(std::size_t node) const { return nodes_[node]->shard; }
    // Gives the address that an edge is told of a node. Set before start.
    std::function<std::string(std::size_t edge, NodeId node, const std::string &address)>
        address_for;
    // Writes the lists and starts the edges; with a planner waits until they have heard of every
    // node.
    void start();

    // ---- With a planner. Empty without one.
    const std::string &planner_address() const { return planner_address_; }
    // An edge has taken news of nodes; called on the edge's thread. Set before start.
    std::function<void(std::size_t edge, const edge::EndpointList &list)> on_told;
    // Ends the planner's process without a word, or stops and wakes it; and starts it again.
    void kill_planner();
    void pause_planner(bool on) const;
    void start_planner(bool first = false);
    // The operator's word. False where the planner does not answer or does not do it.
    bool drain(NodeId node, bool on) const;
    // The fleet's file without a node, or with the settings changed as the call likes.
    void change_settings(const std::function<void(planner::DesiredState &)> &call);

    // A node as the lists name it, from the next tell on.
    void list_as(NodeId node, NodeState state, Time started);
    // Writes the list of one edge, or of all; a new version each time.
    void tell(std::size_t edge);
    void tell_all();
    const edge::EndpointList &list() const { return list_; }

    // On the node's own thread.
    void with_node(std::size_t node, const std::function<void(node::Server &)> &call);
    void with_edge(std::size_t edge, const std::function<void(edge::Server &)> &call);
    // The node's process ends and another, under a new id, serves its store. The lists are not told
    // of it here.
    void replace(std::size_t node);
    void stop_edge(std::size_t edge);

private:
    void start_node(NodeHost &host, NodeId id, Time age);
    void plan(std::uint64_t nodes);
    std::string list_path(std::size_t edge) const;

    std::string dir_, scheduling_, service_, planner_address_;
    planner::DesiredState wanted_;
    std::unique_ptr<Process> planner_;
    std::uint16_t ports_;
    bool sync_;
    MakeScheduler make_;
    std::uint64_t next_node_ = 0;
    edge::EndpointList list_;
    std::vector<std::unique_ptr<NodeHost>> nodes_;
    std::vector<std::unique_ptr<EdgeHost>> edges_;
};

} // namespace knotvane::fleet
