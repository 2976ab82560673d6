#include "fleet/fleet.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "edge/settings.hpp"
#include "planner/admin_client.hpp"
#include "settings/fleet_sections.hpp"
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

Process::Process(const std::string &program, const std::vector<std::string> &arguments) {
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (auto &a : arguments)
        argv.push_back(const_cast<char *>(a.c_str()));
    argv.push_back(nullptr);
    // Signals blocked in this process, for its signal-waiting thread, must not stay blocked in the
    // child.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    int failed = posix_spawn(&pid_, program.c_str(), nullptr, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    if (failed != 0)
        throw std::runtime_error(program + ": can't start the program: " + std::strerror(failed));
}
Process::~Process() {
    if (exit_code() >= 0)
        return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
}
void Process::signal(int number) const {
    ::kill(pid_, number);
}
int Process::exit_code() {
    int status = 0;
    if (code_ < 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return code_;
}

std::string sections(const std::string &text, std::initializer_list<std::string_view> kinds) {
    std::istringstream in(text);
    std::string line, out;
    bool selected = false;
    while (std::getline(in, line)) {
        if (!line.empty() && line[0] == '[') {
            auto kind = line.substr(1, line.find_first_of(" ]") - 1);
            selected = std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
        }
        if (selected)
            out += line + "\n";
    }
    return out;
}

std::string edge_settings(std::uint64_t id, std::uint64_t edges, const std::string &listen,
                          const std::string &list, std::uint64_t shards,
                          const std::string &scheduling, const std::string &planner) {
    return "[edge]\nid = " + std::to_string(id) + "\nedges = " + std::to_string(edges) +
           "\nlisten = " + listen +
           (planner.empty() ? "\nnodes = " + list
                            : "\nplanner = " + planner + "\nplan_file = " + list) +
           "\n\n[layout]\nextent = 256KiB\nspan = 64KiB\nunit = 64KiB\nshards = " +
           std::to_string(shards) + "\n\n" + scheduling;
}
std::string default_scheduling() {
    // Two plans, with deadlines and deduplication windows typical of a record-keeping site.
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
std::string default_service() {
    return "[speed]\nunit_time = 0ms\n";
}

std::string node_settings(std::uint64_t id, std::uint64_t shard, const std::string &listen,
                          const std::string &store, const std::string &service, Time age,
                          const std::string &planner, bool sync) {
    return "[node]\nid = " + std::to_string(id) + "\nshard = " + std::to_string(shard) +
           "\nlisten = " + listen + "\nstore = " + store + (sync ? "\nsync = yes" : "\nsync = no") +
           "\nage = " + std::to_string(age / ms) + "ms\n" +
           (planner.empty() ? "" : "planner = " + planner + "\n") + "\n" + service;
}

namespace {
void throw_on_faults(settings::File &file) {
    std::string all;
    for (auto &f : file.faults())
        all += (all.empty() ? "" : "\n") + f;
    if (!all.empty())
        throw std::runtime_error(all);
}
} // namespace

Fleet::Fleet(std::string dir, std::uint64_t nodes, std::uint64_t edges, std::uint16_t first_port,
             std::string scheduling, std::string service, MakeScheduler make, bool planner,
             bool sync)
    : dir_(std::move(dir)), scheduling_(std::move(scheduling)), service_(std::move(service)),
      first_port_(first_port), sync_(sync), make_(std::move(make)) {
    address_for = [](std::size_t, NodeId, const std::string &address) { return address; };
    if (planner)
        prepare_planner(nodes);
    for (std::uint64_t i = 0; i < nodes; ++i) {
        auto host = std::make_unique<NodeHost>();
        host->shard = ShardId{static_cast<std::int32_t>(i)};
        host->store = dir_ + "/shard-" + std::to_string(i) + ".store";
        // The initial nodes claim one hour of uptime, so that edges don't treat them as cold.
        start_node(*host, NodeId{++next_node_}, 3600 * sec);
        nodes_.push_back(std::move(host));
    }
    for (std::uint64_t i = 0; i < edges; ++i)
        edges_.push_back(std::make_unique<EdgeHost>());
}
Fleet::~Fleet() {
    for (std::size_t i = 0; i < edges_.size(); ++i)
        stop_edge(i);
    for (auto &n : nodes_)
        n->worker->run([&] { n->server.reset(); });
}

void Fleet::start_node(NodeHost &host, NodeId id, Time age) {
    host.worker->run([&] {
        host.server.reset();
        auto text =
            node_settings(id.value, static_cast<std::uint64_t>(host.shard.value), "127.0.0.1:0",
                          host.store, service_, age, planner_address_, sync_);
        settings::File to_check("embedded node settings", text),
            to_apply("embedded node settings", text);
        node::check(to_check);
        throw_on_faults(to_check);
        host.server = std::make_unique<node::Server>(host.worker->loop(), to_apply);
        host.address = host.server->address();
    });
    host.id = id;
    list_.entries.push_back(
        {{id, host.shard, ZoneId{0}, NodeState::ready, loop::now() - age}, host.address});
}

std::string Fleet::list_path(std::size_t edge) const {
    return dir_ + "/nodes-" + std::to_string(edge) + ".ini";
}

void Fleet::prepare_planner(std::uint64_t nodes) {
    // The planner announces plans and volumes; the other sections stay in the edges' settings.
    settings::File file("embedded settings", scheduling_);
    std::map<std::string, PlanId> plans;
    settings::read_plans(file, [&](const std::string &name, double weight, double usual,
                                   double reserve, double price, double rate, double burst) {
        desired_state_.plans[name] = {name, weight, usual, reserve, price, rate, burst};
        plans[name] = {};
    });
    settings::read_volumes(file, plans,
                           [&](VolumeId id, const std::string &name, std::uint64_t size,
                               std::uint32_t least, const std::string &plan, int line) {
                               desired_state_.volumes[id] = {{name, size, least, {}}, plan, line};
                           });
    scheduling_ = sections(scheduling_, {"workload", "shots", "units", "nodes", "door"});
    for (std::uint64_t i = 0; i < nodes; ++i)
        desired_state_.nodes[NodeId{i + 1}] = {ShardId{static_cast<std::int32_t>(i)}, ZoneId{0},
                                               false, "", 0};
    // Picks a port that is free now; the planner keeps it across restarts.
    Worker worker;
    worker.run([&] {
        planner_address_ = loop::Listener(worker.loop(), "127.0.0.1:0", [](auto) {}).address();
    });
    std::ofstream(dir_ + "/planner.ini")
        << "[planner]\nlisten = " << planner_address_ << "\nstore = " << dir_
        << "/planner.store\nfleet = " << dir_ << "/fleet.ini\n\n[times]\ndrain_time = 300ms\n";
    change_settings([](planner::DesiredState &) {});
    start_planner(true);
}
void Fleet::start_planner(bool first) {
    auto program =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() / "knotvane-planner";
    std::vector<std::string> arguments{"--config", dir_ + "/planner.ini", "--log", "error"};
    if (first)
        arguments.push_back("--new");
    planner_ = std::make_unique<Process>(program.string(), arguments);
}
void Fleet::kill_planner() {
    planner_.reset();
}
void Fleet::pause_planner(bool on) const {
    planner_->signal(on ? SIGSTOP : SIGCONT);
}
bool Fleet::drain(NodeId node, bool on) const {
    try {
        const planner::AdminClient client(planner_address_, sec);
        return client.drain({node, on, control::DrainMode::force}).done;
    } catch (const std::exception &) {
        return false; // the planner is down or slow
    }
}
void Fleet::change_settings(const std::function<void(planner::DesiredState &)> &call) {
    ++desired_state_.version;
    call(desired_state_);
    auto path = dir_ + "/fleet.ini", temporary = path + ".new";
    std::ofstream(temporary) << planner::write_fleet(desired_state_);
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        throw std::runtime_error(path + ": can't be replaced by " + temporary + ": " +
                                 std::strerror(errno));
}

void Fleet::start() {
    if (planner_address_.empty())
        write_all_endpoint_lists();
    for (std::size_t i = 0; i < edges_.size(); ++i) {
        auto &host = *edges_[i];
        auto listen = "127.0.0.1:" + std::to_string(first_port_ == 0 ? 0 : first_port_ + i);
        auto text = edge_settings(i, edges_.size(), listen, list_path(i), nodes_.size(),
                                  scheduling_, planner_address_);
        host.worker->run([&] {
            settings::File to_check("embedded edge settings", text),
                to_apply("embedded edge settings", text);
            edge::check(to_check);
            throw_on_faults(to_check);
            host.server = std::make_unique<edge::Server>(host.worker->loop(), to_apply, make_);
            host.address = host.server->address();
            host.server->resolve_address = [this, i](NodeId node, const std::string &address) {
                return planner_address_.empty() ? address : address_for(i, node, address);
            };
            if (!planner_address_.empty())
                host.server->on_endpoint_list = [this, i](const edge::EndpointList &list) {
                    if (on_endpoint_list)
                        on_endpoint_list(i, list);
                };
        });
    }
    if (planner_address_.empty())
        return;
    // An edge that knows every node has received the planner's whole state.
    for (Time until = loop::now() + 20 * sec; loop::now() < until;) {
        std::size_t informed = 0;
        for (std::size_t e = 0; e < edges_.size(); ++e)
            with_edge(e, [&](edge::Server &s) {
                auto &copy = s.planner_client()->replica();
                informed += copy.cluster_state().nodes.size() == nodes_.size();
            });
        if (informed == edges_.size())
            return;
        if (planner_->exit_code() >= 0)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    throw std::runtime_error("edges did not learn of all nodes from the planner" +
                             (planner_->exit_code() >= 0 ? ": the planner exited with code " +
                                                               std::to_string(planner_->exit_code())
                                                         : ""));
}

void Fleet::set_listed_state(NodeId node, NodeState state, Time started) {
    for (auto &[endpoint, address] : list_.entries)
        if (endpoint.node == node) {
            endpoint.state = state;
            endpoint.started_at = started;
        }
}
void Fleet::write_endpoint_list(std::size_t edge) {
    ++list_.version;
    auto announced = list_;
    for (auto &[endpoint, address] : announced.entries)
        address = address_for(edge, endpoint.node, address);
    // Written to a temporary file and renamed, so that readers see the old list or the new one.
    auto path = list_path(edge), temporary = path + ".new";
    std::ofstream(temporary) << format_endpoint_list(announced);
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        throw std::runtime_error(path + ": can't be replaced by " + temporary + ": " +
                                 std::strerror(errno));
}
void Fleet::write_all_endpoint_lists() {
    for (std::size_t i = 0; i < edges_.size(); ++i)
        write_endpoint_list(i);
}

void Fleet::with_node(std::size_t node, const std::function<void(node::Server &)> &call) {
    nodes_[node]->worker->run([&] {
        if (!nodes_[node]->server)
            return;
        call(*nodes_[node]->server);
        nodes_[node]->server->process_due();
    });
}
void Fleet::with_edge(std::size_t edge, const std::function<void(edge::Server &)> &call) {
    edges_[edge]->worker->run([&] {
        if (edges_[edge]->server)
            call(*edges_[edge]->server);
    });
}
void Fleet::replace_node(std::size_t node) {
    NodeId id{++next_node_};
    if (!planner_address_.empty())
        change_settings([&](planner::DesiredState &w) {
            w.nodes[id] = {nodes_[node]->shard, ZoneId{0}, false, "", 0};
        });
    start_node(*nodes_[node], id, 0);
}
void Fleet::stop_edge(std::size_t edge) {
    edges_[edge]->worker->run([&] { edges_[edge]->server.reset(); });
}

} // namespace knotvane::fleet
