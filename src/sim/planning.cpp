#include "sim/planning.hpp"

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
#include "sim/keeper.hpp"

namespace knotvane::sim {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
using control::EdgeId;
using control::Version;
using planner::SessionId;

struct World final : planner::PlannerTransport {
    struct EdgeHost final : edge::PlannerClientActions {
        World &w;
        EdgeId id;
        double drift;
        Time offset;
        std::unique_ptr<edge::PlannerClient> sub;
        std::string disk;
        SessionId side{0};
        bool up = false, paused = false;
        Time wake = never;
        std::set<VolumeId> serving;
        std::map<VolumeId, std::int64_t> usable; // as the decisions were told
        std::map<NodeId, NodeState> nodes;
        planner::Term term;
        Version version;

        EdgeHost(World &world, EdgeId i, double d, Time o) : w(world), id(i), drift(d), offset(o) {}
        Time clock() const {
            return offset + w.now + static_cast<Time>(static_cast<double>(w.now) * drift);
        }
        Time real(Time local) const {
            if (local >= never / 4)
                return never;
            return static_cast<Time>(static_cast<double>(local - offset) / (1 + drift)) + 1;
        }
        void connect_planner() override { w.dial(*this); }
        void disconnect_planner() override { w.hang_up(side, true), side = SessionId{0}; }
        void send_planner(std::string bytes) override { w.to_planner(side, std::move(bytes)); }
        void store_cluster_state(std::string bytes, bool replace) override {
            disk = replace ? std::move(bytes) : disk + bytes;
        }
        void log_event(std::string) override {}
        void cluster_state_changed(const control::ClusterState &table, bool, bool,
                                   const std::map<NodeId, Time> &started) override {
            w.taken(*this, table, started);
        }
        void quota_share_changed(VolumeId v, double hosts) override {
            auto is =
                std::isinf(hosts)
                    ? 0
                    : std::llround(static_cast<double>(control::full_limit_millionths) / hosts);
            if (!paused)
                w.usable[v] += is - usable[v];
            usable[v] = is;
        }
    };
    struct NodeHost {
        NodeId id;
        std::unique_ptr<node::PlannerRegistration> reg;
        SessionId side{0};
        std::uint64_t incarnation = 1;
        bool running = true;
        Time wake = never;
    };
    struct Conn {
        std::function<void(std::string_view)> to_far;
        std::function<void()> cut;
        bool open = true, first = true;
    };

    const PlanDay &day;
    PlanResult out;
    std::ranlux24_base chance;
    Time now = 1000 * sec;
    std::multimap<Time, std::function<void()>> events;
    std::unique_ptr<planner::Core> core;
    MemoryKeeper disk;
    Time planner_wake = never;
    bool planner_paused = false;
    std::vector<std::function<void()>> while_paused;
    std::vector<std::unique_ptr<EdgeHost>> edges;
    std::vector<std::unique_ptr<NodeHost>> nodes;
    std::map<SessionId, Conn> conns;
    std::uint64_t next_side = 0, instances = 0;
    planner::DesiredState wanted;
    std::map<VolumeId, std::int64_t> usable;
    std::map<std::pair<std::uint64_t, Version>, std::string> content; // by lineage and version
    std::map<NodeId, bool> drain_said;                                // by the operator, last word
    std::map<NodeId, std::set<Version>> undrained; // in which versions at the earliest
    std::map<Version, Time> durable_at;
    std::map<Version, std::vector<Time>> reached;
    bool quiet = false;

    explicit World(const PlanDay &d)
        : day(d), chance(static_cast<std::ranlux24_base::result_type>(d.seed)) {}

    Time under(Time most) {
        auto drawn = static_cast<std::uint64_t>(chance()) << 24 | chance();
        return static_cast<Time>(drawn % static_cast<std::uint64_t>(std::max<Time>(1, most)));
    }
    bool happens(double p) {
        return static_cast<double>(chance()) < p * static_cast<double>(chance.max());
    }
    void at(Time when, std::function<void()> call) { events.emplace(when, std::move(call)); }
    void broken(std::string what) {
        if (out.broken.size() < 10)
            out.broken.push_back("seed " + std::to_string(day.seed) + ", " +
                                 std::to_string(now / ms) + "ms: " + what);
    }

    // ---- Network. A connection's first message comes first; after it each takes a time of its
    // own.
    void pass(SessionId side, std::string bytes, Time extra,
              std::function<void(std::string_view)> to) {
        auto it = conns.find(side);
        if (it == conns.end() || !it->second.open)
            return;
        bool first = std::exchange(it->second.first, false);
        if (!quiet && !first && happens(day.loss))
            return;
        int copies = !quiet && !first && happens(day.repeats) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            at(now + (first ? 1 : 1 + under(quiet ? 5 * ms : day.delay) + extra),
               [this, side, bytes, to] {
                   auto c = conns.find(side);
                   if (c != conns.end() && c->second.open)
                       to(bytes);
               });
    }
    void dial(EdgeHost &e) {
        at(now + under(2 * ms) + 1, [this, &e] {
            if (!e.sub || e.paused)
                return;
            if (!core) {
                e.sub->disconnected(e.clock());
                return run(e);
            }
            SessionId side{++next_side};
            e.side = side, e.up = true;
            auto far = [this, &e, side](std::string_view in) {
                if (e.side != side || !e.sub)
                    return;
                std::string bytes(in);
                auto call = [this, &e, side, bytes] {
                    if (e.side != side || !e.sub)
                        return;
                    e.sub->received(e.clock(), bytes);
                    run(e);
                };
                if (e.paused)
                    at(now + 10 * ms, [this, &e, far_call = call] { retry_paused(e, far_call); });
                else
                    call();
            };
            conns[side] = {far, [this, &e, side] {
                               if (e.side != side)
                                   return;
                               e.side = SessionId{0}, e.up = false;
                               if (!e.sub)
                                   return;
                               e.sub->disconnected(e.clock());
                               if (!e.paused)
                                   run(e);
                           }};
            planner_in([this, side] { core->connected(now, side); });
            e.sub->connected(e.clock());
            run(e);
        });
    }
    void retry_paused(EdgeHost &e, std::function<void()> call) {
        if (e.paused)
            at(now + 10 * ms, [this, &e, call] { retry_paused(e, call); });
        else
            call();
    }
    void dial(NodeHost &n) {
        at(now + under(2 * ms) + 1, [this, &n] {
            if (!n.running)
                return;
            if (!core) {
                n.reg->disconnected(now);
                return run(n);
            }
            SessionId side{++next_side};
            n.side = side;
            conns[side] = {[this, &n, side](std::string_view in) {
                               if (n.side == side && n.running)
                                   n.reg->received(now, in), run(n);
                           },
                           [this, &n, side] {
                               if (n.side != side)
                                   return;
                               n.side = SessionId{0};
                               if (n.running)
                                   n.reg->disconnected(now), run(n);
                           }};
            planner_in([this, side] { core->connected(now, side); });
            n.reg->connected(now);
            run(n);
        });
    }
    void to_planner(SessionId side, std::string bytes) {
        out.planner_bytes_in += bytes.size();
        pass(side, std::move(bytes), 0, [this, side](std::string_view in) {
            planner_in([this, side, bytes = std::string(in)] { core->received(now, side, bytes); });
        });
    }
    // The far side closed, or we did.
    void hang_up(SessionId side, bool by_far) {
        auto it = conns.find(side);
        if (it == conns.end() || !std::exchange(it->second.open, false))
            return;
        if (by_far)
            planner_in([this, side] { core->disconnected(now, side); });
    }

    // ---- The planner.
    void planner_in(const std::function<void()> &call) {
        if (planner_paused) {
            while_paused.push_back(call);
            return;
        }
        if (!core)
            return;
        call();
        planner_run();
    }
    void planner_run() {
        if (!core || planner_paused)
            return;
        auto before = disk.position.version;
        core->settle(now);
        if (disk.died)
            return planner_die();
        if (before != disk.position.version)
            durable_at[disk.position.version] = now, ++out.versions;
        auto due = core->next_due();
        planner_wake = due == never ? never : std::max(now, due);
    }
    void planner_start() {
        // A store as it is on disk: what was gathered is lost with the process.
        disk.lives_on();
        planner::PlannerConfig config;
        config.lease = day.lease;
        config.lease_margin = day.lease / 20 + 100 * ms;
        config.fade = day.fade;
        config.node_silence = 2 * sec;
        config.node_removal_delay = sec;
        config.node_return_delay = sec;
        config.drain_time = 2 * sec;
        core = std::make_unique<planner::Core>(*this, disk, config);
        for (auto &[key, row] : disk.rows) {
            auto [kind, a, b] = key;
            if (day.planner_forgets && kind == planner::StateStore::Row::quota_share)
                continue;
            if (auto fault = core->restore(kind, a, b, row.stamp, row.body); !fault.empty())
                broken("a row is not read back: " + fault);
        }
        ++out.terms;
        planner::PlannerStart from{disk.position, ++instances, false};
        if (disk.position.term == planner::Term{0})
            from.position.lineage = day.seed + 1;
        from.position.term = planner::Term{disk.position.term.value + 1};
        if (!core->start(now, from))
            return planner_die();
        for (auto &[line, what] : core->apply_desired_state(now, wanted))
            broken("settings refused: " + what);
        planner_run();
    }
    void planner_die() {
        ++out.met["planner deaths"];
        core.reset();
        planner_paused = false, while_paused.clear(), planner_wake = never;
        for (auto &[side, c] : std::exchange(conns, {}))
            if (c.open)
                c.cut();
        at(now + 100 * ms + (quiet ? 0 : under(happens(0.2) ? 30 * sec : 2 * sec)), [this] {
            if (!core)
                planner_start();
        });
    }
    void send(SessionId side, std::string bytes) override {
        out.planner_bytes_out += bytes.size();
        auto it = conns.find(side);
        if (it != conns.end())
            pass(side, std::move(bytes), day.late > 0 && !quiet ? under(day.late) : 0,
                 it->second.to_far);
    }
    void close(SessionId side) override {
        auto it = conns.find(side);
        if (it == conns.end() || !std::exchange(it->second.open, false))
            return;
        at(now + 1, [this, side] {
            if (auto c = conns.find(side); c != conns.end()) {
                auto cut = c->second.cut;
                conns.erase(c);
                cut();
            }
            planner_in([this, side] { core->disconnected(now, side); });
        });
    }
    void log_event(std::string) override {}
    void retired() override { broken("the only planner retired"); }

    // ---- Edges and nodes.
    void run(EdgeHost &e) {
        if (!e.sub || e.paused)
            return;
        e.sub->tick(e.clock());
        e.wake = std::max(now, e.real(e.sub->next_due()));
    }
    void run(NodeHost &n) {
        if (!n.running)
            return;
        n.reg->tick(now);
        n.wake = std::max(now, n.reg->next_due());
    }
    void start(EdgeHost &e) {
        e.sub = std::make_unique<edge::PlannerClient>(
            e, edge::PlannerClientConfig{e.id, "e", day.seed + instances++, day.lease / 6,
                                         24 * 3600 * sec});
        e.sub->start(e.clock(), e.disk);
        run(e);
    }
    void stop(EdgeHost &e) {
        for (auto &[v, u] : e.usable)
            if (!e.paused)
                usable[v] -= u;
        e.usable.clear(), e.serving.clear();
        e.paused = false;
        auto side = std::exchange(e.side, SessionId{0});
        e.sub.reset();
        e.wake = never;
        hang_up(side, true);
    }
    void pause(EdgeHost &e, bool on) {
        if (!e.sub || e.paused == on)
            return;
        // What stands still uses nothing; what wakes has looked at its clock before it does.
        if (on) {
            for (auto &[v, u] : e.usable)
                usable[v] -= u;
            e.paused = true, e.wake = never;
        } else {
            e.sub->tick(e.clock());
            e.paused = false;
            for (auto &[v, u] : e.usable)
                usable[v] += u;
            run(e);
        }
    }
    void taken(EdgeHost &e, const control::ClusterState &table,
               const std::map<NodeId, Time> &started) {
        auto &copy = e.sub->replica();
        if (copy.term() < e.term || copy.version() < e.version)
            broken("edge " + std::to_string(e.id.value) + " went back from version " +
                   std::to_string(e.version.value) + " to " + std::to_string(copy.version().value));
        std::string all;
        for (auto &[id, n] : table.nodes)
            all += control::encode(control::NodeUpdate{id, n});
        for (auto &[id, p] : table.plans)
            all += control::encode(control::PlanUpdate{id, p});
        for (auto &[id, v] : table.volumes)
            all += control::encode(control::VolumeUpdate{id, v});
        auto [it, is_new] = content.try_emplace({copy.lineage(), copy.version()}, all);
        if (!is_new && it->second != all)
            broken("version " + std::to_string(copy.version().value) +
                   " is held with two contents");
        for (auto &[id, n] : table.nodes) {
            auto was = e.nodes.find(id);
            auto &ended = undrained[id];
            if (was != e.nodes.end() && was->second == NodeState::draining &&
                n.state == NodeState::ready &&
                (ended.upper_bound(e.version) == ended.end() ||
                 *ended.upper_bound(e.version) > copy.version()))
                broken("the drain of node " + std::to_string(id.value) + " ended unsaid");
            e.nodes[id] = n.state;
            if (started.at(id) > e.clock())
                broken("a node started in an edge's future");
        }
        e.term = copy.term(), e.version = copy.version();
        reached[copy.version()].push_back(now);
    }
    void check() {
        for (auto &[v, sum] : usable)
            if (sum > static_cast<std::int64_t>(control::full_limit_millionths))
                broken("edges use " + std::to_string(sum) + " millionths of volume " +
                       std::to_string(v.value) + "'s limit");
    }

    // ---- Troubles.
    void restart(NodeHost &n, Time down) {
        if (!n.running)
            return;
        n.running = false;
        n.reg->stop(now);
        hang_up(std::exchange(n.side, SessionId{0}), true);
        at(now + down, [this, &n] {
            n.running = true;
            n.reg->start(now, ++n.incarnation, now);
            run(n);
        });
    }
    void drain(NodeId node, bool on) {
        if (!core || planner_paused)
            return;
        SessionId side{++next_side};
        conns[side] = {[](std::string_view) {}, [] {}};
        drain_said[node] = on; // from here on it may be either, until it is durable
        planner_in([this, side] { core->connected(now, side); });
        if (!on)
            undrained[node].insert(core->state().open_version());
        planner_in([this, side, node, on] {
            core->received(
                now, side,
                control::encode(control::DrainRequest{node, on, control::DrainMode::force}));
        });
        ++out.met[on ? "drains" : "undrains"];
    }
    void trouble() {
        auto &e = *edges[chance() % edges.size()];
        auto &n = *nodes[chance() % nodes.size()];
        switch (chance() % 10) {
        case 0: { // an edge's process ends and another comes
            ++out.met["edge restarts"];
            stop(e);
            at(now + under(10 * sec), [this, &e] {
                if (!e.sub)
                    start(e);
            });
            break;
        }
        case 1:
        case 2:
        case 3: { // clients come and go
            if (!e.sub || e.paused)
                break;
            VolumeId v{1 + chance() % day.volumes};
            bool on = !e.serving.contains(v);
            if (on && e.serving.size() >= day.served)
                break;
            if (on)
                e.serving.insert(v);
            else
                e.serving.erase(v);
            e.sub->volume_used(e.clock(), v, on);
            run(e);
            ++out.met[on ? "volumes taken up" : "volumes left"];
            break;
        }
        case 4: { // an edge stands still, past its lease at times
            ++out.met["edge pauses"];
            pause(e, true);
            at(now + under(2 * day.lease), [this, &e] { pause(e, false); });
            break;
        }
        case 5:
            restart(n, 50 * ms + under(3 * sec)), ++out.met["node restarts"];
            break;
        case 6:
            drain(n.id, !drain_said[n.id]);
            break;
        case 7:
            if (!day.halls)
                break;
            ++out.met["halls"];
            for (std::size_t i = 0; i < nodes.size(); i += 2)
                restart(*nodes[i], 500 * ms + under(sec));
            break;
        case 8: // the connection between goes
            if (e.side.value) {
                auto side = e.side;
                auto it = conns.find(side);
                if (it != conns.end() && it->second.open) {
                    it->second.open = false;
                    auto cut = it->second.cut;
                    planner_in([this, side] { core->disconnected(now, side); });
                    cut();
                }
            }
            break;
        case 9: {
            if (!day.planner_dies || !core)
                break;
            auto how = chance() % 4;
            if (how == 0) {
                planner_die();
            } else if (how < 3) {
                disk.die_at = static_cast<int>(how);
            } else if (!planner_paused) { // stopped, past all leases at times, and woken
                ++out.met["planner pauses"];
                planner_paused = true, planner_wake = never;
                at(now + under(2 * day.lease), [this] {
                    if (!std::exchange(planner_paused, false))
                        return;
                    auto calls = std::exchange(while_paused, {});
                    for (auto &call : calls)
                        planner_in(call);
                    planner_run();
                });
            }
            break;
        }
        }
        if (!quiet)
            at(now + 1 + under(2 * day.trouble_every), [this] { trouble(); });
    }

    bool agreed() {
        if (!core || planner_paused || disk.position.version != core->version())
            return false;
        for (auto &e : edges) {
            if (!e->sub || e->paused)
                return false;
            if (e->sub->replica().version() != core->version() ||
                e->sub->replica().term() != core->term())
                return false;
            if (e->sub->past_lease(e->clock()) > 0)
                return false;
        }
        // What is parted is all that can be: whoever serves a volume has its even part.
        std::map<VolumeId, std::vector<std::int64_t>> parts;
        for (auto &e : edges)
            for (auto v : e->serving)
                parts[v].push_back(e->usable[v]);
        for (auto &[v, all] : parts)
            for (auto p : all)
                if (p != static_cast<std::int64_t>(control::full_limit_millionths / all.size()))
                    return false;
        return true;
    }

    // What is not as it should be in the end, for who reads a failing seed.
    std::string why() {
        std::string out_text =
            core ? "planner at version " + std::to_string(core->version().value) : "no planner";
        for (auto &e : edges) {
            out_text += "; edge " + std::to_string(e->id.value);
            if (!e->sub)
                continue;
            out_text += " version " + std::to_string(e->sub->replica().version().value) +
                        " past lease " + std::to_string(e->sub->past_lease(e->clock()) / ms) + "ms";
            for (auto v : e->serving)
                out_text +=
                    " volume " + std::to_string(v.value) + ":" + std::to_string(e->usable[v]);
        }
        return out_text;
    }

    void play() {
        wanted.version = 1;
        wanted.plans["p"] = {"p", 1, 100, 0, 1, 100, 50};
        for (std::uint32_t i = 1; i <= day.volumes; ++i)
            wanted.volumes[VolumeId{i}] = {{"v" + std::to_string(i), 1 << 30, 512, {}}, "p", 0};
        for (std::uint32_t i = 1; i <= day.nodes; ++i)
            wanted.nodes[NodeId{i}] = {ShardId{static_cast<std::int32_t>(i)}, ZoneId{0}, false, "",
                                       0};
        planner_start();
        for (std::uint32_t i = 0; i < day.edges; ++i) {
            // Clocks a hundredth off at most, set hours apart.
            double drift = (static_cast<double>(chance() % 2001) - 1000) / 1e5;
            edges.push_back(std::make_unique<EdgeHost>(*this, EdgeId{i}, drift, under(3600 * sec)));
            at(now + under(sec), [this, e = edges.back().get()] { start(*e); });
        }
        for (std::uint32_t i = 1; i <= day.nodes; ++i) {
            nodes.push_back(std::make_unique<NodeHost>());
            auto *n = nodes.back().get();
            n->id = NodeId{i};
            n->reg = std::make_unique<node::PlannerRegistration>(
                node::PlannerRegistration::Actions{
                    [this, n] { dial(*n); },
                    [this, n] { hang_up(std::exchange(n->side, SessionId{0}), true); },
                    [this, n](std::string b) { to_planner(n->side, std::move(b)); },
                    [](std::string) {}},
                node::PlannerRegistrationConfig{n->id, ShardId{static_cast<std::int32_t>(i)},
                                                ZoneId{0}, "n" + std::to_string(i), day.seed + i,
                                                500 * ms});
            at(now + under(sec),
               [this, n] { n->reg->start(now, n->incarnation, now - 3600 * sec), run(*n); });
        }
        Time began = now, ends = now + day.length, last = ends + 120 * sec;
        at(now + 2 * sec, [this] { trouble(); });
        bool ended = false;
        while (now < last) {
            Time next = std::min(events.empty() ? never : events.begin()->first, planner_wake);
            for (auto &e : edges)
                next = std::min(next, e->wake);
            for (auto &n : nodes)
                next = std::min(next, n->wake);
            if (next >= ends && !ended) {
                ended = quiet = true, now = ends;
                for (auto &e : edges) {
                    pause(*e, false);
                    if (!e->sub)
                        start(*e);
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
                planner_run();
            } else {
                for (auto &e : edges)
                    if (e->wake <= now)
                        e->wake = never, run(*e);
                for (auto &n : nodes)
                    if (n->wake <= now)
                        n->wake = never, run(*n);
            }
            if (day.edges_never_lapse)
                for (auto &e : edges)
                    if (e->sub && e->side.value == 0)
                        never_lapse(*e);
            check();
            if (out.broken.size() >= 10)
                break;
            if (ended && agreed()) {
                out.settled_after = now - ends;
                break;
            }
        }
        if (out.broken.empty() && (now >= last || out.settled_after == 0) && !agreed())
            broken("two quiet minutes, and not all agree: " + why());
        out.length = now - began;
        for (auto &[version, when] : durable_at) {
            auto it = reached.find(version);
            if (it == reached.end() || it->second.size() < day.edges)
                continue;
            auto sorted = it->second;
            std::sort(sorted.begin(), sorted.end());
            out.middle.push_back(sorted[sorted.size() / 2] - when);
            out.last.push_back(sorted.back() - when);
        }
    }
    // An edge that goes on with what it had, whatever its clock says.
    void never_lapse(EdgeHost &e) {
        for (auto v : e.serving) {
            auto part = e.sub->replica().cluster_state().quota_shares.find(v);
            if (part == e.sub->replica().cluster_state().quota_shares.end())
                continue;
            e.quota_share_changed(v, static_cast<double>(control::full_limit_millionths) /
                                         std::max(1u, part->second.millionths));
        }
    }
};

} // namespace

PlanResult play(const PlanDay &day) {
    World w(day);
    w.play();
    return std::move(w.out);
}

} // namespace knotvane::sim
