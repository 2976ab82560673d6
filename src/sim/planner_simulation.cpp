#include "sim/planner_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "edge/planner_client.hpp"
#include "node/planner_registration.hpp"
#include "planner/core.hpp"
#include "sim/in_memory_state_store.hpp"

namespace knotvane::sim {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
using control::EdgeId;
using control::Version;
using planner::SessionId;

struct Simulation final : planner::PlannerTransport {
    struct SimulatedEdge final : edge::PlannerClientActions {
        Simulation &simulation;
        EdgeId id;
        double drift;
        Time offset;
        std::unique_ptr<edge::PlannerClient> planner_client;
        std::string disk;
        SessionId session_id{0};
        bool up = false, paused = false;
        Time wake = never;
        std::set<VolumeId> serving;
        std::map<VolumeId, std::int64_t>
            usable; // in millionths of the limit, as the edge's scheduler was told
        std::map<NodeId, NodeState> nodes;
        planner::Term term;
        Version version;

        SimulatedEdge(Simulation &owner, EdgeId i, double d, Time o)
            : simulation(owner), id(i), drift(d), offset(o) {}
        Time clock() const {
            return offset + simulation.now +
                   static_cast<Time>(static_cast<double>(simulation.now) * drift);
        }
        Time real(Time local) const {
            if (local >= never / 4)
                return never;
            return static_cast<Time>(static_cast<double>(local - offset) / (1 + drift)) + 1;
        }
        void connect_planner() override { simulation.connect(*this); }
        void disconnect_planner() override {
            simulation.disconnect(session_id, true), session_id = SessionId{0};
        }
        void send_planner(std::string bytes) override {
            simulation.to_planner(session_id, std::move(bytes));
        }
        void store_cluster_state(std::string bytes, bool replace) override {
            disk = replace ? std::move(bytes) : disk + bytes;
        }
        void log_event(std::string) override {}
        void cluster_state_changed(const control::ClusterState &table, bool, bool,
                                   const std::map<NodeId, Time> &started) override {
            simulation.apply_cluster_state(*this, table, started);
        }
        void quota_share_changed(VolumeId v, double hosts) override {
            auto is =
                std::isinf(hosts)
                    ? 0
                    : std::llround(static_cast<double>(control::full_limit_millionths) / hosts);
            if (!paused)
                simulation.usable[v] += is - usable[v];
            usable[v] = is;
        }
    };
    struct SimulatedNode {
        NodeId id;
        std::unique_ptr<node::PlannerRegistration> registration;
        SessionId session_id{0};
        std::uint64_t incarnation = 1;
        bool running = true;
        Time wake = never;
    };
    struct Connection {
        std::function<void(std::string_view)> to_far;
        std::function<void()> cut;
        bool open = true, first = true;
    };

    const PlannerScenario &scenario;
    PlannerSimulationResult out;
    std::ranlux24_base random;
    Time now = 1000 * sec;
    std::multimap<Time, std::function<void()>> events;
    std::unique_ptr<planner::Core> core;
    InMemoryStateStore disk;
    Time planner_wake = never;
    bool planner_paused = false;
    std::vector<std::function<void()>> deferred_calls;
    std::vector<std::unique_ptr<SimulatedEdge>> edges;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    std::map<SessionId, Connection> connections;
    std::uint64_t next_session = 0, instances = 0;
    planner::DesiredState wanted;
    std::map<VolumeId, std::int64_t> usable;
    std::map<std::pair<std::uint64_t, Version>, std::string> content; // by lineage and version
    std::map<NodeId, bool> requested_drain;                           // the operator's last request
    std::map<NodeId, std::set<Version>>
        undrained; // the earliest versions that can contain each undrain
    std::map<Version, Time> durable_at;
    std::map<Version, std::vector<Time>> reached;
    bool faults_ended = false;

    explicit Simulation(const PlannerScenario &configuration)
        : scenario(configuration),
          random(static_cast<std::ranlux24_base::result_type>(configuration.seed)) {}

    Time random_below(Time most) {
        auto drawn = static_cast<std::uint64_t>(random()) << 24 | random();
        return static_cast<Time>(drawn % static_cast<std::uint64_t>(std::max<Time>(1, most)));
    }
    bool happens(double probability) {
        return static_cast<double>(random()) < probability * static_cast<double>(random.max());
    }
    void schedule(Time when, std::function<void()> call) { events.emplace(when, std::move(call)); }
    void report_violation(std::string what) {
        if (out.violations.size() < 10)
            out.violations.push_back("seed " + std::to_string(scenario.seed) + ", " +
                                     std::to_string(now / ms) + "ms: " + what);
    }

    // ---- Network. A connection's first message arrives first; later messages have independent
    // delays and can overtake each other.
    void transmit(SessionId session_id, std::string bytes, Time extra,
                  std::function<void(std::string_view)> to) {
        auto it = connections.find(session_id);
        if (it == connections.end() || !it->second.open)
            return;
        bool first = std::exchange(it->second.first, false);
        if (!faults_ended && !first && happens(scenario.loss))
            return;
        int copies = !faults_ended && !first && happens(scenario.repeats) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            schedule(now + (first
                                ? 1
                                : 1 + random_below(faults_ended ? 5 * ms : scenario.delay) + extra),
                     [this, session_id, bytes, to] {
                         auto c = connections.find(session_id);
                         if (c != connections.end() && c->second.open)
                             to(bytes);
                     });
    }
    void connect(SimulatedEdge &edge) {
        schedule(now + random_below(2 * ms) + 1, [this, &edge] {
            if (!edge.planner_client || edge.paused)
                return;
            if (!core) {
                edge.planner_client->disconnected(edge.clock());
                return run(edge);
            }
            SessionId session_id{++next_session};
            edge.session_id = session_id, edge.up = true;
            auto far = [this, &edge, session_id](std::string_view in) {
                if (edge.session_id != session_id || !edge.planner_client)
                    return;
                std::string bytes(in);
                auto call = [this, &edge, session_id, bytes] {
                    if (edge.session_id != session_id || !edge.planner_client)
                        return;
                    edge.planner_client->received(edge.clock(), bytes);
                    run(edge);
                };
                if (edge.paused)
                    schedule(now + 10 * ms,
                             [this, &edge, far_call = call] { retry_paused(edge, far_call); });
                else
                    call();
            };
            connections[session_id] = {far, [this, &edge, session_id] {
                                           if (edge.session_id != session_id)
                                               return;
                                           edge.session_id = SessionId{0}, edge.up = false;
                                           if (!edge.planner_client)
                                               return;
                                           edge.planner_client->disconnected(edge.clock());
                                           if (!edge.paused)
                                               run(edge);
                                       }};
            run_in_planner([this, session_id] { core->connected(now, session_id); });
            edge.planner_client->connected(edge.clock());
            run(edge);
        });
    }
    void retry_paused(SimulatedEdge &edge, std::function<void()> call) {
        if (edge.paused)
            schedule(now + 10 * ms, [this, &edge, call] { retry_paused(edge, call); });
        else
            call();
    }
    void connect(SimulatedNode &node) {
        schedule(now + random_below(2 * ms) + 1, [this, &node] {
            if (!node.running)
                return;
            if (!core) {
                node.registration->disconnected(now);
                return run(node);
            }
            SessionId session_id{++next_session};
            node.session_id = session_id;
            connections[session_id] = {[this, &node, session_id](std::string_view in) {
                                           if (node.session_id == session_id && node.running)
                                               node.registration->received(now, in), run(node);
                                       },
                                       [this, &node, session_id] {
                                           if (node.session_id != session_id)
                                               return;
                                           node.session_id = SessionId{0};
                                           if (node.running)
                                               node.registration->disconnected(now), run(node);
                                       }};
            run_in_planner([this, session_id] { core->connected(now, session_id); });
            node.registration->connected(now);
            run(node);
        });
    }
    void to_planner(SessionId session_id, std::string bytes) {
        out.planner_bytes_in += bytes.size();
        transmit(session_id, std::move(bytes), 0, [this, session_id](std::string_view in) {
            run_in_planner([this, session_id, bytes = std::string(in)] {
                core->received(now, session_id, bytes);
            });
        });
    }
    // Closes the connection from the edge's or node's side; tells the planner if `by_far`.
    void disconnect(SessionId session_id, bool by_far) {
        auto it = connections.find(session_id);
        if (it == connections.end() || !std::exchange(it->second.open, false))
            return;
        if (by_far)
            run_in_planner([this, session_id] { core->disconnected(now, session_id); });
    }

    // ---- The planner.
    void run_in_planner(const std::function<void()> &call) {
        if (planner_paused) {
            deferred_calls.push_back(call);
            return;
        }
        if (!core)
            return;
        call();
        run_planner();
    }
    void run_planner() {
        if (!core || planner_paused)
            return;
        auto before = disk.position.version;
        core->settle(now);
        if (disk.died)
            return crash_planner();
        if (before != disk.position.version)
            durable_at[disk.position.version] = now, ++out.versions;
        auto due = core->next_due();
        planner_wake = due == never ? never : std::max(now, due);
    }
    void start_planner() {
        // The store as it is on disk: uncommitted changes are lost with the process.
        disk.restart();
        planner::PlannerConfig config;
        config.lease = scenario.lease;
        config.lease_margin = scenario.lease / 20 + 100 * ms;
        config.fade = scenario.fade;
        config.node_silence = 2 * sec;
        config.node_removal_delay = sec;
        config.node_return_delay = sec;
        config.drain_time = 2 * sec;
        core = std::make_unique<planner::Core>(*this, disk, config);
        for (auto &[key, row] : disk.rows) {
            auto [kind, a, b] = key;
            if (scenario.planner_loses_quota_shares &&
                kind == planner::StateStore::Row::quota_share)
                continue;
            if (auto fault = core->restore(kind, a, b, row.stamp, row.body); !fault.empty())
                report_violation("the planner cannot restore a stored row: " + fault);
        }
        ++out.terms;
        planner::PlannerStart from{disk.position, ++instances, false};
        if (disk.position.term == planner::Term{0})
            from.position.lineage = scenario.seed + 1;
        from.position.term = planner::Term{disk.position.term.value + 1};
        if (!core->start(now, from))
            return crash_planner();
        for (auto &[line, what] : core->apply_desired_state(now, wanted))
            report_violation("the planner rejected the desired state: " + what);
        run_planner();
    }
    void crash_planner() {
        ++out.event_counts["planner deaths"];
        core.reset();
        planner_paused = false, deferred_calls.clear(), planner_wake = never;
        for (auto &[session_id, c] : std::exchange(connections, {}))
            if (c.open)
                c.cut();
        schedule(now + 100 * ms +
                     (faults_ended ? 0 : random_below(happens(0.2) ? 30 * sec : 2 * sec)),
                 [this] {
                     if (!core)
                         start_planner();
                 });
    }
    void send(SessionId session_id, std::string bytes) override {
        out.planner_bytes_out += bytes.size();
        auto it = connections.find(session_id);
        if (it != connections.end())
            transmit(session_id, std::move(bytes),
                     scenario.late > 0 && !faults_ended ? random_below(scenario.late) : 0,
                     it->second.to_far);
    }
    void close(SessionId session_id) override {
        auto it = connections.find(session_id);
        if (it == connections.end() || !std::exchange(it->second.open, false))
            return;
        schedule(now + 1, [this, session_id] {
            if (auto c = connections.find(session_id); c != connections.end()) {
                auto cut = c->second.cut;
                connections.erase(c);
                cut();
            }
            run_in_planner([this, session_id] { core->disconnected(now, session_id); });
        });
    }
    void log_event(std::string) override {}
    void retired() override {
        report_violation("the only planner retired, although no newer term exists");
    }

    // ---- Edges and nodes.
    void run(SimulatedEdge &edge) {
        if (!edge.planner_client || edge.paused)
            return;
        edge.planner_client->tick(edge.clock());
        edge.wake = std::max(now, edge.real(edge.planner_client->next_due()));
    }
    void run(SimulatedNode &node) {
        if (!node.running)
            return;
        node.registration->tick(now);
        node.wake = std::max(now, node.registration->next_due());
    }
    void start(SimulatedEdge &edge) {
        edge.planner_client = std::make_unique<edge::PlannerClient>(
            edge, edge::PlannerClientConfig{edge.id, "e", scenario.seed + instances++,
                                            scenario.lease / 6, 24 * 3600 * sec});
        edge.planner_client->start(edge.clock(), edge.disk);
        run(edge);
    }
    void stop(SimulatedEdge &edge) {
        for (auto &[v, u] : edge.usable)
            if (!edge.paused)
                usable[v] -= u;
        edge.usable.clear(), edge.serving.clear();
        edge.paused = false;
        auto session_id = std::exchange(edge.session_id, SessionId{0});
        edge.planner_client.reset();
        edge.wake = never;
        disconnect(session_id, true);
    }
    void pause(SimulatedEdge &edge, bool on) {
        if (!edge.planner_client || edge.paused == on)
            return;
        // A paused edge uses none of its quota; a resumed edge reads its clock before it uses any.
        if (on) {
            for (auto &[v, u] : edge.usable)
                usable[v] -= u;
            edge.paused = true, edge.wake = never;
        } else {
            edge.planner_client->tick(edge.clock());
            edge.paused = false;
            for (auto &[v, u] : edge.usable)
                usable[v] += u;
            run(edge);
        }
    }
    void apply_cluster_state(SimulatedEdge &edge, const control::ClusterState &table,
                             const std::map<NodeId, Time> &started) {
        auto &copy = edge.planner_client->replica();
        if (copy.term() < edge.term || copy.version() < edge.version)
            report_violation("edge " + std::to_string(edge.id.value) + " returned from version " +
                             std::to_string(edge.version.value) + " to older version " +
                             std::to_string(copy.version().value));
        std::string all;
        for (auto &[id, node] : table.nodes)
            all += control::encode(control::NodeUpdate{id, node});
        for (auto &[id, p] : table.plans)
            all += control::encode(control::PlanUpdate{id, p});
        for (auto &[id, v] : table.volumes)
            all += control::encode(control::VolumeUpdate{id, v});
        auto [it, is_new] = content.try_emplace({copy.lineage(), copy.version()}, all);
        if (!is_new && it->second != all)
            report_violation("version " + std::to_string(copy.version().value) +
                             " has different contents on two edges");
        for (auto &[id, node] : table.nodes) {
            auto was = edge.nodes.find(id);
            auto &ended = undrained[id];
            if (was != edge.nodes.end() && was->second == NodeState::draining &&
                node.state == NodeState::ready &&
                (ended.upper_bound(edge.version) == ended.end() ||
                 *ended.upper_bound(edge.version) > copy.version()))
                report_violation("the drain of node " + std::to_string(id.value) +
                                 " ended without an undrain request");
            edge.nodes[id] = node.state;
            if (started.at(id) > edge.clock())
                report_violation("node " + std::to_string(id.value) +
                                 " has a start time in the future of edge " +
                                 std::to_string(edge.id.value));
        }
        edge.term = copy.term(), edge.version = copy.version();
        reached[copy.version()].push_back(now);
    }
    void check() {
        for (auto &[v, sum] : usable)
            if (sum > static_cast<std::int64_t>(control::full_limit_millionths))
                report_violation("edges use " + std::to_string(sum) + " millionths of volume " +
                                 std::to_string(v.value) + "'s limit");
    }

    // ---- Faults.
    void restart(SimulatedNode &node, Time down) {
        if (!node.running)
            return;
        node.running = false;
        node.registration->stop(now);
        disconnect(std::exchange(node.session_id, SessionId{0}), true);
        schedule(now + down, [this, &node] {
            node.running = true;
            node.registration->start(now, ++node.incarnation, now);
            run(node);
        });
    }
    void drain(NodeId node, bool on) {
        if (!core || planner_paused)
            return;
        SessionId session_id{++next_session};
        connections[session_id] = {[](std::string_view) {}, [] {}};
        requested_drain[node] = on; // until the planner commits it, either state is valid
        run_in_planner([this, session_id] { core->connected(now, session_id); });
        if (!on)
            undrained[node].insert(core->state().open_version());
        run_in_planner([this, session_id, node, on] {
            core->received(
                now, session_id,
                control::encode(control::DrainRequest{node, on, control::DrainMode::force}));
        });
        ++out.event_counts[on ? "drains" : "undrains"];
    }
    void inject_random_fault() {
        auto &edge = *edges[random() % edges.size()];
        auto &node = *nodes[random() % nodes.size()];
        switch (random() % 10) {
        case 0: { // an edge process ends and a new one starts later
            ++out.event_counts["edge restarts"];
            stop(edge);
            schedule(now + random_below(10 * sec), [this, &edge] {
                if (!edge.planner_client)
                    start(edge);
            });
            break;
        }
        case 1:
        case 2:
        case 3: { // clients start or stop using a volume
            if (!edge.planner_client || edge.paused)
                break;
            VolumeId v{1 + random() % scenario.volumes};
            bool on = !edge.serving.contains(v);
            if (on && edge.serving.size() >= scenario.served)
                break;
            if (on)
                edge.serving.insert(v);
            else
                edge.serving.erase(v);
            edge.planner_client->volume_used(edge.clock(), v, on);
            run(edge);
            ++out.event_counts[on ? "volumes taken up" : "volumes left"];
            break;
        }
        case 4: { // an edge pauses, sometimes beyond its lease
            ++out.event_counts["edge pauses"];
            pause(edge, true);
            schedule(now + random_below(2 * scenario.lease), [this, &edge] { pause(edge, false); });
            break;
        }
        case 5:
            restart(node, 50 * ms + random_below(3 * sec)), ++out.event_counts["node restarts"];
            break;
        case 6:
            drain(node.id, !requested_drain[node.id]);
            break;
        case 7:
            if (!scenario.group_restarts)
                break;
            ++out.event_counts["halls"];
            for (std::size_t i = 0; i < nodes.size(); i += 2)
                restart(*nodes[i], 500 * ms + random_below(sec));
            break;
        case 8: // the connection between edge and planner breaks
            if (edge.session_id.value) {
                auto session_id = edge.session_id;
                auto it = connections.find(session_id);
                if (it != connections.end() && it->second.open) {
                    it->second.open = false;
                    auto cut = it->second.cut;
                    run_in_planner([this, session_id] { core->disconnected(now, session_id); });
                    cut();
                }
            }
            break;
        case 9: {
            if (!scenario.planner_dies || !core)
                break;
            auto how = random() % 4;
            if (how == 0) {
                crash_planner();
            } else if (how < 3) {
                disk.commit_fault = static_cast<int>(how);
            } else if (!planner_paused) { // the planner pauses, sometimes beyond all leases, and
                                          // resumes
                ++out.event_counts["planner pauses"];
                planner_paused = true, planner_wake = never;
                schedule(now + random_below(2 * scenario.lease), [this] {
                    if (!std::exchange(planner_paused, false))
                        return;
                    auto calls = std::exchange(deferred_calls, {});
                    for (auto &call : calls)
                        run_in_planner(call);
                    run_planner();
                });
            }
            break;
        }
        }
        if (!faults_ended)
            schedule(now + 1 + random_below(2 * scenario.fault_interval),
                     [this] { inject_random_fault(); });
    }

    bool all_agree() {
        if (!core || planner_paused || disk.position.version != core->version())
            return false;
        for (auto &edge : edges) {
            if (!edge->planner_client || edge->paused)
                return false;
            if (edge->planner_client->replica().version() != core->version() ||
                edge->planner_client->replica().term() != core->term())
                return false;
            if (edge->planner_client->past_lease(edge->clock()) > 0)
                return false;
        }
        // Limits are fully distributed: all edges that serve a volume have equal quota shares.
        std::map<VolumeId, std::vector<std::int64_t>> parts;
        for (auto &edge : edges)
            for (auto v : edge->serving)
                parts[v].push_back(edge->usable[v]);
        for (auto &[v, all] : parts)
            for (auto p : all)
                if (p != static_cast<std::int64_t>(control::full_limit_millionths / all.size()))
                    return false;
        return true;
    }

    // Describes the state of planner and edges when they do not agree, to analyse a failing seed.
    std::string describe_disagreement() {
        std::string out_text =
            core ? "planner at version " + std::to_string(core->version().value) : "no planner";
        for (auto &edge : edges) {
            out_text += "; edge " + std::to_string(edge->id.value);
            if (!edge->planner_client)
                continue;
            out_text += " version " +
                        std::to_string(edge->planner_client->replica().version().value) +
                        " past lease " +
                        std::to_string(edge->planner_client->past_lease(edge->clock()) / ms) + "ms";
            for (auto v : edge->serving)
                out_text +=
                    " volume " + std::to_string(v.value) + ":" + std::to_string(edge->usable[v]);
        }
        return out_text;
    }

    void play() {
        wanted.version = 1;
        wanted.plans["p"] = {"p", 1, 100, 0, 1, 100, 50};
        for (std::uint32_t i = 1; i <= scenario.volumes; ++i)
            wanted.volumes[VolumeId{i}] = {{"v" + std::to_string(i), 1 << 30, 512, {}}, "p", 0};
        for (std::uint32_t i = 1; i <= scenario.nodes; ++i)
            wanted.nodes[NodeId{i}] = {ShardId{static_cast<std::int32_t>(i)}, ZoneId{0}, false, "",
                                       0};
        start_planner();
        for (std::uint32_t i = 0; i < scenario.edges; ++i) {
            // Clocks drift by at most 1 % and start up to one hour apart.
            double drift = (static_cast<double>(random() % 2001) - 1000) / 1e5;
            edges.push_back(
                std::make_unique<SimulatedEdge>(*this, EdgeId{i}, drift, random_below(3600 * sec)));
            schedule(now + random_below(sec), [this, edge = edges.back().get()] { start(*edge); });
        }
        for (std::uint32_t i = 1; i <= scenario.nodes; ++i) {
            nodes.push_back(std::make_unique<SimulatedNode>());
            auto *node = nodes.back().get();
            node->id = NodeId{i};
            node->registration = std::make_unique<node::PlannerRegistration>(
                node::PlannerRegistration::Actions{
                    [this, node] { connect(*node); },
                    [this, node] {
                        disconnect(std::exchange(node->session_id, SessionId{0}), true);
                    },
                    [this, node](std::string b) { to_planner(node->session_id, std::move(b)); },
                    [](std::string) {}},
                node::PlannerRegistrationConfig{node->id, ShardId{static_cast<std::int32_t>(i)},
                                                ZoneId{0}, "n" + std::to_string(i),
                                                scenario.seed + i, 500 * ms});
            schedule(now + random_below(sec), [this, node] {
                node->registration->start(now, node->incarnation, now - 3600 * sec), run(*node);
            });
        }
        Time began = now, ends = now + scenario.length, last = ends + 120 * sec;
        schedule(now + 2 * sec, [this] { inject_random_fault(); });
        bool ended = false;
        while (now < last) {
            Time next = std::min(events.empty() ? never : events.begin()->first, planner_wake);
            for (auto &edge : edges)
                next = std::min(next, edge->wake);
            for (auto &node : nodes)
                next = std::min(next, node->wake);
            if (next >= ends && !ended) {
                ended = faults_ended = true, now = ends;
                for (auto &edge : edges) {
                    pause(*edge, false);
                    if (!edge->planner_client)
                        start(*edge);
                }
                continue;
            }
            if (next == never)
                break;
            now = std::max(now, next);
            ++out.events;
            if (!events.empty() && events.begin()->first <= now) {
                auto call = std::move(events.begin()->second);
                events.erase(events.begin());
                call();
            } else if (planner_wake <= now) {
                planner_wake = never;
                run_planner();
            } else {
                for (auto &edge : edges)
                    if (edge->wake <= now)
                        edge->wake = never, run(*edge);
                for (auto &node : nodes)
                    if (node->wake <= now)
                        node->wake = never, run(*node);
            }
            if (scenario.edges_ignore_lease_expiry)
                for (auto &edge : edges)
                    if (edge->planner_client && edge->session_id.value == 0)
                        ignore_lease_expiry(*edge);
            check();
            if (out.violations.size() >= 10)
                break;
            if (ended && all_agree()) {
                out.settled_after = now - ends;
                break;
            }
        }
        if (out.violations.empty() && (now >= last || out.settled_after == 0) && !all_agree())
            report_violation("planner and edges do not agree two minutes after the last fault: " +
                             describe_disagreement());
        out.length = now - began;
        for (auto &[version, when] : durable_at) {
            auto it = reached.find(version);
            if (it == reached.end() || it->second.size() < scenario.edges)
                continue;
            auto sorted = it->second;
            std::sort(sorted.begin(), sorted.end());
            out.median_edge_delays.push_back(sorted[sorted.size() / 2] - when);
            out.last_edge_delays.push_back(sorted.back() - when);
        }
    }
    // Lets an edge keep its quota shares after its lease expired.
    void ignore_lease_expiry(SimulatedEdge &edge) {
        for (auto v : edge.serving) {
            auto part = edge.planner_client->replica().cluster_state().quota_shares.find(v);
            if (part == edge.planner_client->replica().cluster_state().quota_shares.end())
                continue;
            edge.quota_share_changed(v, static_cast<double>(control::full_limit_millionths) /
                                            std::max(1u, part->second.millionths));
        }
    }
};

} // namespace

PlannerSimulationResult simulate(const PlannerScenario &scenario) {
    Simulation simulation(scenario);
    simulation.play();
    return std::move(simulation.out);
}

} // namespace knotvane::sim
