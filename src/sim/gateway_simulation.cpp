#include "sim/gateway_simulation.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "edge/core.hpp"
#include "load/session.hpp"
#include "nbd/wire.hpp"
#include "node/storage_node.hpp"

namespace knotvane::sim {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
constexpr Time client_timeout = 2 * sec, window = 800 * ms, key_rest = 900 * ms,
               drain_grace = 250 * ms;
constexpr std::uint64_t volume_size = 1 << 20, extent = 128 << 10, span = 32 << 10, unit = 16 << 10;
// Clients access only this many bytes of the volume, so that their ranges overlap.
constexpr std::uint64_t active_size = 192 << 10;
constexpr Time connect_time = 250 * ms;
constexpr Time unit_time = 2 * ms;
constexpr double limit_rate = 300, limit_burst = 60;

struct Simulation;

// One direction of a connection: bytes arrive in order, after a delay, possibly split into pieces.
struct Pipe {
    Time last = 0;
};

struct Connection {
    std::uint64_t id;
    bool open = true;
    Pipe to_edge, from_edge;
    Time held_until = 0;
};

struct SimulatedNode final : node::Transport {
    Simulation &simulation;
    NodeId id;
    ShardId shard;
    std::string &bytes;
    std::unique_ptr<store::Medium> medium;
    store::Store store;
    node::StorageNode disk;
    bool listening = true;
    Time wake = never;
    std::map<node::ConnectionId, std::pair<std::size_t, edge::NodeConnectionId>>
        peers; // edge, link

    SimulatedNode(Simulation &owner, NodeId i, ShardId s, std::string &b, std::uint64_t seed,
                  Time now)
        : simulation(owner), id(i), shard(s), bytes(b), medium(store::memory_medium(b)),
          store(*medium), disk(i, s, store, *this, seed, now) {
        disk.set_service_model(
            {.unit_time = unit_time, .cores = 2, .slots = 4, .queue_capacity = 24});
        disk.set_slow_start({.initial_capacity = 0.25,
                             .duration = 3 * sec,
                             .overload_window = sec,
                             .overload_factor = 4});
    }
    void send(node::ConnectionId connection, std::string out) override;
    void close(node::ConnectionId connection, bool reset) override;
    void listen(bool open) override { listening = open; }
    void log_event(std::string) override {}
};

struct SimulatedEdge final : edge::Shell {
    Simulation &simulation;
    std::size_t index;
    std::unique_ptr<edge::Core> core;
    Time wake = never;
    struct Link {
        Connection connection;
        NodeId node;
        node::ConnectionId node_connection;
        bool up = false;
    };
    std::map<edge::NodeConnectionId, std::shared_ptr<Link>> links;

    SimulatedEdge(Simulation &owner, std::size_t i) : simulation(owner), index(i) {}
    void connect(edge::NodeConnectionId link, const std::string &address) override;
    void send(edge::NodeConnectionId link, std::string bytes) override;
    void close(edge::NodeConnectionId link) override;
    void send_client(edge::ClientId client, std::string bytes) override;
    void close_client(edge::ClientId client) override;
    void pause_client(edge::ClientId, bool) override {}
    void log_event(std::string) override {}
    void attempt_completed(RequestId, NodeId, AttemptOutcome, Time) override {}
};

struct SimulatedClient final : load::Replies {
    Simulation &simulation;
    std::uint64_t id;
    std::size_t edge_index;
    std::unique_ptr<load::Session> session;
    std::shared_ptr<Connection> connection;
    std::uint64_t next = 0;
    std::uint32_t max_outstanding;
    bool structured;

    SimulatedClient(Simulation &owner, std::uint64_t i, std::size_t edge)
        : simulation(owner), id(i), edge_index(edge) {}
    void connect();
    void leave();
    void send_requests();
    void send_pending_bytes();
    void opened(std::uint64_t, std::uint16_t) override { send_requests(); }
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t, std::uint32_t error, std::string_view) override;
    void broken(std::string_view) override {}
};

struct Simulation {
    Scenario scenario;
    Time now = sec; // not zero, because code under test may use 0 for "no time"
    std::ranlux24_base random;
    std::uint64_t sequence = 0, next_connection = 0, next_node_connection = 0, next_client = 0,
                  next_node = 0, version = 0;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> queue;
    rules::RuleChecker rule_checker{20 * ms};
    std::vector<std::string> stored_bytes; // by shard
    std::map<NodeId, std::unique_ptr<SimulatedNode>> nodes;
    std::map<NodeId, std::pair<NodeState, Time>> endpoint_states;
    std::map<NodeId, ShardId> shards;
    std::vector<std::unique_ptr<SimulatedEdge>> edges;
    std::vector<std::unique_ptr<SimulatedClient>> clients;
    std::map<edge::ClientId, SimulatedClient *> client_by_id;
    Result result;
    bool over = false;

    explicit Simulation(const Scenario &configuration)
        : scenario(configuration),
          random(static_cast<std::uint32_t>(configuration.seed * 2654435761u + 1)) {}

    bool small_buffers() const { return scenario.seed % 8 == 0; }
    // Random values in [0, node) and [0, t).
    std::uint64_t random_below(std::uint64_t limit) {
        return limit <= 1 ? 0 : (std::uint64_t{random()} << 24 | random()) % limit;
    }
    Time random_time_below(Time t) {
        return static_cast<Time>(random_below(static_cast<std::uint64_t>(t)));
    }
    bool happens(double probability) {
        return static_cast<double>(random()) < probability * static_cast<double>(random.max());
    }
    void schedule(Time time, std::function<void()> call) {
        queue.emplace(std::pair{time, ++sequence}, std::move(call));
    }
    // Network delay: usually below 0.5 ms, in 1 % of cases up to 40 ms.
    Time delay() {
        return happens(0.01) ? random_time_below(40 * ms) : 50 * us + random_time_below(400 * us);
    }

    // Sends bytes in one direction, split into up to three pieces; calls `arrive` for each piece.
    void send_in_pieces(Connection &c, Pipe &p, std::string bytes,
                        const std::function<void(std::string_view)> &arrive) {
        auto all = std::make_shared<std::string>(std::move(bytes));
        std::size_t pieces = happens(0.2) ? 1 + random_below(3) : 1;
        for (std::size_t i = 0, from = 0; i < pieces; ++i) {
            std::size_t to =
                i + 1 == pieces ? all->size() : from + random_below(all->size() - from + 1);
            p.last = std::max({p.last, now + delay(), c.held_until});
            schedule(p.last, [all, from, to, arrive] {
                arrive(std::string_view(*all).substr(from, to - from));
            });
            from = to;
        }
    }

    void settle(SimulatedEdge &edge) {
        edge.core->settle(now);
        Time due = edge.core->next_due();
        if (due < edge.wake) {
            edge.wake = due;
            schedule(std::max(due, now), [this, &edge, due] {
                if (edge.wake == due)
                    edge.wake = never, settle(edge);
            });
        }
    }
    void run_due_work(SimulatedNode &node) {
        Time due = node.disk.next_due();
        if (due < node.wake) {
            node.wake = due;
            schedule(std::max(due, now), [this, id = node.id, due] {
                auto it = nodes.find(id);
                if (it == nodes.end() || it->second->wake != due)
                    return;
                it->second->wake = never;
                it->second->disk.tick(now);
                run_due_work(*it->second);
            });
        }
    }

    void deliver_endpoint_list(SimulatedEdge &edge) {
        if (!edge.core->endpoint_list_begin(now, version))
            return;
        for (auto &[id, state] : endpoint_states) {
            edge.core->endpoint_listed({id, shards[id], ZoneId{0}, state.first, state.second},
                                       std::to_string(id.value));
            rule_checker.node_state_learned(now, rules::EdgeId{edge.index}, id, state.first);
        }
        edge.core->endpoint_list_end();
        settle(edge);
    }
    // Delivers the changed endpoint list to each edge after an independent random delay.
    void change_endpoint_list() {
        ++version;
        for (auto &edge : edges)
            schedule(now + random_time_below(400 * ms),
                     [this, &edge] { deliver_endpoint_list(*edge); });
    }

    SimulatedNode &add_node(ShardId shard) {
        NodeId id{++next_node};
        auto &node = nodes[id] = std::make_unique<SimulatedNode>(
            *this, id, shard, stored_bytes[static_cast<std::size_t>(shard.value)], scenario.seed,
            now);
        shards[id] = shard;
        endpoint_states[id] = {NodeState::ready, now};
        return *node;
    }

    void configure_edge(edge::Core &core, std::size_t index) {
        auto &s = core.scheduler();
        SchedulerConfig config;
        config.self = SchedulerId{static_cast<std::uint32_t>(index)};
        config.scheduler_count = scenario.edges;
        config.max_retry_after = sec;
        config.units = {2, 9, 0.35, 0.08};
        config.attempts = {3, false, true};
        config.retry_budget = {0.3, 4, 2 * sec};
        config.slow_start = {60, sec, 3 * sec, 0.25};
        s.configure(config);
        for (std::uint32_t i = 0; i < 5; ++i) {
            bool writes = i == 1 || i == 2;
            WorkloadConfig workload;
            workload.latency_objective = 300 * ms;
            workload.value = writes ? 2 : 1;
            workload.late_value_fraction = 0.1;
            workload.deduplication_scope = DeduplicationScope::shard;
            if (writes) {
                workload.idempotency =
                    scenario.at_most_once ? Idempotency::at_most_once : Idempotency::deduplicated;
                workload.deduplication_window = window;
                workload.ordered_by_key = !scenario.without_key_order;
                workload.key_cooldown =
                    scenario.at_most_once ? client_timeout + 100 * ms : key_rest;
            }
            WorkloadId id{i};
            s.set_workload(id, workload);
            core.add_workload(
                {id, static_cast<edge::Command>(i), ~0u, "", client_timeout,
                 writes && !scenario.at_most_once && !scenario.without_repeat_detection ? window
                                                                                        : 0});
        }
        PlanConfig plan{1, 100, 50, 1, 0, 0};
        if (scenario.limits) {
            plan.limit_rate = limit_rate;
            plan.limit_burst = limit_burst;
        }
        s.set_plan(PlanId{0}, plan);
        core.set_node_connections({2, connect_time, 300 * ms, 2 * sec,
                                   small_buffers() ? std::size_t{32 << 10} : 1 << 20});
        core.set_admission_limits({16, 64 << 10, 64, 1 << 20});
        core.add_volume(VolumeId{index + 1}, {"v", volume_size, 512, PlanId{0}, 1});
        core.start(now);
    }

    void inject_random_fault();
    Result run();
};

void SimulatedNode::send(node::ConnectionId connection, std::string out) {
    auto it = peers.find(connection);
    if (it == peers.end())
        return;
    auto &edge = *simulation.edges[it->second.first];
    auto l = edge.links.find(it->second.second);
    if (l == edge.links.end() || !l->second->connection.open)
        return;
    auto link = l->second;
    auto link_id = it->second.second;
    simulation.send_in_pieces(link->connection, link->connection.to_edge, std::move(out),
                              [&edge, link, link_id](std::string_view b) {
                                  if (!link->connection.open)
                                      return;
                                  edge.simulation.rule_checker.bytes_seen(
                                      edge.simulation.now, rules::ConnectionId{link->connection.id},
                                      false, b);
                                  edge.core->node_received(edge.simulation.now, link_id, b);
                                  edge.simulation.settle(edge);
                              });
}
void SimulatedNode::close(node::ConnectionId connection, bool reset) {
    auto it = peers.find(connection);
    if (it == peers.end())
        return;
    auto &edge = *simulation.edges[it->second.first];
    auto link_id = it->second.second;
    peers.erase(it);
    auto l = edge.links.find(link_id);
    if (l == edge.links.end())
        return;
    auto link = l->second;
    auto end = [&edge, link, link_id] {
        if (!link->connection.open)
            return;
        link->connection.open = false;
        edge.links.erase(link_id);
        edge.simulation.rule_checker.connection_closed(
            edge.simulation.now, rules::ConnectionId{link->connection.id}, false);
        edge.core->node_disconnected(edge.simulation.now, link_id);
        edge.simulation.settle(edge);
    };
    // Bytes sent before an orderly close still arrive; a reset may overtake them.
    simulation.schedule(
        reset ? simulation.now + simulation.delay()
              : std::max(link->connection.to_edge.last, simulation.now + simulation.delay()),
        end);
}

void SimulatedEdge::connect(edge::NodeConnectionId id, const std::string &address) {
    NodeId node{std::stoull(address)};
    auto link = std::make_shared<Link>();
    link->connection.id = ++simulation.next_connection;
    link->node = node;
    links[id] = link;
    if (simulation.scenario.cuts > 0 && simulation.happens(0.01))
        return; // the connection attempt is lost: the edge must notice by its connect timeout
    simulation.schedule(simulation.now + simulation.delay(), [this, id, link, node] {
        if (!link->connection.open)
            return;
        auto it = simulation.nodes.find(node);
        if (it == simulation.nodes.end() || !it->second->listening) {
            links.erase(id), link->connection.open = false;
            core->node_connect_failed(simulation.now, id);
            return simulation.settle(*this);
        }
        link->node_connection = node::ConnectionId{++simulation.next_node_connection};
        it->second->peers[link->node_connection] = {index, id};
        simulation.rule_checker.node_connected(
            simulation.now, rules::ConnectionId{link->connection.id}, rules::EdgeId{index}, node);
        link->up = true;
        core->node_connected(simulation.now, id);
        it->second->disk.connected(simulation.now, link->node_connection);
        simulation.settle(*this);
    });
}
void SimulatedEdge::send(edge::NodeConnectionId id, std::string bytes) {
    auto it = links.find(id);
    if (it == links.end())
        return;
    auto link = it->second;
    simulation.rule_checker.bytes_seen(simulation.now, rules::ConnectionId{link->connection.id},
                                       true, bytes);
    auto size = bytes.size();
    simulation.send_in_pieces(link->connection, link->connection.from_edge, std::move(bytes),
                              [this, link](std::string_view b) {
                                  auto node = simulation.nodes.find(link->node);
                                  // Bytes in transit when the edge closes still arrive. This
                                  // produces late duplicate requests.
                                  if (node == simulation.nodes.end() ||
                                      !node->second->peers.contains(link->node_connection))
                                      return;
                                  node->second->disk.received(simulation.now, link->node_connection,
                                                              b);
                                  simulation.run_due_work(*node->second);
                              });
    simulation.schedule(simulation.now, [this, id, size] {
        if (!links.contains(id))
            return;
        core->node_sent(simulation.now, id, size);
        simulation.settle(*this);
    });
}
void SimulatedEdge::close(edge::NodeConnectionId id) {
    auto it = links.find(id);
    if (it == links.end())
        return;
    auto link = it->second;
    links.erase(it);
    link->connection.open = false;
    simulation.rule_checker.connection_closed(simulation.now,
                                              rules::ConnectionId{link->connection.id}, true);
    simulation.schedule(
        std::max(link->connection.from_edge.last, simulation.now + simulation.delay()),
        [this, link] {
            if (auto node = simulation.nodes.find(link->node); node != simulation.nodes.end()) {
                node->second->peers.erase(link->node_connection);
                node->second->disk.disconnected(link->node_connection);
            }
        });
}
void SimulatedEdge::send_client(edge::ClientId id, std::string bytes) {
    auto it = simulation.client_by_id.find(id);
    if (it == simulation.client_by_id.end())
        return;
    auto *c = it->second;
    auto connection = c->connection;
    simulation.rule_checker.bytes_seen(simulation.now, rules::ConnectionId{connection->id}, true,
                                       bytes);
    auto size = bytes.size();
    simulation.send_in_pieces(*connection, connection->to_edge, std::move(bytes),
                              [c, connection](std::string_view b) {
                                  if (c->connection != connection || !connection->open)
                                      return;
                                  c->session->bytes(b);
                                  c->send_pending_bytes();
                              });
    simulation.schedule(simulation.now + simulation.delay(), [this, id, size] {
        core->client_sent(simulation.now, id, size);
        simulation.settle(*this);
    });
}
void SimulatedEdge::close_client(edge::ClientId id) {
    auto it = simulation.client_by_id.find(id);
    if (it == simulation.client_by_id.end())
        return;
    auto *c = it->second;
    auto connection = c->connection;
    simulation.client_by_id.erase(it);
    simulation.rule_checker.connection_closed(simulation.now, rules::ConnectionId{connection->id},
                                              true);
    connection->open = false;
    if (!simulation.over)
        simulation.schedule(simulation.now + 10 * ms, [c, connection] {
            if (c->connection == connection)
                c->connect();
        });
}

void SimulatedClient::connect() {
    if (simulation.over)
        return;
    connection = std::make_shared<Connection>();
    connection->id = ++simulation.next_connection;
    structured = simulation.happens(0.7);
    max_outstanding = 1 + static_cast<std::uint32_t>(simulation.random_below(8));
    session = std::make_unique<load::Session>(*this, "v", structured);
    id = ++simulation.next_client;
    simulation.client_by_id[edge::ClientId{id}] = this;
    simulation.rule_checker.client_connected(simulation.now, rules::ConnectionId{connection->id},
                                             rules::EdgeId{edge_index}, VolumeId{edge_index + 1});
    simulation.edges[edge_index]->core->client_connected(simulation.now, edge::ClientId{id});
    simulation.settle(*simulation.edges[edge_index]);
}
void SimulatedClient::leave() {
    if (!connection || !connection->open)
        return;
    connection->open = false;
    auto old = connection;
    auto gone = edge::ClientId{id};
    simulation.schedule(std::max(old->from_edge.last, simulation.now), [this, gone, old] {
        simulation.rule_checker.connection_closed(simulation.now, rules::ConnectionId{old->id},
                                                  false);
        simulation.client_by_id.erase(gone);
        simulation.edges[edge_index]->core->client_disconnected(simulation.now, gone);
        simulation.settle(*simulation.edges[edge_index]);
        connect();
    });
}
void SimulatedClient::send_requests() {
    while (session->is_open() && session->flying() < max_outstanding && !simulation.over) {
        auto cookie = ++next;
        std::uint64_t offset = simulation.random_below(active_size / 512) * 512;
        auto length = static_cast<std::uint32_t>(
            (1 + simulation.random_below(simulation.happens(0.8) ? 8 : 100)) * 512);
        auto what = simulation.random_below(100);
        if (what < 45) {
            session->ask(nbd::cmd_read, 0, cookie, offset, length);
        } else if (what < 85) {
            std::string data;
            for (std::uint32_t i = 0; i < length / 512; ++i) {
                // Every block of every write has unique content.
                std::string stamp = std::to_string(id) + ":" + std::to_string(cookie) + ":" +
                                    std::to_string(i) + ":";
                stamp.resize(512, 'x');
                data += stamp;
            }
            session->ask(nbd::cmd_write, simulation.happens(0.1) ? nbd::cmd_flag_fua : 0, cookie,
                         offset, length, data);
        } else if (what < 90) {
            session->ask(simulation.happens(0.5) ? nbd::cmd_trim : nbd::cmd_write_zeroes, 0, cookie,
                         offset, length);
        } else {
            session->ask(nbd::cmd_flush, 0, cookie, 0, 0);
        }
        if (simulation.happens(0.3))
            break; // sends further requests after the next reply
    }
    // A client without outstanding requests tries again after a delay.
    if (session->is_open() && session->flying() == 0 && !simulation.over)
        simulation.schedule(simulation.now + simulation.random_time_below(50 * ms),
                            [this, c = connection] {
                                if (connection == c && connection->open)
                                    send_requests(), send_pending_bytes();
                            });
}
void SimulatedClient::ended(std::uint64_t, std::uint32_t error, std::string_view) {
    // After an error a client usually waits before its next request; 10 % retry immediately.
    if (error == 0 || simulation.happens(0.1))
        return send_requests();
    simulation.schedule(simulation.now + simulation.random_time_below(100 * ms),
                        [this, c = connection] {
                            if (connection == c && connection->open)
                                send_requests(), send_pending_bytes();
                        });
}
void SimulatedClient::send_pending_bytes() {
    auto out = session->take_out();
    if (out.empty() || !connection->open)
        return;
    auto c = connection;
    auto from = edge::ClientId{id};
    simulation.send_in_pieces(
        *connection, connection->from_edge, std::move(out), [this, c, from](std::string_view b) {
            if (!simulation.client_by_id.contains(from))
                return;
            simulation.rule_checker.bytes_seen(simulation.now, rules::ConnectionId{c->id}, false,
                                               b);
            simulation.edges[edge_index]->core->client_received(simulation.now, from, b);
            simulation.settle(*simulation.edges[edge_index]);
        });
}

// Chooses a random fault and injects it now.
void Simulation::inject_random_fault() {
    static constexpr const char *names[] = {"mute", "hang", "slow", "reset",  "refuse",
                                            "full", "fail", "cut",  "garble", "late"};
    auto it = nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_below(nodes.size())));
    SimulatedNode &node = *it->second;
    double kinds[] = {scenario.faults, scenario.cuts, scenario.restarts, scenario.drains};
    double pick = static_cast<double>(random_below(1000)) / 1000 *
                  (kinds[0] + kinds[1] + kinds[2] + kinds[3]);
    if (pick < kinds[0]) {
        auto kind = random_below(10);
        ++result.event_counts[names[kind]];
        bool counted = kind != 1 && kind != 4 && happens(0.5);
        double magnitude = kind == 2 ? 2 + static_cast<double>(random_below(20))
                                     : 0.05 * static_cast<double>(random_below(50));
        std::uint64_t count = counted ? 1 + random_below(4) : 0;
        Time until = now + 50 * ms + random_time_below(1500 * ms);
        node.disk.inject_fault({static_cast<node::FaultKind>(kind), now, until, count, magnitude});
        node.disk.tick(now);
        run_due_work(node);
    } else if (pick < kinds[0] + kinds[1]) {
        auto &edge = *edges[random_below(edges.size())];
        if (edge.links.empty())
            return;
        auto l = edge.links.begin();
        std::advance(l, static_cast<std::ptrdiff_t>(random_below(edge.links.size())));
        auto link = l->second;
        auto id = l->first;
        if (happens(0.6)) { // delays all traffic on the connection, in both directions
            ++result.event_counts["held"];
            link->connection.held_until = now + random_time_below(1800 * ms);
        } else if (link->up) {
            ++result.event_counts["severed"];
            link->connection.open = false;
            edge.links.erase(id);
            rule_checker.connection_closed(now, rules::ConnectionId{link->connection.id}, false);
            if (happens(0.5))
                node.peers.erase(link->node_connection);
            edge.core->node_disconnected(now, id);
            settle(edge);
        }
    } else if (pick < kinds[0] + kinds[1] + kinds[2]) {
        bool lose = happens(0.4);
        ++result.event_counts[lose ? "restart with loss" : "restart"];
        rule_checker.node_started(now, node.id);
        if (lose)
            rule_checker.unflushed_data_lost(now, node.id);
        node.disk.restart(now, lose);
        endpoint_states[node.id].second = now;
        change_endpoint_list();
    } else {
        if (endpoint_states[node.id].first != NodeState::ready)
            return;
        ++result.event_counts["drain and replacement"];
        endpoint_states[node.id].first = NodeState::draining;
        change_endpoint_list();
        schedule(now + 500 * ms + random_time_below(sec), [this, id = node.id] {
            // Removes the node and its connections. A new node serves its shard from now on.
            auto old = std::move(nodes.at(id));
            nodes.erase(id);
            auto shard = old->shard;
            while (!old->peers.empty())
                old->close(old->peers.begin()->first, true);
            old.reset();
            endpoint_states[id].first = NodeState::removed;
            rule_checker.node_started(now, add_node(shard).id);
            change_endpoint_list();
        });
    }
}

Result Simulation::run() {
    for (int i = 0; i < 5; ++i) {
        bool writes = i == 1 || i == 2;
        rule_checker.set_workload(
            i, client_timeout,
            !writes                 ? Idempotency::idempotent
            : scenario.at_most_once ? Idempotency::at_most_once
                                    : Idempotency::deduplicated,
            writes ? window : 0,
            writes ? (scenario.at_most_once ? client_timeout + 100 * ms : key_rest) : 0);
    }
    rule_checker.set_split_sizes(extent, span);
    rule_checker.set_attempts(3, false);
    rule_checker.set_drain_grace(drain_grace);
    rule_checker.set_cold(2 / seconds(unit_time), 0.25, 3 * sec, sec, 4);
    // With small buffers, attempts also wait for buffer space, which the recorded traffic does not
    // show; the rule cannot be checked then.
    if (!small_buffers())
        rule_checker.set_retry_budget(0.3, 4, 2 * sec);
    rule_checker.set_connect_timeout(connect_time + 20 * ms);
    stored_bytes.resize(scenario.nodes);
    for (std::uint32_t i = 0; i < scenario.nodes; ++i)
        add_node(ShardId{static_cast<std::int32_t>(i)});
    std::vector<ShardId> all;
    for (std::uint32_t i = 0; i < scenario.nodes; ++i)
        all.emplace_back(static_cast<std::int32_t>(i));
    ++version;
    for (std::size_t i = 0; i < scenario.edges; ++i) {
        edges.push_back(std::make_unique<SimulatedEdge>(*this, i));
        auto &edge = *edges.back();
        edge.core = std::make_unique<edge::Core>(
            edge, [&](SchedulerActions &a) { return make_scheduler(a, scenario.seed + i); },
            edge::CoreConfig{i, scenario.seed, extent, span, unit, all});
        configure_edge(*edge.core, i);
        if (scenario.limits && !small_buffers())
            rule_checker.set_limit(
                VolumeId{i + 1}, limit_rate, limit_burst,
                // Units are charged at the first attempt. If its connection is never established,
                // the recorded traffic first shows the second attempt, up to connect_time later.
                limit_burst / 10 + (scenario.cuts > 0 ? limit_rate * seconds(connect_time) : 0));
        deliver_endpoint_list(edge);
    }
    for (std::size_t i = 0; i < scenario.clients; ++i) {
        clients.push_back(std::make_unique<SimulatedClient>(*this, 0, i % scenario.edges));
        clients.back()->connect();
    }
    double troubles =
        2 + 4 * seconds(scenario.length) *
                (scenario.faults + scenario.cuts + scenario.restarts + scenario.drains) / 4;
    for (int i = 0; i < static_cast<int>(troubles); ++i)
        schedule(now + random_time_below(scenario.length), [this] { inject_random_fault(); });
    for (int i = 0; i < 3; ++i)
        schedule(now + random_time_below(scenario.length),
                 [this] { clients[random_below(clients.size())]->leave(); });
    schedule(now + scenario.length, [this] { over = true; });
    Time last = now + scenario.length + 3 * client_timeout;
    while (!queue.empty() && queue.begin()->first.first <= last) {
        auto first = queue.begin();
        now = std::max(now, first->first.first);
        auto f = std::move(first->second);
        queue.erase(first);
        f();
        ++result.events;
    }
    rule_checker.finish(now);
    result.violations = rule_checker.breach_lines();
    result.requests = rule_checker.requests(), result.delivered = rule_checker.delivered(),
    result.shots = rule_checker.attempts();
    static constexpr const char *rules[] = {"answers", "effects", "drains", "cold",
                                            "order",   "further", "limits", "data"};
    for (std::size_t i = 0; i < 8; ++i)
        result.event_counts[std::string("judged ") + rules[i]] =
            rule_checker.checks(static_cast<rules::Rule>(i + 1));
    for (auto &edge : edges)
        if (edge->core->scheduled_requests() > 0)
            result.violations.push_back("edge " + std::to_string(edge->index) + " still holds " +
                                        std::to_string(edge->core->scheduled_requests()) +
                                        " scheduled requests at the end of the simulation");
    return std::move(result);
}

} // namespace

Result simulate(const Scenario &scenario) {
    return Simulation(scenario).run();
}

} // namespace knotvane::sim
