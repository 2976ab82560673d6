#include "sim/cutting.hpp"

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
#include "sim/keeper.hpp"

namespace knotvane::sim {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
constexpr std::uint64_t volume_size = 512 << 10, extent = 64 << 10, span = 16 << 10,
                        unit = 16 << 10;
constexpr std::uint64_t block = 4096, busy_blocks = 48; // clients meet in these, of three extents
constexpr Time client_timeout = 1500 * ms, window = 700 * ms, key_rest = 800 * ms;
constexpr VolumeId volume{7};
using control::EdgeId;
using planner::SessionId;
using rules::WriteNo;

// A connection of two ends: bytes arrive in order, some time later; an end that closed hears
// nothing more, what it had sent still arrives.
struct Wire {
    bool open[2] = {true, true};
    Time last[2] = {0, 0}, held = 0;
    std::function<void(std::string_view)> hear[2];
    std::function<void()> ended[2];
};
using WirePtr = std::shared_ptr<Wire>;

struct World;

struct NodeHost final : node::Transport {
    World &w;
    NodeId id;
    ShardId shard;
    std::string bytes;
    std::unique_ptr<store::Medium> medium = store::memory_medium(bytes);
    store::Store store{*medium};
    node::StorageNode disk;
    std::unique_ptr<node::PlannerRegistration> reg;
    WirePtr planner;
    std::map<node::ConnectionId, WirePtr> conns;
    bool listening = true;
    Time wake = never;

    NodeHost(World &world, NodeId i, ShardId s, std::uint64_t seed, Time now);
    void send(node::ConnectionId conn, std::string out) override;
    void close(node::ConnectionId conn, bool reset) override;
    void listen(bool open) override;
    void log_event(std::string) override {}
};

struct EdgeHost final : edge::Shell, edge::PlannerClientActions {
    World &w;
    std::uint64_t id;
    std::uint64_t lives = 0;
    std::unique_ptr<edge::Core> core;
    std::unique_ptr<edge::PlannerClient> sub;
    WirePtr planner;
    std::map<edge::NodeConnectionId, WirePtr> links;
    std::map<edge::ClientId, WirePtr> clients;
    std::uint64_t next_client = 0;
    bool paused = false, cut_off = false;
    Time stood_still = 0; // until when it last did
    std::vector<std::function<void()>> while_paused;
    Time wake = never;

    EdgeHost(World &world, std::uint64_t i) : w(world), id(i) {}
    void start();
    void stop();
    void in(const std::function<void()> &call);
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
    // ---- edge::Line
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

// Writes and reads all the time; says what it saw to the history.
struct ClientHost final : load::Replies {
    World &w;
    std::size_t edge;
    std::unique_ptr<load::Session> session;
    WirePtr wire;
    std::uint64_t cookie = 0;
    std::map<std::uint64_t, std::pair<WriteNo, Time>> flying;
    ClientHost(World &world, std::size_t e) : w(world), edge(e) {}
    void come();
    void pump();
    void flush_out();
    void opened(std::uint64_t, std::uint16_t) override { pump(); }
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t c, std::uint32_t error, std::string_view) override;
    void broken(std::string_view) override {}
};

struct World final : planner::PlannerTransport {
    const CutDay &day;
    CutResult out;
    Time now = 100 * sec;
    std::ranlux24_base chance;
    std::uint64_t seq = 0;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> queue;
    std::unique_ptr<planner::Core> core;
    MemoryKeeper state_store;
    Time planner_wake = never;
    std::map<SessionId, WirePtr> sides;
    std::uint64_t next_side = 0, instances = 0, next_conn = 0, taken_names = 0;
    std::vector<std::unique_ptr<NodeHost>> nodes;
    std::vector<std::unique_ptr<EdgeHost>> edges;
    std::vector<std::unique_ptr<ClientHost>> clients;
    rules::History history;
    // By name: when the take was called and returned; and what the snapshot held then.
    struct Seen {
        Time called, returned;
        VolumeId id;
        std::map<std::uint64_t, WriteNo> held;
    };
    std::map<std::string, Seen> snapshots;
    bool quiet = false;

    explicit World(const CutDay &d)
        : day(d), chance(static_cast<std::ranlux24_base::result_type>(d.seed * 7919 + 5)) {}
    std::uint64_t under(std::uint64_t n) {
        return n <= 1 ? 0 : (std::uint64_t{chance()} << 24 | chance()) % n;
    }
    Time time_under(Time t) { return static_cast<Time>(under(static_cast<std::uint64_t>(t))); }
    bool lot(double p) {
        return static_cast<double>(chance()) < p * static_cast<double>(chance.max());
    }
    void at(Time t, std::function<void()> f) { queue.emplace(std::pair{t, ++seq}, std::move(f)); }
    Time delay() {
        return !quiet && lot(0.02) ? time_under(60 * ms) : 50 * us + time_under(500 * us);
    }
    void broken(std::string what) {
        if (out.broken.size() < 10)
            out.broken.push_back("seed " + std::to_string(day.seed) + ", " +
                                 std::to_string(now / ms) + "ms: " + what);
    }

    // ---- Wires. `from`: the end that sends.
    std::vector<std::weak_ptr<Wire>> transport;
    WirePtr wire() {
        auto made = std::make_shared<Wire>();
        transport.push_back(made);
        return made;
    }
    // Ends hold on to their wires.
    ~World() override {
        queue.clear();
        for (auto &weak : transport)
            if (auto wire = weak.lock())
                for (int end : {0, 1})
                    wire->hear[end] = nullptr, wire->ended[end] = nullptr;
    }
    void send(const WirePtr &wire, int from, std::string bytes) {
        if (!wire->open[from])
            return;
        auto &last = wire->last[from];
        last = std::max({last, now + delay(), wire->held});
        at(last, [wire, to = 1 - from, b = std::move(bytes)] {
            if (wire->open[to])
                wire->hear[to](b);
        });
    }
    void close(const WirePtr &wire, int from) {
        if (!std::exchange(wire->open[from], false))
            return;
        at(std::max(wire->last[from], now + delay()), [wire, to = 1 - from] { end(wire, to); });
    }
    // A connection that was given up before it came about has nobody at its far end.
    static void end(const WirePtr &wire, int side) {
        if (std::exchange(wire->open[side], false) && wire->ended[side])
            wire->ended[side]();
    }
    void sever(const WirePtr &wire) {
        for (int side : {0, 1})
            at(now + time_under(20 * ms), [wire, side] { end(wire, side); });
    }

    // ---- The planner.
    planner::DesiredState wanted() const {
        planner::DesiredState p;
        p.version = 1;
        p.plans["p"] = {"p", 1, 1000, 0, 1, 0, 0};
        control::Volume v;
        v.name = "v", v.size = volume_size, v.alignment_bytes = 512;
        p.volumes[volume] = {v, "p", 0};
        for (std::uint32_t i = 0; i < day.nodes; ++i)
            p.nodes[NodeId{i + 1}] = {ShardId{static_cast<std::int32_t>(i)}, ZoneId{0}, false, "",
                                      0};
        return p;
    }
    void planner_start() {
        state_store.lives_on();
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
                broken("a row is not read back: " + fault);
        }
        planner::PlannerStart from{state_store.position, ++instances, false};
        if (state_store.position.term == planner::Term{0})
            from.position.lineage = day.seed + 1;
        from.position.term = planner::Term{state_store.position.term.value + 1};
        if (!core->start(now, from))
            return planner_die();
        for (auto &[line, what] : core->apply_desired_state(now, wanted()))
            broken("settings refused: " + what);
        planner_run();
    }
    void planner_die() {
        ++out.met["planner deaths"];
        core.reset();
        planner_wake = never;
        for (auto &[id, wire] : std::exchange(sides, {}))
            close(wire, 1);
        at(now + 50 * ms + time_under(800 * ms), [this] {
            if (!core)
                planner_start();
        });
    }
    void planner_run() {
        if (!core)
            return;
        core->settle(now);
        if (state_store.died)
            return planner_die();
        auto due = core->next_due();
        if (due >= planner_wake)
            return;
        planner_wake = due;
        at(std::max(due, now + 1), [this, due] {
            if (planner_wake != due)
                return;
            planner_wake = never;
            planner_run();
        });
    }
    // A connection to the planner, whose end is 1; no answer where there is none.
    WirePtr to_planner(std::function<void(std::string_view)> hear, std::function<void()> ended) {
        auto wire = this->wire();
        SessionId side{++next_side};
        wire->hear[0] = std::move(hear), wire->ended[0] = std::move(ended);
        wire->hear[1] = [this, side](std::string_view b) {
            if (!core)
                return;
            core->received(now, side, b);
            planner_run();
        };
        wire->ended[1] = [this, side] {
            sides.erase(side);
            if (!core)
                return;
            core->disconnected(now, side);
            planner_run();
        };
        sides[side] = wire;
        core->connected(now, side);
        return wire;
    }
    void send(SessionId side, std::string bytes) override {
        if (auto it = sides.find(side); it != sides.end())
            send(it->second, 1, std::move(bytes));
    }
    void close(SessionId side) override {
        auto it = sides.find(side);
        if (it == sides.end())
            return;
        auto wire = it->second;
        sides.erase(it);
        close(wire, 1);
        at(now, [this, side] {
            if (core)
                core->disconnected(now, side), planner_run();
        });
    }
    void log_event(std::string) override {}
    void retired() override { broken("the only planner retired"); }

    // ---- Stirring.
    template <class Host, class Due>
    void wake(Host &h, Due due, const std::function<void()> &run) {
        if (due >= h.wake)
            return;
        h.wake = due;
        at(std::max(due, now + 1), [&h, due, run] {
            if (h.wake != due)
                return;
            h.wake = never;
            run();
        });
    }
    void stir(NodeHost &n) {
        n.disk.tick(now);
        n.reg->tick(now);
        wake(n, std::min(n.disk.next_due(), n.reg->next_due()), [this, &n] { stir(n); });
    }
    void stir(EdgeHost &e) {
        if (!e.core || e.paused)
            return;
        e.sub->tick(now);
        e.core->settle(now);
        wake(e, std::min(e.core->next_due(), e.sub->next_due()), [this, &e] { stir(e); });
    }

    // ---- Operators.
    // From the planner's store: it may have died since it said so. 0: not there.
    VolumeId id_of(const std::string &name) const {
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
        struct Ear final : control::MessageHandler {
            std::function<void(bool)> heard;
            using MessageHandler::handle;
            void handle(const control::OperationResult &m) override {
                if (heard)
                    std::exchange(heard, nullptr)(m.done);
            }
            void handle_unexpected(std::string_view) override {}
        };
        auto ear = std::make_shared<Ear>();
        auto reader = std::make_shared<control::MessageDecoder>();
        ear->heard = std::move(heard);
        auto wire =
            to_planner([ear, reader](std::string_view b) { reader->decode(b, *ear); }, [] {});
        send(wire, 0, std::move(question));
    }
    void take() {
        auto name = std::to_string(++taken_names);
        Time called = now;
        operate(control::encode(
                    control::SnapshotRequest{control::SnapshotOperation::take, "v", name, ""}),
                [this, name, called](bool done) {
                    auto full = "v@" + name;
                    if (!done)
                        return void(++out.refused);
                    ++out.taken;
                    auto id = id_of(full);
                    snapshots[full] = {called, now, id, held(id)};
                    if (lot(0.3))
                        drop_or_clone(full);
                });
    }
    void drop_or_clone(const std::string &full) {
        if (lot(0.5)) {
            operate(control::encode(
                        control::SnapshotRequest{control::SnapshotOperation::drop, full, "", ""}),
                    [this, full](bool done) {
                        if (done)
                            judge(full), snapshots.erase(full);
                    });
            return;
        }
        auto as = "c" + std::to_string(++taken_names);
        operate(control::encode(
                    control::SnapshotRequest{control::SnapshotOperation::clone, full, as, ""}),
                [this, full, as](bool done) {
                    if (!done || !snapshots.contains(full))
                        return;
                    ++out.clones;
                    if (held(id_of(as)) != snapshots.at(full).held)
                        broken("clone " + as + " does not hold what " + full + " does");
                });
    }
    // What stores hold of a volume, by block: which write's bytes.
    std::map<std::uint64_t, WriteNo> held(VolumeId id) {
        edge::Layout layout(extent, span, all_shards());
        std::map<std::uint64_t, WriteNo> got;
        for (std::uint64_t b = 0; b < busy_blocks; ++b) {
            auto shard = layout.shard_of(volume, b * block);
            auto &n = *nodes[static_cast<std::size_t>(shard.value)];
            std::string bytes;
            if (!n.store.contains(id)) {
                broken("snapshot " + std::to_string(id.value & 0xffff) + " is not at node " +
                       std::to_string(n.id.value));
                return got;
            }
            if (!n.store.read(id, b * block, block, bytes))
                broken("a block does not match its checksum");
            std::uint64_t no = 0;
            std::memcpy(&no, bytes.data(), sizeof no);
            if (no == 0)
                continue;
            for (std::size_t i = 0; i < block; i += sizeof no)
                if (std::memcmp(bytes.data() + i, &no, sizeof no) != 0)
                    broken("a block holds two writes");
            got[b] = WriteNo{no};
        }
        return got;
    }
    void judge(const std::string &full) {
        auto &s = snapshots.at(full);
        for (auto &what : history.judge(s.called, s.returned, s.held))
            broken(full + ": " + what);
    }
    std::vector<ShardId> all_shards() const {
        std::vector<ShardId> out_shards;
        for (std::uint32_t i = 0; i < day.nodes; ++i)
            out_shards.emplace_back(static_cast<std::int32_t>(i));
        return out_shards;
    }

    void trouble();
    CutResult run();
};

// ---- Nodes.
NodeHost::NodeHost(World &world, NodeId i, ShardId s, std::uint64_t seed, Time now)
    : w(world), id(i), shard(s), disk(i, s, store, *this, seed, now - 3600 * sec) {
    disk.set_service_model({.unit_time = ms, .cores = 2, .slots = 4, .queue_capacity = 64});
    node::PlannerRegistration::Actions line;
    line.connect = [this] {
        w.at(w.now + w.delay(), [this] {
            if (!listening)
                return;
            if (!w.core) {
                reg->disconnected(w.now);
                return w.stir(*this);
            }
            planner =
                w.to_planner([this](std::string_view b) { reg->received(w.now, b), w.stir(*this); },
                             [this] { planner.reset(), reg->disconnected(w.now), w.stir(*this); });
            reg->connected(w.now);
            w.stir(*this);
        });
    };
    line.disconnect = [this] {
        if (auto p = std::exchange(planner, nullptr))
            w.close(p, 0);
    };
    line.send = [this](std::string b) {
        if (planner)
            w.send(planner, 0, std::move(b));
    };
    line.log_event = [](std::string) {};
    line.open_snapshot = [this](VolumeId of, VolumeId as, std::uint32_t epoch,
                                const std::vector<control::EdgeIncarnation> &late) {
        std::set<control::EdgeIncarnation> who(late.begin(), late.end());
        if (w.day.nodes_let_in)
            for (std::uint32_t e = 0; e < w.day.edges; ++e)
                who.insert(w.edges[e]->core
                               ? control::EdgeIncarnation{w.edges[e]->core->incarnation()}
                               : control::EdgeIncarnation{});
        if (w.day.nodes_cut_once) {
            // As a store that knows nothing of late changes: sealed at once.
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
    reg = std::make_unique<node::PlannerRegistration>(
        line, node::PlannerRegistrationConfig{id, shard, ZoneId{0}, std::to_string(id.value),
                                              seed + id.value, 100 * ms});
    reg->start(now, 1, now - 3600 * sec);
}
void NodeHost::send(node::ConnectionId conn, std::string out) {
    if (auto it = conns.find(conn); it != conns.end())
        w.send(it->second, 1, std::move(out));
}
void NodeHost::close(node::ConnectionId conn, bool) {
    auto it = conns.find(conn);
    if (it == conns.end())
        return;
    w.close(it->second, 1);
    conns.erase(it);
}
void NodeHost::listen(bool open) {
    listening = open;
}

// ---- Edges.
void EdgeHost::in(const std::function<void()> &call) {
    if (paused)
        while_paused.push_back(call);
    else if (core)
        call(), w.stir(*this);
}
void EdgeHost::start() {
    ++lives;
    core = std::make_unique<edge::Core>(
        *this, [&](SchedulerActions &a) { return make_scheduler(a, w.day.seed + id); },
        edge::CoreConfig{id, w.day.seed + lives * 1000, extent, span, unit, w.all_shards()});
    auto &s = core->scheduler();
    SchedulerConfig config;
    config.self = SchedulerId{static_cast<std::uint32_t>(id)};
    config.scheduler_count = w.day.edges;
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
    core->start(w.now);
    sub = std::make_unique<edge::PlannerClient>(
        *this, edge::PlannerClientConfig{EdgeId{id}, "e", w.day.seed + lives * 31 + id, 100 * ms,
                                         3600 * sec});
    core->follow_cluster_state(sub->replica().cluster_state());
    lists = 0;
    sub->start(w.now, {});
    w.stir(*this);
}
void EdgeHost::stop() {
    if (planner)
        w.close(std::exchange(planner, nullptr), 0);
    for (auto &[l, wire] : std::exchange(links, {}))
        w.close(wire, 0);
    for (auto &[c, wire] : std::exchange(clients, {}))
        w.close(wire, 1);
    core.reset(), sub.reset();
    paused = false, while_paused.clear(), wake = never;
}
void EdgeHost::connect(edge::NodeConnectionId link, const std::string &address) {
    auto wire = w.wire();
    links[link] = wire;
    auto incarnation = lives;
    wire->hear[0] = [this, link, incarnation](std::string_view b) {
        in([this, link, incarnation, bytes = std::string(b)] {
            if (incarnation == lives && links.contains(link))
                core->node_received(w.now, link, bytes);
        });
    };
    wire->ended[0] = [this, link, incarnation] {
        in([this, link, incarnation] {
            if (incarnation == lives && links.erase(link))
                core->node_disconnected(w.now, link);
        });
    };
    auto &n = *w.nodes[std::stoull(address) - 1];
    w.at(w.now + w.delay(), [this, link, incarnation, wire, &n] {
        if (!wire->open[0])
            return;
        if (!n.listening) {
            wire->open[0] = false;
            return in([this, link, incarnation] {
                if (incarnation == lives && links.erase(link))
                    core->node_connect_failed(w.now, link);
            });
        }
        node::ConnectionId conn{++w.next_conn};
        n.conns[conn] = wire;
        wire->hear[1] = [this, &n, conn](std::string_view b) {
            n.disk.received(w.now, conn, b), w.stir(n);
        };
        wire->ended[1] = [this, &n, conn] { n.conns.erase(conn), n.disk.disconnected(conn); };
        n.disk.connected(w.now, conn);
        in([this, link, incarnation] {
            if (incarnation == lives && links.contains(link))
                core->node_connected(w.now, link);
        });
    });
}
void EdgeHost::send(edge::NodeConnectionId link, std::string bytes) {
    auto it = links.find(link);
    if (it == links.end())
        return;
    auto size = bytes.size();
    w.send(it->second, 0, std::move(bytes));
    w.at(w.now, [this, link, size, incarnation = lives] {
        in([this, link, size, incarnation] {
            if (incarnation == lives && links.contains(link))
                core->node_sent(w.now, link, size);
        });
    });
}
void EdgeHost::close(edge::NodeConnectionId link) {
    auto it = links.find(link);
    if (it == links.end())
        return;
    auto wire = it->second;
    links.erase(it);
    w.close(wire, 0);
}
void EdgeHost::send_client(edge::ClientId client, std::string bytes) {
    auto it = clients.find(client);
    if (it == clients.end())
        return;
    auto size = bytes.size();
    w.send(it->second, 1, std::move(bytes));
    w.at(w.now, [this, client, size, incarnation = lives] {
        in([this, client, size, incarnation] {
            if (incarnation == lives && clients.contains(client))
                core->client_sent(w.now, client, size);
        });
    });
}
void EdgeHost::close_client(edge::ClientId client) {
    auto it = clients.find(client);
    if (it == clients.end())
        return;
    auto wire = it->second;
    clients.erase(it);
    w.close(wire, 1);
}
void EdgeHost::attempt_completed(RequestId, NodeId node, AttemptOutcome how, Time) {
    sub->attempt_completed(w.now, node, how);
}
void EdgeHost::volume_used(VolumeId v, bool on) {
    sub->volume_used(w.now, v, on);
}
void EdgeHost::snapshot_step_done(VolumeId as, control::SnapshotStep step,
                                  control::EdgeIncarnation l) {
    sub->report_snapshot_step(as, step, l);
}
void EdgeHost::connect_planner() {
    w.at(w.now + w.delay(), [this, incarnation = lives] {
        if (incarnation != lives || !sub || paused)
            return;
        if (!w.core || cut_off) {
            sub->disconnected(w.now);
            return w.stir(*this);
        }
        auto wire = std::make_shared<WirePtr>();
        *wire = planner = w.to_planner(
            [this, incarnation](std::string_view b) {
                in([this, incarnation, bytes = std::string(b)] {
                    if (incarnation == lives && planner)
                        sub->received(w.now, bytes);
                });
            },
            [this, incarnation, wire] {
                in([this, incarnation, wire] {
                    if (incarnation == lives && planner == *wire)
                        planner.reset(), sub->disconnected(w.now);
                });
            });
        sub->connected(w.now);
        w.stir(*this);
    });
}
void EdgeHost::disconnect_planner() {
    if (planner)
        w.close(std::exchange(planner, nullptr), 0);
}
void EdgeHost::send_planner(std::string bytes) {
    if (planner)
        w.send(planner, 0, std::move(bytes));
}
void EdgeHost::cluster_state_changed(const control::ClusterState &table, bool nodes, bool plans,
                                     const std::map<NodeId, Time> &started) {
    if (plans)
        for (auto &[pid, p] : table.plans)
            core->set_plan(pid, edge::plan_config(p));
    core->cluster_state_changed(w.now);
    if (!nodes || !core->endpoint_list_begin(w.now, ++lists))
        return;
    for (auto &[nid, n] : table.nodes)
        core->endpoint_listed({nid, n.shard, n.zone, n.state, started.at(nid)}, n.address);
    core->endpoint_list_end();
}
void EdgeHost::quota_share_changed(VolumeId v, double hosts) {
    core->quota_share_changed(w.now, v, hosts);
}
void EdgeHost::snapshot_hold(const control::SnapshotHold &order) {
    auto [of, as, epoch, longest] = order;
    if (w.day.edges_begin_on)
        return sub->report_snapshot_step(as, control::SnapshotStep::holding,
                                         control::EdgeIncarnation{core->incarnation()});
    core->hold_snapshot(w.now, {of, as, epoch}, longest);
    if (w.day.nobody_waits)
        sub->report_snapshot_step(as, control::SnapshotStep::drained,
                                  control::EdgeIncarnation{core->incarnation()});
}
void EdgeHost::snapshot_resume(const control::SnapshotResume &order) {
    auto [of, as, epoch] = order;
    if (w.day.edges_begin_on) {
        // Goes by the new epoch when it hears of it, and never held anything back.
        core->hold_snapshot(w.now, {of, as, epoch}, sec);
    }
    core->resume_snapshot(w.now, {of, as, epoch});
}
void EdgeHost::snapshot_release(const control::SnapshotRelease &order) {
    core->release_snapshot(w.now, order.volume, order.snapshot);
}
void EdgeHost::planner_lost() {
    core->planner_lost(w.now);
}

// ---- Clients.
void ClientHost::come() {
    if (w.quiet)
        return;
    auto &e = *w.edges[edge];
    if (!e.core || e.sub->replica().cluster_state().names.empty()) {
        w.at(w.now + 20 * ms, [this] { come(); });
        return;
    }
    flying.clear();
    wire = w.wire();
    session = std::make_unique<load::Session>(*this, "v", true);
    edge::ClientId id{++e.next_client};
    e.clients[id] = wire;
    auto mine = wire;
    auto incarnation = e.lives;
    wire->hear[0] = [this, mine](std::string_view b) {
        if (wire != mine)
            return;
        session->bytes(b);
        flush_out();
    };
    wire->ended[0] = [this, mine] {
        if (wire == mine)
            w.at(w.now + 10 * ms + w.time_under(20 * ms), [this] { come(); });
    };
    wire->hear[1] = [&e, id, incarnation, this](std::string_view b) {
        e.in([&e, id, incarnation, this, bytes = std::string(b)] {
            if (incarnation == e.lives && e.clients.contains(id))
                e.core->client_received(w.now, id, bytes);
        });
    };
    wire->ended[1] = [&e, id, incarnation, this] {
        e.in([&e, id, incarnation, this] {
            if (incarnation == e.lives && e.clients.erase(id))
                e.core->client_disconnected(w.now, id);
        });
    };
    e.in([&e, id, this] { e.core->client_connected(w.now, id); });
}
void ClientHost::pump() {
    while (session->is_open() && session->flying() < 4 && !w.quiet) {
        auto c = ++cookie;
        auto first = w.under(busy_blocks);
        auto blocks = static_cast<std::uint32_t>(
            1 + (w.lot(0.4) ? w.under(10) : 0)); // some go over spans and extents
        blocks = std::min<std::uint32_t>(blocks, static_cast<std::uint32_t>(busy_blocks - first));
        if (w.lot(0.1)) {
            session->ask(nbd::cmd_flush, 0, c, 0, 0);
            continue;
        }
        if (w.lot(0.1)) {
            session->ask(nbd::cmd_read, 0, c, first * block,
                         static_cast<std::uint32_t>(blocks * block));
            continue;
        }
        bool fua = w.lot(0.5);
        auto no = w.history.begins(w.now, first, blocks, fua);
        ++w.out.writes;
        flying[c] = {no, w.now};
        std::string data(blocks * block, '\0');
        for (std::size_t i = 0; i < data.size(); i += sizeof no.value)
            std::memcpy(data.data() + i, &no.value, sizeof no.value);
        session->ask(nbd::cmd_write, fua ? nbd::cmd_flag_fua : 0, c, first * block,
                     static_cast<std::uint32_t>(data.size()), data);
    }
}
void ClientHost::ended(std::uint64_t c, std::uint32_t error, std::string_view) {
    if (auto it = flying.find(c); it != flying.end()) {
        w.history.ends(it->second.first, w.now, error == 0);
        w.out.answered += error == 0;
        // Both ways may take some time; an edge that stood still could not answer.
        if (w.now - it->second.second > client_timeout + 150 * ms &&
            w.edges[edge]->stood_still < it->second.second)
            w.broken("a write was answered after " +
                     std::to_string((w.now - it->second.second) / ms) + "ms");
        if (error == 0)
            w.out.took.push_back(w.now - it->second.second);
        flying.erase(it);
    }
    if (error == 0)
        return pump();
    w.at(w.now + w.time_under(40 * ms), [this, mine = wire] {
        if (wire == mine)
            pump(), flush_out();
    });
}
void ClientHost::flush_out() {
    auto bytes = session->take_out();
    if (!bytes.empty())
        w.send(wire, 0, std::move(bytes));
}

// ---- Troubles.
void World::trouble() {
    auto &e = *edges[under(edges.size())];
    auto &n = *nodes[under(nodes.size())];
    switch (under(11)) {
    case 0: // a node's process ends and comes back; some lose what was not flushed
    {
        bool lose = lot(0.5);
        ++out.met[lose ? "node restarts with loss" : "node restarts"];
        n.reg->stop(now);
        if (lose)
            history.lost(now);
        n.disk.restart(now, lose);
        n.reg->start(now, static_cast<std::uint64_t>(now), now);
        stir(n);
        break;
    }
    case 1:
        if (!core)
            break;
        if (lot(0.5)) {
            planner_die();
        } else {
            state_store.die_at = 1 + static_cast<int>(under(2));
        }
        break;
    case 2: // an edge is cut off from the planner for a while, and goes on serving
        if (!e.planner || e.cut_off)
            break;
        ++out.met["edges cut off"];
        e.cut_off = true;
        sever(e.planner);
        at(now + time_under(2 * sec), [&e] { e.cut_off = false; });
        break;
    case 3: // its word with the planner is late
        if (!e.planner)
            break;
        ++out.met["planner's word late"];
        e.planner->held = now + time_under(1200 * ms);
        break;
    case 4:
        if (e.paused || !e.core)
            break;
        ++out.met["edges paused"];
        e.paused = true;
        at(now + time_under(1500 * ms), [this, &e, incarnation = e.lives] {
            if (incarnation != e.lives || !e.paused)
                return;
            e.paused = false, e.stood_still = now;
            stir(e);
            for (auto &call : std::exchange(e.while_paused, {}))
                call();
            e.wake = never, stir(e);
        });
        break;
    case 5:
        if (!e.core)
            break;
        ++out.met["edge restarts"];
        e.stop();
        at(now + 20 * ms + time_under(500 * ms), [&e] {
            if (!e.core)
                e.start();
        });
        break;
    case 6:
    case 7: // shots under way come late, past their edge's patience
        if (e.links.empty())
            break;
        {
            auto l = e.links.begin();
            std::advance(l, static_cast<std::ptrdiff_t>(under(e.links.size())));
            ++out.met["shots held"];
            l->second->held = now + time_under(1200 * ms);
        }
        break;
    case 8:
        if (e.links.empty())
            break;
        ++out.met["links severed"];
        sever(e.links.begin()->second);
        break;
    default: {
        static constexpr node::FaultKind kinds[] = {node::FaultKind::hang,
                                                    node::FaultKind::slow,
                                                    node::FaultKind::delay_answer,
                                                    node::FaultKind::go_silent,
                                                    node::FaultKind::reject_requests,
                                                    node::FaultKind::truncate_answer};
        ++out.met["node faults"];
        double magnitude = lot(0.5) ? 0.2 : 6;
        Time until = now + 20 * ms + time_under(700 * ms);
        n.disk.inject_fault(
            {.kind = kinds[under(6)], .from = now, .until = until, .magnitude = magnitude});
        n.disk.tick(now);
        stir(n);
    }
    }
}

CutResult World::run() {
    planner_start();
    for (std::uint32_t i = 0; i < day.nodes; ++i) {
        nodes.push_back(std::make_unique<NodeHost>(
            *this, NodeId{i + 1}, ShardId{static_cast<std::int32_t>(i)}, day.seed, now));
        stir(*nodes.back());
    }
    for (std::uint32_t i = 0; i < day.edges; ++i) {
        edges.push_back(std::make_unique<EdgeHost>(*this, i));
        edges.back()->start();
    }
    for (std::uint32_t i = 0; i < day.clients; ++i) {
        clients.push_back(std::make_unique<ClientHost>(*this, i % day.edges));
        clients.back()->come();
    }
    Time begin = now + 500 * ms, end = begin + day.length;
    for (int i = 0; i < static_cast<int>(day.trouble * 3 * seconds(day.length)); ++i)
        at(begin + time_under(day.length), [this] { trouble(); });
    for (int i = 0; i < static_cast<int>(4 * seconds(day.length)); ++i)
        at(begin + time_under(day.length), [this] { take(); });
    at(end, [this] { quiet = true; });
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
        if (held(s.id) != s.held)
            broken(full + " changed after it was taken");
    }
    // What failed left nothing; what planner and nodes hold is the same.
    if (!core)
        return std::move(out);
    for (auto &n : nodes) {
        std::set<VolumeId> expected;
        for (auto &[id, v] : core->state().cluster_state().volumes)
            if (v.is_snapshot_or_clone())
                expected.insert(id);
        for (auto id : n->store.snapshots())
            if (!expected.contains(id) && !core->is_incomplete(id))
                broken("node " + std::to_string(n->id.value) + " holds a cut that was undone");
        for (auto id : expected)
            if (!n->store.contains(id))
                broken("node " + std::to_string(n->id.value) + " lacks a cut that is whole");
        for (auto &line : n->store.check())
            broken("node's store: " + line);
    }
    return std::move(out);
}

} // namespace

CutResult play(const CutDay &day) {
    return World(day).run();
}

} // namespace knotvane::sim
