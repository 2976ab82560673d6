#include "fleet/fleet.hpp"

#include <cstdio>
#include <exception>
#include <fstream>
#include <future>
#include <stdexcept>

#include "edge/settings.hpp"
#include "settings/ini.hpp"

namespace knotvane::fleet {

Worker::Worker() {
    thread_ = std::thread([this] { loop_.run(); });
}
Worker::~Worker() {
    loop_.stop();
    thread_.join();
}
void Worker::run(const std::function<void()> &call) {
    std::promise<void> done;
    loop_.post([&] {
        try {
            call();
            done.set_value();
        } catch (...) {
            done.set_exception(std::current_exception());
        }
    });
    done.get_future().get();
}

std::string edge_settings(std::uint64_t id, std::uint64_t edges, const std::string &listen, const std::string &list,
                          std::uint64_t shards, const std::string &scheduling) {
    return "[edge]\nid = " + std::to_string(id) + "\nedges = " + std::to_string(edges) + "\nlisten = " + listen +
           "\nnodes = " + list + "\n\n[layout]\nextent = 256KiB\nspan = 64KiB\nunit = 64KiB\nshards = " +
           std::to_string(shards) + "\n\n" + scheduling;
}
std::string default_scheduling() {
    // Two plans as the first users have them; times and windows of a record-keeping site.
    return R"([plan standard]
weight = 1
usual = 200

[plan premium]
weight = 2
usual = 200
reserve = 240
price = 1.4

[volume members]
size = 256MiB
plan = premium

[volume reports]
size = 64MiB
plan = standard

[workload member-read]
command = read
due = 300ms
client_timeout = 3s
value = 2
late_part = 0.1

[workload record-write]
command = write
due = 500ms
client_timeout = 3s
value = 3
late_part = 0.1
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload erase]
command = zero
due = 1s
client_timeout = 3s
repeat = numbered
window = 2500ms
key_rest = 2600ms

[workload flush]
command = flush
due = 2s
client_timeout = 5s
value = 3

[workload map]
command = status
due = 1s
client_timeout = 3s

[shots]
most = 3
parallel = no
call_off = yes
longest_wait = 2s
)";
}
std::string default_service() { return "[speed]\nunit_time = 0ms\n"; }

std::string node_settings(std::uint64_t id, std::uint64_t shard, const std::string &listen, const std::string &store,
                          const std::string &service, Time age) {
    return "[node]\nid = " + std::to_string(id) + "\nshard = " + std::to_string(shard) + "\nlisten = " + listen +
           "\nstore = " + store + "\nsync = no\nage = " +
           std::to_string(age / ms) + "ms\n\n" + service;
}

namespace {
void must_be_good(settings::File &file) {
    std::string all;
    for (auto &f : file.faults()) all += (all.empty() ? "" : "\n") + f;
    if (!all.empty()) throw std::runtime_error(all);
}
} // namespace

Fleet::Fleet(std::string dir, std::uint64_t nodes, std::uint64_t edges, std::uint16_t ports, std::string scheduling,
             std::string service, MakeScheduler make)
    : dir_(std::move(dir)), scheduling_(std::move(scheduling)), service_(std::move(service)), ports_(ports),
      make_(std::move(make)) {
    address_for = [](std::size_t, NodeId, const std::string &address) { return address; };
    for (std::uint64_t i = 0; i < nodes; ++i) {
        auto host = std::make_unique<NodeHost>();
        host->shard = ShardId{static_cast<std::int32_t>(i)};
        host->store = dir_ + "/shard-" + std::to_string(i) + ".store";
        // The first ones have been up for long, as a gateway's nodes mostly have when it starts.
        start_node(*host, NodeId{++next_node_}, 3600 * sec);
        nodes_.push_back(std::move(host));
    }
    for (std::uint64_t i = 0; i < edges; ++i) edges_.push_back(std::make_unique<EdgeHost>());
}
Fleet::~Fleet() {
    for (std::size_t i = 0; i < edges_.size(); ++i) stop_edge(i);
    for (auto &n : nodes_) n->worker->run([&] { n->server.reset(); });
}

void Fleet::start_node(NodeHost &host, NodeId id, Time age) {
    host.worker->run([&] {
        host.server.reset();
        auto text = node_settings(id.value, static_cast<std::uint64_t>(host.shard.value), "127.0.0.1:0", host.store,
                                  service_, age);
        settings::File first("embedded node settings", text), again("embedded node settings", text);
        node::check(first);
        must_be_good(first);
        host.server = std::make_unique<node::Server>(host.worker->loop(), again);
        host.address = host.server->address();
    });
    host.id = id;
    list_.nodes.push_back({id, host.address, host.shard, ZoneId{0}, NodeState::ready, loop::now() - age});
}

std::string Fleet::list_path(std::size_t edge) const { return dir_ + "/nodes-" + std::to_string(edge) + ".ini"; }

void Fleet::start() {
    tell_all();
    for (std::size_t i = 0; i < edges_.size(); ++i) {
        auto &host = *edges_[i];
        auto listen = "127.0.0.1:" + std::to_string(ports_ == 0 ? 0 : ports_ + i);
        auto text = edge_settings(i, edges_.size(), listen, list_path(i), nodes_.size(), scheduling_);
        host.worker->run([&] {
            settings::File first("embedded edge settings", text), again("embedded edge settings", text);
            edge::check(first);
            must_be_good(first);
            host.server = std::make_unique<edge::Server>(host.worker->loop(), again, make_);
            host.address = host.server->address();
        });
    }
}

void Fleet::list_as(NodeId node, NodeState state, Time started) {
    for (auto &n : list_.nodes)
        if (n.id == node) n.state = state, n.started = started;
}
void Fleet::tell(std::size_t edge) {
    ++list_.version;
    auto told = list_;
    for (auto &n : told.nodes) n.address = address_for(edge, n.id, n.address);
    // Written beside and renamed: a reader finds the old list or the new one.
    auto path = list_path(edge), beside = path + ".new";
    std::ofstream(beside) << write_nodes(told);
    if (std::rename(beside.c_str(), path.c_str()) != 0) throw std::runtime_error(path + ": can't be written");
}
void Fleet::tell_all() {
    for (std::size_t i = 0; i < edges_.size(); ++i) tell(i);
}

void Fleet::with_node(std::size_t node, const std::function<void(node::Server &)> &call) {
    nodes_[node]->worker->run([&] {
        if (!nodes_[node]->server) return;
        call(*nodes_[node]->server);
        nodes_[node]->server->stirred();
    });
}
void Fleet::with_edge(std::size_t edge, const std::function<void(edge::Server &)> &call) {
    edges_[edge]->worker->run([&] {
        if (edges_[edge]->server) call(*edges_[edge]->server);
    });
}
void Fleet::replace(std::size_t node) { start_node(*nodes_[node], NodeId{++next_node_}, 0); }
void Fleet::stop_edge(std::size_t edge) {
    edges_[edge]->worker->run([&] { edges_[edge]->server.reset(); });
}

} // namespace knotvane::fleet
