// A complete gateway in one process, on loopback: nodes and edges, each with its own event loop and
// thread, and the endpoint list files that the edges read. Used by `knotvane local`, `knotvane
// day`, tests and benchmarks.
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

// An event loop with its own thread. Objects created on the thread must be destroyed on it.
class Worker {
public:
    Worker();
    ~Worker();
    loop::Loop &loop() { return loop_; }
    // Runs `call` on the loop's thread and blocks until it returns. Rethrows its exceptions.
    void run(const std::function<void()> &call);

private:
    loop::Loop loop_;
    std::thread thread_;
};

// A child process, so that tests and scripted days can kill it.
class Process {
public:
    // Starts the program; it inherits our standard error. Throws std::runtime_error.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    // Sends SIGKILL if the process still runs and waits until it has ended.
    ~Process();
    Process(const Process &) = delete;
    void signal(int number) const;
    // The exit code, 128 plus the signal's number if a signal ended it, or -1 while it runs.
    int exit_code();

private:
    int pid_ = -1, code_ = -1;
};

// Extracts the INI sections of the given kinds from `text`, headers included.
std::string sections(const std::string &text, std::initializer_list<std::string_view> kinds);

// Settings texts with embedded defaults. `list` is the path of the edge's endpoint list file or,
// with a planner, of the file that caches the last cluster state (`plan_file`). `age`: how long the
// node claims to have been running.
std::string edge_settings(std::uint64_t id, std::uint64_t edges, const std::string &listen,
                          const std::string &list, std::uint64_t shards,
                          const std::string &scheduling, const std::string &planner = "");
std::string node_settings(std::uint64_t id, std::uint64_t shard, const std::string &listen,
                          const std::string &store, const std::string &service, Time age = 0,
                          const std::string &planner = "", bool sync = false);
// Default volumes, plans, workloads and attempt rules of an edge, and default service settings of a
// node. A day file can replace either.
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
    // `dir` holds the stores and endpoint lists. Edges listen on consecutive first_port from
    // `first_port`, or on free first_port if it is 0. `planner`: a planner in a separate process
    // announces nodes, plans and volumes. `sync`: flushes are durable on disk; otherwise they
    // survive only the end of the node's process. Throws std::runtime_error, also for faulty
    // settings.
    Fleet(std::string dir, std::uint64_t nodes, std::uint64_t edges, std::uint16_t first_port,
          std::string scheduling, std::string service, MakeScheduler make, bool planner = false,
          bool sync = false);
    ~Fleet();

    // Listen addresses of an edge and a node. An edge's list may name other ones, such as a
    // relay's.
    const std::string &edge_address(std::size_t edge) const { return edges_[edge]->address; }
    const std::string &node_address(std::size_t node) const { return nodes_[node]->address; }
    std::size_t edges() const { return edges_.size(); }
    std::size_t nodes() const { return nodes_.size(); }
    NodeId node_id(std::size_t node) const { return nodes_[node]->id; }
    ShardId node_shard(std::size_t node) const { return nodes_[node]->shard; }
    // Maps a node's listen address to the address announced to an edge. Set before start().
    std::function<std::string(std::size_t edge, NodeId node, const std::string &address)>
        address_for;
    // Writes the endpoint lists and starts the edges. With a planner, waits up to 20 s until every
    // edge knows every node. Throws std::runtime_error.
    void start();

    // Empty without a planner. The members up to change_settings() require one.
    const std::string &planner_address() const { return planner_address_; }
    // Called on the edge's thread when it has applied an endpoint list. Set before start().
    std::function<void(std::size_t edge, const edge::EndpointList &list)> on_endpoint_list;
    // Kill the planner with SIGKILL, suspend or resume it (SIGSTOP, SIGCONT), and start it.
    // `first`: with a new store.
    void kill_planner();
    void pause_planner(bool on) const;
    void start_planner(bool first = false);
    // Requests the start (`on`) or end of a drain, as an operator does. Returns false if the
    // planner doesn't answer within 1 s or refuses.
    bool drain(NodeId node, bool on) const;
    // Lets `call` edit the desired state and replaces the planner's fleet file by a new version.
    void change_settings(const std::function<void(planner::DesiredState &)> &call);

    // Changes a node's entry in the endpoint lists that are written from now on.
    void set_listed_state(NodeId node, NodeState state, Time started);
    // Write the endpoint list of one edge or of all, each time with a new version.
    void write_endpoint_list(std::size_t edge);
    void write_all_endpoint_lists();
    const edge::EndpointList &list() const { return list_; }

    // Run `call` on the server's own thread; do nothing if the server is stopped.
    void with_node(std::size_t node, const std::function<void(node::Server &)> &call);
    void with_edge(std::size_t edge, const std::function<void(edge::Server &)> &call);
    // Stops the node and starts another one, with a new id, on the same store. Doesn't write the
    // endpoint lists.
    void replace_node(std::size_t node);
    void stop_edge(std::size_t edge);

private:
    void start_node(NodeHost &host, NodeId id, Time age);
    void prepare_planner(std::uint64_t nodes);
    std::string list_path(std::size_t edge) const;

    std::string dir_, scheduling_, service_, planner_address_;
    planner::DesiredState desired_state_;
    std::unique_ptr<Process> planner_;
    std::uint16_t first_port_;
    bool sync_;
    MakeScheduler make_;
    std::uint64_t next_node_ = 0;
    edge::EndpointList list_;
    std::vector<std::unique_ptr<NodeHost>> nodes_;
    std::vector<std::unique_ptr<EdgeHost>> edges_;
};

} // namespace knotvane::fleet
