#include "sim/snapshot_simulation.hpp"

#include <algorithm>
#include <cstring>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <set>

#include "edge/core.hpp"
#include "edge/planner_client.hpp"
#include "load/session.hpp"
#include "nbd/wire.hpp"
#include "node/planner_registration.hpp"
#include "node/storage_node.hpp"
#include "planner/core.hpp"
#include "rules/history.hpp"
#include "sim/in_memory_state_store.hpp"

namespace knotvane::sim {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
constexpr std::uint64_t volume_size = 512 << 10, extent = 64 << 10, span = 16 << 10,
                        unit = 16 << 10;
constexpr std::uint64_t block = 4096,
                        active_blocks =
                            48; // clients access only these blocks, which lie in three extents
constexpr Time client_timeout = 1500 * ms, window = 700 * ms, key_rest = 800 * ms;
constexpr VolumeId volume{7};
using control::EdgeId;
using planner::SessionId;
using rules::WriteNumber;

// A connection with two ends. Bytes arrive in order after a delay. A closed end receives nothing
// more, but the bytes that it sent before still arrive.
struct Connection {
    bool open[2] = {true, true};
    Time last[2] = {0, 0}, held = 0;
    std::function<void(std::string_view)> on_bytes[2];
    std::function<void()> on_closed[2];
};
using ConnectionPtr = std::shared_ptr<Connection>;

struct Simulation;

struct SimulatedNode final : node::Transport {
    Simulation &simulation;
    NodeId id;
    ShardId shard;
    std::string bytes;
    std::unique_ptr<store::Medium> medium = store::memory_medium(bytes);
    store::Store store{*medium};
    node::StorageNode disk;
    std::unique_ptr<node::PlannerRegistration> registration;
    ConnectionPtr planner;
    std::map<node::ConnectionId, ConnectionPtr> connections;
    bool listening = true;
    Time wake = never;

    SimulatedNode(Simulation &owner, NodeId i, ShardId s, std::uint64_t seed, Time now);
    void send(node::ConnectionId connection_id, std::string out) override;
    void close(node::ConnectionId connection_id, bool reset) override;
    void listen(bool open) override;
    void log_event(std::string) override {}
};

struct SimulatedEdge final : edge::Shell, edge::PlannerClientActions {
    Simulation &simulation;
    std::uint64_t id;
    std::uint64_t start_count = 0;
    std::unique_ptr<edge::Core> core;
    std::unique_ptr<edge::PlannerClient> planner_client;
    ConnectionPtr planner;
    std::map<edge::NodeConnectionId, ConnectionPtr> links;
    std::map<edge::ClientId, ConnectionPtr> clients;
    std::uint64_t next_client = 0;
    bool paused = false, cut_off = false;
    Time paused_until = 0; // end of the last pause
    std::vector<std::function<void()>> deferred_calls;
    Time wake = never;

    SimulatedEdge(Simulation &owner, std::uint64_t i) : simulation(owner), id(i) {}
    void start();
    void stop();
    void run_or_defer(const std::function<void()> &call);
    // ---- edge::Shell
    void connect(edge::NodeConnectionId link, const std::string &address) override;
    void send(edge::NodeConnectionId link, std::string bytes) override;
    void close(edge::NodeConnectionId link) override;
    void send_client(edge::ClientId client, std::string bytes) override;
    void close_client(edge::ClientId client) override;
    void pause_client(edge::ClientId, bool) override {}
    void log_event(std::string) override {}
    void attempt_completed(RequestId, NodeId node, AttemptOutcome how, Time) override;
    void volume_used(VolumeId v, bool on) override;
    void snapshot_step_done(VolumeId as, control::SnapshotStep step,
                            control::EdgeIncarnation incarnation) override;
    // ---- edge::PlannerClientActions
    void connect_planner() override;
    void disconnect_planner() override;
    void send_planner(std::string bytes) override;
    void store_cluster_state(std::string, bool) override {}
    void cluster_state_changed(const control::ClusterState &table, bool nodes, bool plans,
                               const std::map<NodeId, Time> &started) override;
    void quota_share_changed(VolumeId v, double hosts) override;
    void snapshot_hold(const control::SnapshotHold &order) override;
    void snapshot_resume(const control::SnapshotResume &order) override;
    void snapshot_release(const control::SnapshotRelease &order) override;
    void planner_lost() override;
    std::uint64_t lists = 0;
};

// Writes and reads continuously, and records its requests and replies in the history.
struct SimulatedClient final : load::Replies {
    Simulation &simulation;
    std::size_t edge_index;
    std::unique_ptr<load::Session> session;
    ConnectionPtr connection;
    std::uint64_t cookie = 0;
    std::map<std::uint64_t, std::pair<WriteNumber, Time>> outstanding_writes;
    SimulatedClient(Simulation &owner, std::size_t edge) : simulation(owner), edge_index(edge) {}
    void connect();
    void send_requests();
    void send_pending_bytes();
    void opened(std::uint64_t, std::uint16_t) override { send_requests(); }
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t c, std::uint32_t error, std::string_view) override;
    void broken(std::string_view) override {}
};

struct Simulation final : planner::PlannerTransport {
    const SnapshotScenario &scenario;
    SnapshotSimulationResult out;
    Time now = 100 * sec;
    std::ranlux24_base random;
    std::uint64_t sequence = 0;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> queue;
    std::unique_ptr<planner::Core> core;
    InMemoryStateStore state_store;
    Time planner_wake = never;
    std::map<SessionId, ConnectionPtr> planner_connections;
    std::uint64_t next_session = 0, instances = 0, next_node_connection = 0, last_name_number = 0;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    std::vector<std::unique_ptr<SimulatedEdge>> edges;
    std::vector<std::unique_ptr<SimulatedClient>> clients;
    rules::History history;
    // By name: when the snapshot was requested and reported, and its contents at that time.
    struct TakenSnapshot {
        Time called, returned;
        VolumeId id;
        std::map<std::uint64_t, WriteNumber> held;
    };
    std::map<std::string, TakenSnapshot> snapshots;
    bool faults_ended = false;

    explicit Simulation(const SnapshotScenario &configuration)
        : scenario(configuration),
          random(static_cast<std::ranlux24_base::result_type>(configuration.seed * 7919 + 5)) {}
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
    Time delay() {
        return !faults_ended && happens(0.02) ? random_time_below(60 * ms)
                                              : 50 * us + random_time_below(500 * us);
    }
    void report_violation(std::string what) {
        if (out.violations.size() < 10)
            out.violations.push_back("seed " + std::to_string(scenario.seed) + ", " +
                                     std::to_string(now / ms) + "ms: " + what);
    }

    // ---- Wires. `from`: the end that sends.
    std::vector<std::weak_ptr<Connection>> connections;
    ConnectionPtr make_connection() {
        auto made = std::make_shared<Connection>();
        connections.push_back(made);
        return made;
    }
    // Ends hold on to their wires.
    ~Simulation() override {
        queue.clear();
        for (auto &weak : connections)
            if (auto connection = weak.lock())
                for (int end : {0, 1})
                    connection->on_bytes[end] = nullptr, connection->on_closed[end] = nullptr;
    }
    void send(const ConnectionPtr &connection, int from, std::string bytes) {
        if (!connection->open[from])
            return;
        auto &last = connection->last[from];
        last = std::max({last, now + delay(), connection->held});
        schedule(last, [connection, to = 1 - from, b = std::move(bytes)] {
            if (connection->open[to])
                connection->on_bytes[to](b);
        });
    }
    void close(const ConnectionPtr &connection, int from) {
        if (!std::exchange(connection->open[from], false))
            return;
        schedule(std::max(connection->last[from], now + delay()),
                 [connection, to = 1 - from] { end(connection, to); });
    }
    // A connection closed before it was established has no callback at its other end.
    static void end(const ConnectionPtr &connection, int end_index) {
        if (std::exchange(connection->open[end_index], false) && connection->on_closed[end_index])
            connection->on_closed[end_index]();
    }
    void sever(const ConnectionPtr &connection) {
        for (int end_index : {0, 1})
            schedule(now + random_time_below(20 * ms),
                     [connection, end_index] { end(connection, end_index); });
    }

    // ---- The planner.
    planner::DesiredState wanted() const {
        planner::DesiredState p;
        p.version = 1;
        p.plans["p"] = {"p", 1, 1000, 0, 1, 0, 0};
        control::Volume v;
        v.name = "v", v.size = volume_size, v.alignment_bytes = 512;
        p.volumes[volume] = {v, "p", 0};
        for (std::uint32_t i = 0; i < scenario.nodes; ++i)
            p.nodes[NodeId{i + 1}] = {ShardId{static_cast<std::int32_t>(i)}, ZoneId{0}, false, "",
                                      0};
        return p;
    }
    void start_planner() {
        state_store.restart();
        planner::PlannerConfig config;
        config.lease = 3 * sec;
        config.lease_margin = 250 * ms;
        config.fade = 20 * sec;
        config.node_silence = 500 * ms;
        config.node_removal_delay = 200 * ms;
        config.node_return_delay = 200 * ms;
        config.drain_time = sec;
        core = std::make_unique<planner::Core>(*this, state_store, config);
        for (auto &[key, row] : state_store.rows) {
            auto [kind, a, b] = key;
            if (auto fault = core->restore(kind, a, b, row.stamp, row.body); !fault.empty())
                report_violation("the planner cannot restore a stored row: " + fault);
        }
        planner::PlannerStart from{state_store.position, ++instances, false};
        if (state_store.position.term == planner::Term{0})
            from.position.lineage = scenario.seed + 1;
        from.position.term = planner::Term{state_store.position.term.value + 1};
        if (!core->start(now, from))
            return crash_planner();
        for (auto &[line, what] : core->apply_desired_state(now, wanted()))
            report_violation("the planner rejected the desired state: " + what);
        run_planner();
    }
    void crash_planner() {
        ++out.event_counts["planner deaths"];
        core.reset();
        planner_wake = never;
        for (auto &[id, connection] : std::exchange(planner_connections, {}))
            close(connection, 1);
        schedule(now + 50 * ms + random_time_below(800 * ms), [this] {
            if (!core)
                start_planner();
        });
    }
    void run_planner() {
        if (!core)
            return;
        core->settle(now);
        if (state_store.died)
            return crash_planner();
        auto due = core->next_due();
        if (due >= planner_wake)
            return;
        planner_wake = due;
        schedule(std::max(due, now + 1), [this, due] {
            if (planner_wake != due)
                return;
            planner_wake = never;
            run_planner();
        });
    }
    // Connects to the planner, which is end 1. Without a running planner there is no reply.
    ConnectionPtr to_planner(std::function<void(std::string_view)> hear,
                             std::function<void()> ended) {
        auto connection = make_connection();
        SessionId session_id{++next_session};
        connection->on_bytes[0] = std::move(hear), connection->on_closed[0] = std::move(ended);
        connection->on_bytes[1] = [this, session_id](std::string_view b) {
            if (!core)
                return;
            core->received(now, session_id, b);
            run_planner();
        };
        connection->on_closed[1] = [this, session_id] {
            planner_connections.erase(session_id);
            if (!core)
                return;
            core->disconnected(now, session_id);
            run_planner();
        };
        planner_connections[session_id] = connection;
        core->connected(now, session_id);
        return connection;
    }
    void send(SessionId session_id, std::string bytes) override {
        if (auto it = planner_connections.find(session_id); it != planner_connections.end())
            send(it->second, 1, std::move(bytes));
    }
    void close(SessionId session_id) override {
        auto it = planner_connections.find(session_id);
        if (it == planner_connections.end())
            return;
        auto connection = it->second;
        planner_connections.erase(it);
        close(connection, 1);
        schedule(now, [this, session_id] {
            if (core)
                core->disconnected(now, session_id), run_planner();
        });
    }
    void log_event(std::string) override {}
    void retired() override {
        report_violation("the only planner retired, although no newer term exists");
    }

    // ---- Timers and due work.
    template <class Host, class Due>
    void wake(Host &host, Due due, const std::function<void()> &run) {
        if (due >= host.wake)
            return;
        host.wake = due;
        schedule(std::max(due, now + 1), [&host, due, run] {
            if (host.wake != due)
                return;
            host.wake = never;
            run();
        });
    }
    void run_due_work(SimulatedNode &node) {
        node.disk.tick(now);
        node.registration->tick(now);
        wake(node, std::min(node.disk.next_due(), node.registration->next_due()),
             [this, &node] { run_due_work(node); });
    }
    void run_due_work(SimulatedEdge &edge) {
        if (!edge.core || edge.paused)
            return;
        edge.planner_client->tick(now);
        edge.core->settle(now);
        wake(edge, std::min(edge.core->next_due(), edge.planner_client->next_due()),
             [this, &edge] { run_due_work(edge); });
    }

    // ---- Operators.
    // Looks up the name in the planner's store, because the planner may have crashed since it
    // replied. Returns 0 if there is no such volume.
    VolumeId find_volume_id(const std::string &name) const {
        struct Row final : control::MessageHandler {
            std::string name;
            using MessageHandler::handle;
            void handle(const control::VolumeUpdate &m) override { name = m.volume.name; }
            void handle_unexpected(std::string_view) override {}
        };
        for (auto &[key, row] : state_store.rows) {
            auto [kind, id, b] = key;
            if (kind != planner::StateStore::Row::volume)
                continue;
            Row r;
            control::MessageDecoder().decode(row.body, r);
            if (r.name == name)
                return VolumeId{id};
        }
        return VolumeId{};
    }
    void operate(std::string question, std::function<void(bool done)> heard) {
        if (!core)
            return;
        struct ResultHandler final : control::MessageHandler {
            std::function<void(bool)> heard;
            using MessageHandler::handle;
            void handle(const control::OperationResult &m) override {
                if (heard)
                    std::exchange(heard, nullptr)(m.done);
            }
            void handle_unexpected(std::string_view) override {}
        };
        auto result_handler = std::make_shared<ResultHandler>();
        auto reader = std::make_shared<control::MessageDecoder>();
        result_handler->heard = std::move(heard);
        auto connection = to_planner(
            [result_handler, reader](std::string_view b) { reader->decode(b, *result_handler); },
            [] {});
        send(connection, 0, std::move(question));
    }
    void take_snapshot() {
        auto name = std::to_string(++last_name_number);
        Time called = now;
        operate(control::encode(
                    control::SnapshotRequest{control::SnapshotOperation::take, "v", name, ""}),
                [this, name, called](bool done) {
                    auto full = "v@" + name;
                    if (!done)
                        return void(++out.snapshots_refused);
                    ++out.snapshots_taken;
                    auto id = find_volume_id(full);
                    snapshots[full] = {called, now, id, stored_writes(id)};
                    if (happens(0.3))
                        drop_or_clone_snapshot(full);
                });
    }
    void drop_or_clone_snapshot(const std::string &full) {
        if (happens(0.5)) {
            operate(control::encode(
                        control::SnapshotRequest{control::SnapshotOperation::drop, full, "", ""}),
                    [this, full](bool done) {
                        if (done)
                            judge(full), snapshots.erase(full);
                    });
            return;
        }
        auto as = "c" + std::to_string(++last_name_number);
        operate(control::encode(
                    control::SnapshotRequest{control::SnapshotOperation::clone, full, as, ""}),
                [this, full, as](bool done) {
                    if (!done || !snapshots.contains(full))
                        return;
                    ++out.clones;
                    if (stored_writes(find_volume_id(as)) != snapshots.at(full).held)
                        report_violation("clone " + as + " differs from snapshot " + full);
                });
    }
    // Reads the volume from the stores and returns the number of the write in each block.
    std::map<std::uint64_t, WriteNumber> stored_writes(VolumeId id) {
        edge::Layout layout(extent, span, all_shards());
        std::map<std::uint64_t, WriteNumber> got;
        for (std::uint64_t b = 0; b < active_blocks; ++b) {
            auto shard = layout.shard_of(volume, b * block);
            auto &node = *nodes[static_cast<std::size_t>(shard.value)];
            std::string bytes;
            if (!node.store.contains(id)) {
                report_violation("snapshot " + std::to_string(id.value & 0xffff) +
                                 " is missing on node " + std::to_string(node.id.value));
                return got;
            }
            if (!node.store.read(id, b * block, block, bytes))
                report_violation("block " + std::to_string(b) + " does not match its checksum");
            std::uint64_t no = 0;
            std::memcpy(&no, bytes.data(), sizeof no);
            if (no == 0)
                continue;
            for (std::size_t i = 0; i < block; i += sizeof no)
                if (std::memcmp(bytes.data() + i, &no, sizeof no) != 0)
                    report_violation("block " + std::to_string(b) + " contains data of two writes");
            got[b] = WriteNumber{no};
        }
        return got;
    }
    void judge(const std::string &full) {
        auto &s = snapshots.at(full);
        for (auto &what : history.check_snapshot(s.called, s.returned, s.held))
            report_violation(full + ": " + what);
    }
    std::vector<ShardId> all_shards() const {
        std::vector<ShardId> out_shards;
        for (std::uint32_t i = 0; i < scenario.nodes; ++i)
            out_shards.emplace_back(static_cast<std::int32_t>(i));
        return out_shards;
    }

    void inject_random_fault();
    SnapshotSimulationResult run();
};

// ---- Nodes.
SimulatedNode::SimulatedNode(Simulation &owner, NodeId i, ShardId s, std::uint64_t seed, Time now)
    : simulation(owner), id(i), shard(s), disk(i, s, store, *this, seed, now - 3600 * sec) {
    disk.set_service_model({.unit_time = ms, .cores = 2, .slots = 4, .queue_capacity = 64});
    node::PlannerRegistration::Actions line;
    line.connect = [this] {
        simulation.schedule(simulation.now + simulation.delay(), [this] {
            if (!listening)
                return;
            if (!simulation.core) {
                registration->disconnected(simulation.now);
                return simulation.run_due_work(*this);
            }
            planner = simulation.to_planner(
                [this](std::string_view b) {
                    registration->received(simulation.now, b), simulation.run_due_work(*this);
                },
                [this] {
                    planner.reset(), registration->disconnected(simulation.now),
                        simulation.run_due_work(*this);
                });
            registration->connected(simulation.now);
            simulation.run_due_work(*this);
        });
    };
    line.disconnect = [this] {
        if (auto p = std::exchange(planner, nullptr))
            simulation.close(p, 0);
    };
    line.send = [this](std::string b) {
        if (planner)
            simulation.send(planner, 0, std::move(b));
    };
    line.log_event = [](std::string) {};
    line.open_snapshot = [this](VolumeId of, VolumeId as, std::uint32_t epoch,
                                const std::vector<control::EdgeIncarnation> &late) {
        std::set<control::EdgeIncarnation> who(late.begin(), late.end());
        if (simulation.scenario.nodes_admit_all_edges)
            for (std::uint32_t edge = 0; edge < simulation.scenario.edges; ++edge)
                who.insert(
                    simulation.edges[edge]->core
                        ? control::EdgeIncarnation{simulation.edges[edge]->core->incarnation()}
                        : control::EdgeIncarnation{});
        if (simulation.scenario.nodes_seal_at_once) {
            // Seals the snapshot at once, like a store without support for late writes.
            auto how = store.take_snapshot(of, as);
            return static_cast<control::SnapshotResult>(how);
        }
        return static_cast<control::SnapshotResult>(
            disk.open_snapshot(of, as, epoch, std::move(who)));
    };
    line.seal_snapshot = [this](VolumeId of, VolumeId as) { return disk.seal_snapshot(of, as); };
    line.drop_snapshot = [this](VolumeId as) { return disk.drop_snapshot(as); };
    line.open_clone = [this](VolumeId of, VolumeId as) {
        return static_cast<control::SnapshotResult>(disk.clone(of, as));
    };
    line.diff = [this](VolumeId a, VolumeId b) { return store.diff(a, b); };
    registration = std::make_unique<node::PlannerRegistration>(
        line, node::PlannerRegistrationConfig{id, shard, ZoneId{0}, std::to_string(id.value),
                                              seed + id.value, 100 * ms});
    registration->start(now, 1, now - 3600 * sec);
}
void SimulatedNode::send(node::ConnectionId connection_id, std::string out) {
    if (auto it = connections.find(connection_id); it != connections.end())
        simulation.send(it->second, 1, std::move(out));
}
void SimulatedNode::close(node::ConnectionId connection_id, bool) {
    auto it = connections.find(connection_id);
    if (it == connections.end())
        return;
    simulation.close(it->second, 1);
    connections.erase(it);
}
void SimulatedNode::listen(bool open) {
    listening = open;
}

// ---- Edges.
void SimulatedEdge::run_or_defer(const std::function<void()> &call) {
    if (paused)
        deferred_calls.push_back(call);
    else if (core)
        call(), simulation.run_due_work(*this);
}
void SimulatedEdge::start() {
    ++start_count;
    core = std::make_unique<edge::Core>(
        *this,
        [&](SchedulerActions &a) { return make_scheduler(a, simulation.scenario.seed + id); },
        edge::CoreConfig{id, simulation.scenario.seed + start_count * 1000, extent, span, unit,
                         simulation.all_shards()});
    auto &s = core->scheduler();
    SchedulerConfig config;
    config.self = SchedulerId{static_cast<std::uint32_t>(id)};
    config.scheduler_count = simulation.scenario.edges;
    config.max_retry_after = sec;
    config.units = {2, 9, 0.35, 0.08};
    config.attempts = {3, false, true};
    s.configure(config);
    for (std::uint32_t i = 0; i < 5; ++i) {
        bool writes = i == 1 || i == 2;
        WorkloadConfig workload;
        workload.latency_objective = 300 * ms;
        workload.late_value_fraction = 0.1;
        workload.deduplication_scope = DeduplicationScope::shard;
        if (writes) {
            workload.idempotency = Idempotency::deduplicated;
            workload.deduplication_window = window;
            workload.ordered_by_key = true;
            workload.key_cooldown = key_rest;
        }
        s.set_workload(WorkloadId{i}, workload);
        core->add_workload({WorkloadId{i}, static_cast<edge::Command>(i), ~0u, "", client_timeout,
                            writes ? window : 0});
    }
    core->set_node_connections({2, 250 * ms, 300 * ms, 2 * sec, 1 << 20});
    core->set_admission_limits({16, 64 << 10, 256, 4 << 20});
    core->start(simulation.now);
    planner_client = std::make_unique<edge::PlannerClient>(
        *this,
        edge::PlannerClientConfig{EdgeId{id}, "e", simulation.scenario.seed + start_count * 31 + id,
                                  100 * ms, 3600 * sec});
    core->follow_cluster_state(planner_client->replica().cluster_state());
    lists = 0;
    planner_client->start(simulation.now, {});
    simulation.run_due_work(*this);
}
void SimulatedEdge::stop() {
    if (planner)
        simulation.close(std::exchange(planner, nullptr), 0);
    for (auto &[l, connection] : std::exchange(links, {}))
        simulation.close(connection, 0);
    for (auto &[c, connection] : std::exchange(clients, {}))
        simulation.close(connection, 1);
    core.reset(), planner_client.reset();
    paused = false, deferred_calls.clear(), wake = never;
}
void SimulatedEdge::connect(edge::NodeConnectionId link, const std::string &address) {
    auto connection = simulation.make_connection();
    links[link] = connection;
    auto incarnation = start_count;
    connection->on_bytes[0] = [this, link, incarnation](std::string_view b) {
        run_or_defer([this, link, incarnation, bytes = std::string(b)] {
            if (incarnation == start_count && links.contains(link))
                core->node_received(simulation.now, link, bytes);
        });
    };
    connection->on_closed[0] = [this, link, incarnation] {
        run_or_defer([this, link, incarnation] {
            if (incarnation == start_count && links.erase(link))
                core->node_disconnected(simulation.now, link);
        });
    };
    auto &node = *simulation.nodes[std::stoull(address) - 1];
    simulation.schedule(
        simulation.now + simulation.delay(), [this, link, incarnation, connection, &node] {
            if (!connection->open[0])
                return;
            if (!node.listening) {
                connection->open[0] = false;
                return run_or_defer([this, link, incarnation] {
                    if (incarnation == start_count && links.erase(link))
                        core->node_connect_failed(simulation.now, link);
                });
            }
            node::ConnectionId connection_id{++simulation.next_node_connection};
            node.connections[connection_id] = connection;
            connection->on_bytes[1] = [this, &node, connection_id](std::string_view b) {
                node.disk.received(simulation.now, connection_id, b), simulation.run_due_work(node);
            };
            connection->on_closed[1] = [this, &node, connection_id] {
                node.connections.erase(connection_id), node.disk.disconnected(connection_id);
            };
            node.disk.connected(simulation.now, connection_id);
            run_or_defer([this, link, incarnation] {
                if (incarnation == start_count && links.contains(link))
                    core->node_connected(simulation.now, link);
            });
        });
}
void SimulatedEdge::send(edge::NodeConnectionId link, std::string bytes) {
    auto it = links.find(link);
    if (it == links.end())
        return;
    auto size = bytes.size();
    simulation.send(it->second, 0, std::move(bytes));
    simulation.schedule(simulation.now, [this, link, size, incarnation = start_count] {
        run_or_defer([this, link, size, incarnation] {
            if (incarnation == start_count && links.contains(link))
                core->node_sent(simulation.now, link, size);
        });
    });
}
void SimulatedEdge::close(edge::NodeConnectionId link) {
    auto it = links.find(link);
    if (it == links.end())
        return;
    auto connection = it->second;
    links.erase(it);
    simulation.close(connection, 0);
}
void SimulatedEdge::send_client(edge::ClientId client, std::string bytes) {
    auto it = clients.find(client);
    if (it == clients.end())
        return;
    auto size = bytes.size();
    simulation.send(it->second, 1, std::move(bytes));
    simulation.schedule(simulation.now, [this, client, size, incarnation = start_count] {
        run_or_defer([this, client, size, incarnation] {
            if (incarnation == start_count && clients.contains(client))
                core->client_sent(simulation.now, client, size);
        });
    });
}
void SimulatedEdge::close_client(edge::ClientId client) {
    auto it = clients.find(client);
    if (it == clients.end())
        return;
    auto connection = it->second;
    clients.erase(it);
    simulation.close(connection, 1);
}
void SimulatedEdge::attempt_completed(RequestId, NodeId node, AttemptOutcome how, Time) {
    planner_client->attempt_completed(simulation.now, node, how);
}
void SimulatedEdge::volume_used(VolumeId v, bool on) {
    planner_client->volume_used(simulation.now, v, on);
}
void SimulatedEdge::snapshot_step_done(VolumeId as, control::SnapshotStep step,
                                       control::EdgeIncarnation l) {
    planner_client->report_snapshot_step(as, step, l);
}
void SimulatedEdge::connect_planner() {
    simulation.schedule(simulation.now + simulation.delay(), [this, incarnation = start_count] {
        if (incarnation != start_count || !planner_client || paused)
            return;
        if (!simulation.core || cut_off) {
            planner_client->disconnected(simulation.now);
            return simulation.run_due_work(*this);
        }
        auto connection = std::make_shared<ConnectionPtr>();
        *connection = planner = simulation.to_planner(
            [this, incarnation](std::string_view b) {
                run_or_defer([this, incarnation, bytes = std::string(b)] {
                    if (incarnation == start_count && planner)
                        planner_client->received(simulation.now, bytes);
                });
            },
            [this, incarnation, connection] {
                run_or_defer([this, incarnation, connection] {
                    if (incarnation == start_count && planner == *connection)
                        planner.reset(), planner_client->disconnected(simulation.now);
                });
            });
        planner_client->connected(simulation.now);
        simulation.run_due_work(*this);
    });
}
void SimulatedEdge::disconnect_planner() {
    if (planner)
        simulation.close(std::exchange(planner, nullptr), 0);
}
void SimulatedEdge::send_planner(std::string bytes) {
    if (planner)
        simulation.send(planner, 0, std::move(bytes));
}
void SimulatedEdge::cluster_state_changed(const control::ClusterState &table, bool nodes,
                                          bool plans, const std::map<NodeId, Time> &started) {
    if (plans)
        for (auto &[pid, p] : table.plans)
            core->set_plan(pid, edge::plan_config(p));
    core->cluster_state_changed(simulation.now);
    if (!nodes || !core->endpoint_list_begin(simulation.now, ++lists))
        return;
    for (auto &[nid, node] : table.nodes)
        core->endpoint_listed({nid, node.shard, node.zone, node.state, started.at(nid)},
                              node.address);
    core->endpoint_list_end();
}
void SimulatedEdge::quota_share_changed(VolumeId v, double hosts) {
    core->quota_share_changed(simulation.now, v, hosts);
}
void SimulatedEdge::snapshot_hold(const control::SnapshotHold &order) {
    auto [of, as, epoch, longest] = order;
    if (simulation.scenario.edges_skip_hold)
        return planner_client->report_snapshot_step(as, control::SnapshotStep::holding,
                                                    control::EdgeIncarnation{core->incarnation()});
    core->hold_snapshot(simulation.now, {of, as, epoch}, longest);
    if (simulation.scenario.edges_report_drained_at_once)
        planner_client->report_snapshot_step(as, control::SnapshotStep::drained,
                                             control::EdgeIncarnation{core->incarnation()});
}
void SimulatedEdge::snapshot_resume(const control::SnapshotResume &order) {
    auto [of, as, epoch] = order;
    if (simulation.scenario.edges_skip_hold) {
        // Enters the new epoch when told, without having held any writes.
        core->hold_snapshot(simulation.now, {of, as, epoch}, sec);
    }
    core->resume_snapshot(simulation.now, {of, as, epoch});
}
void SimulatedEdge::snapshot_release(const control::SnapshotRelease &order) {
    core->release_snapshot(simulation.now, order.volume, order.snapshot);
}
void SimulatedEdge::planner_lost() {
    core->planner_lost(simulation.now);
}

// ---- Clients.
void SimulatedClient::connect() {
    if (simulation.faults_ended)
        return;
    auto &edge = *simulation.edges[edge_index];
    if (!edge.core || edge.planner_client->replica().cluster_state().names.empty()) {
        simulation.schedule(simulation.now + 20 * ms, [this] { connect(); });
        return;
    }
    outstanding_writes.clear();
    connection = simulation.make_connection();
    session = std::make_unique<load::Session>(*this, "v", true);
    edge::ClientId id{++edge.next_client};
    edge.clients[id] = connection;
    auto mine = connection;
    auto incarnation = edge.start_count;
    connection->on_bytes[0] = [this, mine](std::string_view b) {
        if (connection != mine)
            return;
        session->bytes(b);
        send_pending_bytes();
    };
    connection->on_closed[0] = [this, mine] {
        if (connection == mine)
            simulation.schedule(simulation.now + 10 * ms + simulation.random_time_below(20 * ms),
                                [this] { connect(); });
    };
    connection->on_bytes[1] = [&edge, id, incarnation, this](std::string_view b) {
        edge.run_or_defer([&edge, id, incarnation, this, bytes = std::string(b)] {
            if (incarnation == edge.start_count && edge.clients.contains(id))
                edge.core->client_received(simulation.now, id, bytes);
        });
    };
    connection->on_closed[1] = [&edge, id, incarnation, this] {
        edge.run_or_defer([&edge, id, incarnation, this] {
            if (incarnation == edge.start_count && edge.clients.erase(id))
                edge.core->client_disconnected(simulation.now, id);
        });
    };
    edge.run_or_defer([&edge, id, this] { edge.core->client_connected(simulation.now, id); });
}
void SimulatedClient::send_requests() {
    while (session->is_open() && session->flying() < 4 && !simulation.faults_ended) {
        auto c = ++cookie;
        auto first = simulation.random_below(active_blocks);
        auto blocks = static_cast<std::uint32_t>(
            1 + (simulation.happens(0.4) ? simulation.random_below(10)
                                         : 0)); // some cross span and extent boundaries
        blocks = std::min<std::uint32_t>(blocks, static_cast<std::uint32_t>(active_blocks - first));
        if (simulation.happens(0.1)) {
            session->ask(nbd::cmd_flush, 0, c, 0, 0);
            continue;
        }
        if (simulation.happens(0.1)) {
            session->ask(nbd::cmd_read, 0, c, first * block,
                         static_cast<std::uint32_t>(blocks * block));
            continue;
        }
        bool fua = simulation.happens(0.5);
        auto no = simulation.history.write_started(simulation.now, first, blocks, fua);
        ++simulation.out.writes;
        outstanding_writes[c] = {no, simulation.now};
        std::string data(blocks * block, '\0');
        for (std::size_t i = 0; i < data.size(); i += sizeof no.value)
            std::memcpy(data.data() + i, &no.value, sizeof no.value);
        session->ask(nbd::cmd_write, fua ? nbd::cmd_flag_fua : 0, c, first * block,
                     static_cast<std::uint32_t>(data.size()), data);
    }
}
void SimulatedClient::ended(std::uint64_t c, std::uint32_t error, std::string_view) {
    if (auto it = outstanding_writes.find(c); it != outstanding_writes.end()) {
        simulation.history.write_ended(it->second.first, simulation.now, error == 0);
        simulation.out.answered += error == 0;
        // Allows 150 ms for both network directions; a paused edge cannot reply in time.
        if (simulation.now - it->second.second > client_timeout + 150 * ms &&
            simulation.edges[edge_index]->paused_until < it->second.second)
            simulation.report_violation(
                "the reply to a write took longer than the client timeout: " +
                std::to_string((simulation.now - it->second.second) / ms) + "ms");
        if (error == 0)
            simulation.out.write_latencies.push_back(simulation.now - it->second.second);
        outstanding_writes.erase(it);
    }
    if (error == 0)
        return send_requests();
    simulation.schedule(simulation.now + simulation.random_time_below(40 * ms),
                        [this, mine = connection] {
                            if (connection == mine)
                                send_requests(), send_pending_bytes();
                        });
}
void SimulatedClient::send_pending_bytes() {
    auto bytes = session->take_out();
    if (!bytes.empty())
        simulation.send(connection, 0, std::move(bytes));
}

// ---- Faults.
void Simulation::inject_random_fault() {
    auto &edge = *edges[random_below(edges.size())];
    auto &node = *nodes[random_below(nodes.size())];
    switch (random_below(11)) {
    case 0: // a node process restarts; some lose unflushed data
    {
        bool lose = happens(0.5);
        ++out.event_counts[lose ? "node restarts with loss" : "node restarts"];
        node.registration->stop(now);
        if (lose)
            history.unflushed_data_lost(now);
        node.disk.restart(now, lose);
        node.registration->start(now, static_cast<std::uint64_t>(now), now);
        run_due_work(node);
        break;
    }
    case 1:
        if (!core)
            break;
        if (happens(0.5)) {
            crash_planner();
        } else {
            state_store.commit_fault = 1 + static_cast<int>(random_below(2));
        }
        break;
    case 2: // an edge loses the planner for a while and continues to serve clients
        if (!edge.planner || edge.cut_off)
            break;
        ++out.event_counts["edges cut off"];
        edge.cut_off = true;
        sever(edge.planner);
        schedule(now + random_time_below(2 * sec), [&edge] { edge.cut_off = false; });
        break;
    case 3: // messages between the edge and the planner are delayed
        if (!edge.planner)
            break;
        ++out.event_counts["planner's word late"];
        edge.planner->held = now + random_time_below(1200 * ms);
        break;
    case 4:
        if (edge.paused || !edge.core)
            break;
        ++out.event_counts["edges paused"];
        edge.paused = true;
        schedule(now + random_time_below(1500 * ms), [this, &edge, incarnation = edge.start_count] {
            if (incarnation != edge.start_count || !edge.paused)
                return;
            edge.paused = false, edge.paused_until = now;
            run_due_work(edge);
            for (auto &call : std::exchange(edge.deferred_calls, {}))
                call();
            edge.wake = never, run_due_work(edge);
        });
        break;
    case 5:
        if (!edge.core)
            break;
        ++out.event_counts["edge restarts"];
        edge.stop();
        schedule(now + 20 * ms + random_time_below(500 * ms), [&edge] {
            if (!edge.core)
                edge.start();
        });
        break;
    case 6:
    case 7: // attempts in transit arrive after the edge's timeout
        if (edge.links.empty())
            break;
        {
            auto l = edge.links.begin();
            std::advance(l, static_cast<std::ptrdiff_t>(random_below(edge.links.size())));
            ++out.event_counts["shots held"];
            l->second->held = now + random_time_below(1200 * ms);
        }
        break;
    case 8:
        if (edge.links.empty())
            break;
        ++out.event_counts["links severed"];
        sever(edge.links.begin()->second);
        break;
    default: {
        static constexpr node::FaultKind kinds[] = {node::FaultKind::hang,
                                                    node::FaultKind::slow,
                                                    node::FaultKind::delay_answer,
                                                    node::FaultKind::go_silent,
                                                    node::FaultKind::reject_requests,
                                                    node::FaultKind::truncate_answer};
        ++out.event_counts["node faults"];
        double magnitude = happens(0.5) ? 0.2 : 6;
        Time until = now + 20 * ms + random_time_below(700 * ms);
        node.disk.inject_fault(
            {.kind = kinds[random_below(6)], .from = now, .until = until, .magnitude = magnitude});
        node.disk.tick(now);
        run_due_work(node);
    }
    }
}

SnapshotSimulationResult Simulation::run() {
    start_planner();
    for (std::uint32_t i = 0; i < scenario.nodes; ++i) {
        nodes.push_back(std::make_unique<SimulatedNode>(
            *this, NodeId{i + 1}, ShardId{static_cast<std::int32_t>(i)}, scenario.seed, now));
        run_due_work(*nodes.back());
    }
    for (std::uint32_t i = 0; i < scenario.edges; ++i) {
        edges.push_back(std::make_unique<SimulatedEdge>(*this, i));
        edges.back()->start();
    }
    for (std::uint32_t i = 0; i < scenario.clients; ++i) {
        clients.push_back(std::make_unique<SimulatedClient>(*this, i % scenario.edges));
        clients.back()->connect();
    }
    Time begin = now + 500 * ms, end = begin + scenario.length;
    for (int i = 0; i < static_cast<int>(scenario.fault_rate * 3 * seconds(scenario.length)); ++i)
        schedule(begin + random_time_below(scenario.length), [this] { inject_random_fault(); });
    for (int i = 0; i < static_cast<int>(4 * seconds(scenario.length)); ++i)
        schedule(begin + random_time_below(scenario.length), [this] { take_snapshot(); });
    schedule(end, [this] { faults_ended = true; });
    Time last = end + 8 * sec;
    while (!queue.empty() && queue.begin()->first.first <= last) {
        auto first = queue.begin();
        now = std::max(now, first->first.first);
        auto f = std::move(first->second);
        queue.erase(first);
        f();
        ++out.events;
    }
    for (auto &[full, s] : snapshots) {
        judge(full);
        if (stored_writes(s.id) != s.held)
            report_violation(full + " changed after it was taken");
    }
    // Failed snapshots leave nothing behind; planner and nodes have the same volumes.
    if (!core)
        return std::move(out);
    for (auto &node : nodes) {
        std::set<VolumeId> expected;
        for (auto &[id, v] : core->state().cluster_state().volumes)
            if (v.is_snapshot_or_clone())
                expected.insert(id);
        for (auto id : node->store.snapshots())
            if (!expected.contains(id) && !core->is_incomplete(id))
                report_violation("node " + std::to_string(node->id.value) +
                                 " holds a snapshot or clone that the planner does not have");
        for (auto id : expected)
            if (!node->store.contains(id))
                report_violation("node " + std::to_string(node->id.value) +
                                 " lacks a complete snapshot or clone");
        for (auto &line : node->store.check())
            report_violation("node's store: " + line);
    }
    return std::move(out);
}

} // namespace

SnapshotSimulationResult simulate(const SnapshotScenario &scenario) {
    return Simulation(scenario).run();
}

} // namespace knotvane::sim
