// One cut's steps over edges and nodes, what ends it, and what is taken back.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;
using control::EdgeIncarnation;
using Lines = std::vector<std::string>;

namespace {

struct Ordered final : SnapshotCoordinator::Orders {
    Lines recorded;
    static std::string t(auto id) { return std::to_string(id.value); }
    void hold(EdgeId e, VolumeId, VolumeId, std::uint32_t, Time) override {
        recorded.push_back("hold " + t(e));
    }
    void go(EdgeId e, VolumeId, VolumeId, std::uint32_t epoch) override {
        recorded.push_back("go " + t(e) + " " + std::to_string(epoch));
    }
    void release(EdgeId e, VolumeId, VolumeId) override { recorded.push_back("release " + t(e)); }
    void open(NodeId n, VolumeId, VolumeId, std::uint32_t,
              const std::vector<EdgeIncarnation> &late) override {
        std::string line = "open " + t(n) + " late";
        for (auto l : late)
            line += " " + t(l);
        recorded.push_back(line);
    }
    void seal(NodeId n, VolumeId, VolumeId) override { recorded.push_back("seal " + t(n)); }
    void clone(NodeId n, VolumeId, VolumeId) override { recorded.push_back("clone " + t(n)); }
    void drop(NodeId n, VolumeId) override { recorded.push_back("drop " + t(n)); }
    void whole(VolumeId) override { recorded.push_back("whole"); }
    void failed(VolumeId, const std::string &why, bool again) override {
        recorded.push_back(std::string("failed") + (again ? " again: " : ": ") + why);
    }
    void undone(VolumeId) override { recorded.push_back("undone"); }
    Lines take() { return std::exchange(recorded, {}); }
};

constexpr VolumeId of{7}, as{99};
struct Cutting {
    Ordered o;
    SnapshotCoordinator cuts{o};
    explicit Cutting(std::set<EdgeId> edges = {EdgeId{1}, EdgeId{2}}) {
        cuts.begin_cut(0, of, as, 5, std::move(edges), {NodeId{1}, NodeId{2}});
    }
    void edge(Time now, std::uint64_t e, SnapshotStep s) {
        cuts.edge_told(now, EdgeId{e}, EdgeIncarnation{e * 10}, as, s);
    }
    void node(Time now, std::uint64_t n, SnapshotStep s, std::uint8_t how = 0) {
        cuts.node_told(now, NodeId{n}, ShardId{static_cast<std::int32_t>(n) - 1}, as, s, how);
    }
    // Until edges go on.
    void opened() {
        for (std::uint64_t e : {1, 2})
            edge(ms, e, SnapshotStep::ready);
        for (std::uint64_t n : {1, 2})
            node(2 * ms, n, SnapshotStep::opened);
        o.take();
    }
};

} // namespace

TEST_SUITE("a cut's steps") {
    TEST_CASE("edges stop, nodes cut, edges go on, what began before ends, nodes seal; nothing "
              "goes before "
              "its time") {
        Cutting c;
        CHECK(c.o.take() == Lines{"hold 1", "hold 2"});
        c.edge(ms, 1, SnapshotStep::ready);
        CHECK(c.o.take().empty());
        c.edge(ms, 2, SnapshotStep::ready);
        CHECK(c.o.take() == Lines{"open 1 late 10 20", "open 2 late 10 20"});
        c.node(2 * ms, 1, SnapshotStep::opened);
        CHECK(c.o.take().empty());
        c.node(2 * ms, 2, SnapshotStep::opened);
        CHECK(c.o.take() == Lines{"go 1 5", "go 2 5"});
        c.edge(3 * ms, 1, SnapshotStep::moved);
        c.edge(3 * ms, 1, SnapshotStep::drained);
        c.edge(3 * ms, 2, SnapshotStep::moved);
        CHECK(c.o.take().empty());
        c.edge(900 * ms, 2, SnapshotStep::drained);
        CHECK(c.o.take() == Lines{"seal 1", "seal 2"});
        c.node(901 * ms, 1, SnapshotStep::sealed);
        CHECK(c.o.take().empty());
        c.node(901 * ms, 2, SnapshotStep::sealed);
        CHECK(c.o.take() == Lines{"whole"});
        CHECK(!c.cuts.busy(as));
    }
    TEST_CASE("without an edge nodes cut at once, and let nobody in") {
        Cutting c{{}};
        CHECK(c.o.take() == Lines{"open 1 late", "open 2 late"});
        c.node(ms, 1, SnapshotStep::opened), c.node(ms, 2, SnapshotStep::opened);
        CHECK(c.o.take() == Lines{"seal 1", "seal 2"});
    }
    TEST_CASE("an edge that does not stop in time is left out, told to go on, and not waited for") {
        Cutting c;
        c.edge(ms, 1, SnapshotStep::ready);
        c.o.take();
        c.cuts.tick(99 * ms, {});
        CHECK(c.o.take().empty());
        c.cuts.tick(100 * ms, {});
        CHECK(c.o.take() == Lines{"release 2", "open 1 late 10", "open 2 late 10"});
        c.edge(101 * ms, 2,
               SnapshotStep::ready); // its word was late: it holds changes back, and need not
        CHECK(c.o.take() == Lines{"release 2"});
        c.node(102 * ms, 1, SnapshotStep::opened), c.node(102 * ms, 2, SnapshotStep::opened);
        CHECK(c.o.take() == Lines{"go 1 5"});
    }
    TEST_CASE("an edge lost before nodes cut is left out; lost while its changes count, it ends "
              "the cut") {
        Cutting c;
        c.edge(ms, 1, SnapshotStep::ready), c.o.take();
        c.cuts.edge_gone(2 * ms, EdgeId{1});
        c.edge(3 * ms, 2, SnapshotStep::ready);
        CHECK(c.o.take() == Lines{"open 1 late 20", "open 2 late 20"});
        c.cuts.edge_gone(4 * ms, EdgeId{2});
        CHECK(c.o.take() == Lines{"failed again: edge 2 was lost on the way"});
    }
    TEST_CASE("an edge all of whose changes have ended may go") {
        Cutting c;
        c.opened();
        c.edge(3 * ms, 1, SnapshotStep::moved), c.edge(3 * ms, 1, SnapshotStep::drained),
            c.edge(3 * ms, 2, SnapshotStep::moved);
        c.cuts.edge_gone(4 * ms, EdgeId{1});
        CHECK(c.o.take().empty());
        c.edge(5 * ms, 2, SnapshotStep::drained);
        CHECK(c.o.take() == Lines{"seal 1", "seal 2"});
    }
    TEST_CASE("an edge that went on by itself ends it: others may be in the new epoch already") {
        Cutting c;
        c.opened();
        c.edge(3 * ms, 1, SnapshotStep::moved);
        c.edge(4 * ms, 2, SnapshotStep::lapsed);
        CHECK(c.o.take() == Lines{"failed again: edge 2 held its changes back for too long"});
        CHECK(c.cuts.next_due() > 1000 * sec);
    }
    TEST_CASE(
        "a node lost at any step ends it: what it cut was not durable, who is late it forgot") {
        for (int step = 0; step < 3; ++step) {
            Cutting c;
            if (step > 0)
                c.opened();
            if (step > 1)
                for (std::uint64_t e : {1, 2})
                    c.edge(3 * ms, e, SnapshotStep::moved),
                        c.edge(3 * ms, e, SnapshotStep::drained);
            c.o.take();
            c.cuts.node_gone(4 * ms, NodeId{2});
            CHECK(c.o.take().back() == "failed again: node 2 was lost on the way");
        }
    }
    TEST_CASE("a full store or one that fails ends it for good, and edges are let go on") {
        Cutting c;
        c.edge(ms, 1, SnapshotStep::ready), c.edge(ms, 2, SnapshotStep::ready), c.o.take();
        c.node(2 * ms, 1, SnapshotStep::opened, 3);
        CHECK(c.o.take() == Lines{"release 1", "release 2",
                                  "failed: node 1: less than a tenth of its store is free"});
    }
    TEST_CASE("each step has an end: nodes to cut, edges to go on, changes to end, nodes to seal") {
        Cutting c;
        for (std::uint64_t e : {1, 2})
            c.edge(ms, e, SnapshotStep::ready);
        c.cuts.tick(c.cuts.next_due(), {});
        CHECK(c.o.take().back() == "failed again: waited too long for nodes to cut: node 1, 2");
        Cutting d;
        d.opened();
        d.cuts.tick(d.cuts.next_due(), {});
        CHECK(d.o.take().back() == "failed again: waited too long for edges to go on: edge 1, 2");
        Cutting e;
        e.opened();
        e.edge(3 * ms, 1, SnapshotStep::moved), e.edge(3 * ms, 2, SnapshotStep::moved),
            e.edge(3 * ms, 2, SnapshotStep::drained);
        e.cuts.tick(e.cuts.next_due(), {});
        CHECK(e.o.take().back() == "failed again: waited too long for changes to end: edge 1");
    }
    TEST_CASE("steps said twice, too early or by a stranger change nothing") {
        Cutting c;
        c.o.take();
        c.node(ms, 1, SnapshotStep::opened), c.node(ms, 1, SnapshotStep::sealed);
        c.edge(ms, 9, SnapshotStep::ready), c.edge(ms, 1, SnapshotStep::ready),
            c.edge(ms, 1, SnapshotStep::ready);
        CHECK(c.o.take().empty());
        c.edge(ms, 2, SnapshotStep::ready);
        CHECK(c.o.take().size() == 2);
    }
    TEST_CASE(
        "what is undone is taken back at every shard, again and again until all have said so") {
        Ordered o;
        SnapshotCoordinator cuts(o);
        cuts.undo(as, {ShardId{0}, ShardId{1}});
        cuts.tick(0, {{NodeId{1}, ShardId{0}}});
        CHECK(o.take() == Lines{"drop 1"});
        cuts.node_told(ms, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped,
                       4); // its medium failed
        cuts.tick(sec, {{NodeId{1}, ShardId{0}}});
        CHECK(o.take().empty());
        cuts.tick(2 * sec, {{NodeId{1}, ShardId{0}}});
        CHECK(o.take() == Lines{"drop 1"});
        cuts.node_told(3 * sec, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped, 0);
        cuts.node_came(NodeId{5}, ShardId{1});
        CHECK(o.take() == Lines{"drop 5"});
        cuts.node_told(3 * sec, NodeId{5}, ShardId{1}, as, SnapshotStep::dropped, 0);
        CHECK(o.take() == Lines{"undone"});
        cuts.undo(as, {ShardId{0}, ShardId{3}});
        cuts.shards({ShardId{0}}); // shard 3 is no more
        cuts.node_told(4 * sec, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped, 0);
        CHECK(o.take() == Lines{"undone"});
    }
}

namespace {
// An operator's question and its answer, with nodes and edges that do as they are told.
struct Snapshots : PlannerFixture {
    struct FakeNode final : control::MessageHandler {
        control::Reader reader;
        std::vector<std::string> answers, heard;
        std::uint8_t how = 0;
        void cut_open(VolumeId, VolumeId a, std::uint32_t epoch,
                      const std::vector<EdgeIncarnation> &) override {
            heard.push_back("open " + std::to_string(epoch));
            answers.push_back(control::tell_cut(a, SnapshotStep::opened, how));
        }
        void cut_seal(VolumeId, VolumeId a) override {
            answers.push_back(control::tell_cut(a, SnapshotStep::sealed, 0));
        }
        void cut_clone(VolumeId, VolumeId a) override {
            answers.push_back(control::tell_cut(a, SnapshotStep::cloned, 0));
        }
        void cut_drop(VolumeId a) override {
            heard.push_back("drop"),
                answers.push_back(control::tell_cut(a, SnapshotStep::dropped, 0));
        }
        void unexpected(const char *) override {}
    };
    std::map<std::uint64_t, FakeNode> nodes;
    std::uint64_t visitors = 50;
    // All messages of nodes, until they are silent.
    void run(Time now) {
        for (std::uint64_t n : {1, 2})
            if (seen.contains(100 + n + 1000))
                deliver(now, 100 + n + 1000, control::node_renew());
        for (int i = 0; i < 12; ++i) {
            core.settle(now);
            for (std::uint64_t n : {1, 2}) {
                auto session = 100 + n + 1000;
                nodes[n].reader.bytes(std::exchange(recorded.sent[SessionId{session}], {}),
                                      nodes[n]);
                for (auto &a : std::exchange(nodes[n].answers, {}))
                    deliver(now, session, a);
            }
        }
    }
    FakeEdge ask(Time now, std::uint8_t what, const std::string &a, const std::string &b = "",
                 const std::string &plan = "") {
        auto v = ++visitors;
        deliver(now, v, control::ask_cut(what, a, b, plan));
        run(now);
        FakeEdge heard;
        heard.reader.bytes(recorded.sent[SessionId{v}], heard);
        return heard;
    }
};
} // namespace

TEST_SUITE("snapshots by an operator's word") {
    TEST_CASE("one that is whole is a volume of its source's place and share, durable with its "
              "epoch before "
              "it is said") {
        Snapshots p;
        auto heard = p.ask(sec, 0, "v", "a");
        CHECK(heard.done);
        auto &t = p.core.state().cluster_state();
        auto &f = t.volumes.at(t.names.at("v@a"));
        CHECK(f.frozen);
        CHECK(f.place == VolumeId{7});
        CHECK(f.charge == VolumeId{7});
        CHECK(t.volumes.at(VolumeId{7}).epoch == 1);
        CHECK(p.ask(2 * sec, 0, "v", "a").effect_text == "v@a is there already, taken 1s ago");
        CHECK(p.ask(3 * sec, 0, "v", "b").done);
        CHECK(t.volumes.at(VolumeId{7}).epoch ==
              3); // by the clock: a planner that lost count is past it all the same
    }
    TEST_CASE("what can't be is refused with the reason, and nothing is begun") {
        Snapshots p;
        CHECK(p.ask(sec, 0, "w", "a").effect_text == "there is no volume or snapshot w");
        CHECK(!p.ask(sec, 0, "v", "a@b").allowed);
        CHECK(!p.ask(sec, 0, "v", "").allowed);
        p.ask(sec, 0, "v", "a");
        CHECK(p.ask(sec, 0, "v@a", "b").effect_text ==
              "v@a is a snapshot, which does not change: clone it");
        CHECK(p.ask(sec, 2, "v", "c").effect_text == "v is no snapshot: take one and clone that");
        CHECK(p.ask(sec, 2, "v@a", "c", "q").effect_text == "there is no plan q");
        CHECK(p.ask(sec, 1, "v").effect_text == "there is no snapshot or clone v");
        p.core.disconnected(sec, SessionId{1102}); // node 2
        CHECK(p.ask(sec, 0, "v", "b").effect_text ==
              "no node of shard 1 is connected to the planner");
    }
    TEST_CASE("a clone pays from its source's part, or has a plan that has no reserve") {
        Snapshots p;
        auto w = desired(2);
        w.plans["rich"] = {"rich", 1, 100, 50, 1, 0, 0};
        w.plans["test"] = {"test", 1, 100, 0, 1, 0, 0};
        std::vector<std::pair<int, std::string>> faults;
        p.core.apply_desired_state(sec, w, faults);
        p.ask(sec, 0, "v", "a");
        CHECK(p.ask(sec, 2, "v@a", "c").done);
        CHECK(!p.ask(sec, 2, "v@a", "d", "rich").allowed);
        CHECK(p.ask(sec, 2, "v@a", "e", "test").done);
        auto &t = p.core.state().cluster_state();
        auto &c = t.volumes.at(t.names.at("c")), &e = t.volumes.at(t.names.at("e"));
        CHECK(c.charge == VolumeId{7});
        CHECK(e.charged_to(t.names.at("e")) == t.names.at("e"));
        CHECK(e.place == VolumeId{7});
        CHECK(!c.frozen);
        // Settings that would take its plan, its origin or its name are refused.
        w.version = 3, w.plans.erase("test"), w.volumes.clear();
        w.volumes[VolumeId{8}] = {{"c", 1 << 20, 512, {}}, "p", 4};
        p.core.apply_desired_state(sec, w, faults);
        CHECK(faults.size() == 5); // v left out: three cuts; plan test; the name c
        CHECK(t.volumes.contains(VolumeId{7}));
    }
    TEST_CASE("one that fails leaves nothing: it is taken back, tried again, and the operator "
              "hears why") {
        Snapshots p;
        p.nodes[2].how = 3;
        auto heard = p.ask(sec, 0, "v", "a");
        CHECK(!heard.done);
        CHECK(heard.effect_text ==
              "v@a: node 2: less than a tenth of its store is free; nothing is left of it");
        CHECK(p.nodes[1].heard == Lines{"open 1", "drop"});
        CHECK(p.core.state().cluster_state().names.size() == 1);
        for (auto &[key, row] : p.recorded.rows)
            CHECK(std::get<0>(key) != StateStore::Row::undo);
    }
    TEST_CASE(
        "a planner that comes back takes back what was not whole, and gives its epoch to nobody") {
        RecordingTransport recorded;
        Core core(recorded, recorded, sec, 100 * ms, 10 * sec, 500 * ms, 200 * ms, 200 * ms, sec);
        core.restore(StateStore::Row::plan, 0, 0, Version{1},
                     control::put(PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 0, 0}));
        control::Volume v;
        v.name = "v", v.size = 1 << 20;
        core.restore(StateStore::Row::volume, 7, 0, Version{1}, control::put(VolumeId{7}, v));
        CHECK(core.restore(StateStore::Row::undo, 99, 7, Version{1}, "41").empty());
        CHECK(!core.restore(StateStore::Row::undo, 99, 7, Version{1}, "4x").empty());
        core.start(0, Term{2}, 12, 5, Version{1}, Version{0}, 1, false);
        CHECK(core.state().cluster_state().volumes.at(VolumeId{7}).epoch == 41);
        CHECK(core.busy_with(VolumeId{99}));
    }
    TEST_CASE("a drop that could not be made durable reaches no node") {
        Snapshots p;
        p.ask(sec, 0, "v", "a");
        auto orders = p.nodes[1].heard.size();
        p.recorded.durable = false;
        p.ask(sec, 1, "v@a");
        CHECK(p.nodes[1].heard.size() == orders);
        p.recorded.durable = true;
        p.run(sec + 600 * ms);
        CHECK(p.nodes[1].heard.size() == orders + 1);
    }
    TEST_CASE(
        "a second take is refused while the first is not yet begun, or waits to be tried again") {
        Snapshots p;
        p.deliver(sec, 61, control::ask_cut(0, "v", "b", "")),
            p.deliver(sec, 62, control::ask_cut(0, "v", "c", ""));
        p.run(sec);
        FakeEdge heard;
        heard.reader.bytes(p.recorded.sent[SessionId{62}], heard);
        CHECK(heard.effect_text == "another snapshot of v is under way");
        CHECK(p.core.state().cluster_state().names.contains("v@b"));
    }
    TEST_CASE("dropping one that a client has open is refused with who; else it goes at once, at "
              "the nodes later") {
        Snapshots p;
        p.ask(sec, 0, "v", "a");
        auto id = p.core.state().cluster_state().names.at("v@a");
        p.hello(sec, 3, {id});
        CHECK(p.ask(sec, 1, "v@a").effect_text == "v@a is in use by clients of edge 3");
        p.deliver(sec, 3, control::serve(id, false));
        p.nodes[2].how = 0;
        CHECK(p.ask(sec, 1, "v@a").done);
        CHECK(!p.core.state().cluster_state().volumes.contains(id));
        p.core.settle(3 * sec);
        p.run(3 * sec);
        CHECK(!p.core.busy_with(id));
    }
}
