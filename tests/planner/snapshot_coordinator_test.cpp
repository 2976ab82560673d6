// One snapshot's steps over edges and nodes, what ends it, and what is taken back.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;
using control::EdgeIncarnation;
using control::SnapshotOperation;
using Lines = std::vector<std::string>;

namespace {

struct RecordingActions final : SnapshotCoordinator::Actions {
    Lines recorded;
    static std::string t(auto id) { return std::to_string(id.value); }
    void hold(EdgeId e, VolumeId, VolumeId, std::uint32_t, Time) override {
        recorded.push_back("hold " + t(e));
    }
    void resume(EdgeId e, VolumeId, VolumeId, std::uint32_t epoch) override {
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
    void completed(VolumeId) override { recorded.push_back("whole"); }
    void failed(VolumeId, const std::string &why, bool again) override {
        recorded.push_back(std::string("failed") + (again ? " again: " : ": ") + why);
    }
    void dropped_everywhere(VolumeId) override { recorded.push_back("undone"); }
    Lines take() { return std::exchange(recorded, {}); }
};

constexpr VolumeId of{7}, as{99};
struct RunningSnapshot {
    RecordingActions actions;
    SnapshotCoordinator coordinator{actions};
    explicit RunningSnapshot(std::set<EdgeId> edges = {EdgeId{1}, EdgeId{2}}) {
        coordinator.begin_snapshot(0, of, as, 5, std::move(edges), {NodeId{1}, NodeId{2}});
    }
    void edge(Time now, std::uint64_t e, SnapshotStep s) {
        coordinator.handle_edge_step(now, EdgeId{e}, EdgeIncarnation{e * 10}, as, s);
    }
    void node(Time now, std::uint64_t n, SnapshotStep s,
              SnapshotResult result = SnapshotResult::done) {
        coordinator.handle_node_step(now, NodeId{n}, ShardId{static_cast<std::int32_t>(n) - 1}, as,
                                     s, result);
    }
    // Until edges go on.
    void opened() {
        for (std::uint64_t e : {1, 2})
            edge(ms, e, SnapshotStep::holding);
        for (std::uint64_t n : {1, 2})
            node(2 * ms, n, SnapshotStep::opened);
        actions.take();
    }
};

} // namespace

TEST_SUITE("a snapshot's steps") {
    TEST_CASE("edges hold, nodes open, edges resume, earlier writes end, nodes seal; nothing "
              "before its time") {
        RunningSnapshot c;
        CHECK(c.actions.take() == Lines{"hold 1", "hold 2"});
        c.edge(ms, 1, SnapshotStep::holding);
        CHECK(c.actions.take().empty());
        c.edge(ms, 2, SnapshotStep::holding);
        CHECK(c.actions.take() == Lines{"open 1 late 10 20", "open 2 late 10 20"});
        c.node(2 * ms, 1, SnapshotStep::opened);
        CHECK(c.actions.take().empty());
        c.node(2 * ms, 2, SnapshotStep::opened);
        CHECK(c.actions.take() == Lines{"go 1 5", "go 2 5"});
        c.edge(3 * ms, 1, SnapshotStep::resumed);
        c.edge(3 * ms, 1, SnapshotStep::drained);
        c.edge(3 * ms, 2, SnapshotStep::resumed);
        CHECK(c.actions.take().empty());
        c.edge(900 * ms, 2, SnapshotStep::drained);
        CHECK(c.actions.take() == Lines{"seal 1", "seal 2"});
        c.node(901 * ms, 1, SnapshotStep::sealed);
        CHECK(c.actions.take().empty());
        c.node(901 * ms, 2, SnapshotStep::sealed);
        CHECK(c.actions.take() == Lines{"whole"});
        CHECK(!c.coordinator.is_running(as));
    }
    TEST_CASE("without an edge nodes open at once, and accept no late writer") {
        RunningSnapshot c{{}};
        CHECK(c.actions.take() == Lines{"open 1 late", "open 2 late"});
        c.node(ms, 1, SnapshotStep::opened), c.node(ms, 2, SnapshotStep::opened);
        CHECK(c.actions.take() == Lines{"seal 1", "seal 2"});
    }
    // An edge stands still while a snapshot begins; it must neither delay the others' writes nor
    // change the snapshot afterwards.
    TEST_CASE("an edge that does not hold in time is released, and not waited for") {
        RunningSnapshot c;
        c.edge(ms, 1, SnapshotStep::holding);
        c.actions.take();
        c.coordinator.tick(99 * ms, {});
        CHECK(c.actions.take().empty());
        c.coordinator.tick(100 * ms, {});
        CHECK(c.actions.take() == Lines{"release 2", "open 1 late 10", "open 2 late 10"});
        c.edge(101 * ms, 2,
               SnapshotStep::holding); // its word was late: it holds changes back, and need not
        CHECK(c.actions.take() == Lines{"release 2"});
        c.node(102 * ms, 1, SnapshotStep::opened), c.node(102 * ms, 2, SnapshotStep::opened);
        CHECK(c.actions.take() == Lines{"go 1 5"});
    }
    // An edge's process dies in the middle: its late writes may be half in the snapshot.
    TEST_CASE("an edge lost before nodes open is left out; lost while its writes count, it ends "
              "the snapshot") {
        RunningSnapshot c;
        c.edge(ms, 1, SnapshotStep::holding), c.actions.take();
        c.coordinator.edge_disconnected(2 * ms, EdgeId{1});
        c.edge(3 * ms, 2, SnapshotStep::holding);
        CHECK(c.actions.take() == Lines{"open 1 late 20", "open 2 late 20"});
        c.coordinator.edge_disconnected(4 * ms, EdgeId{2});
        CHECK(c.actions.take() == Lines{"failed again: edge 2 was lost on the way"});
    }
    TEST_CASE("an edge all of whose earlier writes have ended may disconnect") {
        RunningSnapshot c;
        c.opened();
        c.edge(3 * ms, 1, SnapshotStep::resumed), c.edge(3 * ms, 1, SnapshotStep::drained),
            c.edge(3 * ms, 2, SnapshotStep::resumed);
        c.coordinator.edge_disconnected(4 * ms, EdgeId{1});
        CHECK(c.actions.take().empty());
        c.edge(5 * ms, 2, SnapshotStep::drained);
        CHECK(c.actions.take() == Lines{"seal 1", "seal 2"});
    }
    // The planner is slow, and an edge gives up holding. Its new writes carry the old epoch, while
    // others already use the new one: the snapshot would have one and lack the other.
    TEST_CASE("an edge that went on by itself ends the snapshot") {
        RunningSnapshot c;
        c.opened();
        c.edge(3 * ms, 1, SnapshotStep::resumed);
        c.edge(4 * ms, 2, SnapshotStep::hold_expired);
        CHECK(c.actions.take() == Lines{"failed again: edge 2 held its changes back for too long"});
        CHECK(c.coordinator.next_due() > 1000 * sec);
    }
    // A node restarts in the middle: what it opened was not durable, and it forgot the late
    // writers.
    TEST_CASE("a node lost at any step ends the snapshot") {
        for (int step = 0; step < 3; ++step) {
            RunningSnapshot c;
            if (step > 0)
                c.opened();
            if (step > 1)
                for (std::uint64_t e : {1, 2})
                    c.edge(3 * ms, e, SnapshotStep::resumed),
                        c.edge(3 * ms, e, SnapshotStep::drained);
            c.actions.take();
            c.coordinator.node_disconnected(NodeId{2});
            CHECK(c.actions.take().back() == "failed again: node 2 was lost on the way");
        }
    }
    // A node's store is full, or its medium fails: another attempt would meet the same.
    TEST_CASE("a full or failing store ends the snapshot without a retry, and edges are released") {
        RunningSnapshot c;
        c.edge(ms, 1, SnapshotStep::holding), c.edge(ms, 2, SnapshotStep::holding),
            c.actions.take();
        c.node(2 * ms, 1, SnapshotStep::opened, SnapshotResult::no_space);
        CHECK(c.actions.take() == Lines{"release 1", "release 2",
                                        "failed: node 1: less than a tenth of its store is free"});
    }
    // Somebody never answers. Without a deadline, edges would hold or nodes keep a snapshot open
    // for good.
    TEST_CASE("each step has a deadline") {
        RunningSnapshot c;
        for (std::uint64_t e : {1, 2})
            c.edge(ms, e, SnapshotStep::holding);
        c.coordinator.tick(c.coordinator.next_due(), {});
        CHECK(c.actions.take().back() ==
              "failed again: waited too long for nodes to cut: node 1, 2");
        RunningSnapshot d;
        d.opened();
        d.coordinator.tick(d.coordinator.next_due(), {});
        CHECK(d.actions.take().back() ==
              "failed again: waited too long for edges to go on: edge 1, 2");
        RunningSnapshot e;
        e.opened();
        e.edge(3 * ms, 1, SnapshotStep::resumed), e.edge(3 * ms, 2, SnapshotStep::resumed),
            e.edge(3 * ms, 2, SnapshotStep::drained);
        e.coordinator.tick(e.coordinator.next_due(), {});
        CHECK(e.actions.take().back() ==
              "failed again: waited too long for changes to end: edge 1");
    }
    TEST_CASE("steps reported twice, too early or by a stranger change nothing") {
        RunningSnapshot c;
        c.actions.take();
        c.node(ms, 1, SnapshotStep::opened), c.node(ms, 1, SnapshotStep::sealed);
        c.edge(ms, 9, SnapshotStep::holding), c.edge(ms, 1, SnapshotStep::holding),
            c.edge(ms, 1, SnapshotStep::holding);
        CHECK(c.actions.take().empty());
        c.edge(ms, 2, SnapshotStep::holding);
        CHECK(c.actions.take().size() == 2);
    }
    // A node is down, or its medium fails, while a failed snapshot is taken back.
    TEST_CASE("a failed snapshot is dropped at every shard, again until each has confirmed it") {
        RecordingActions actions;
        SnapshotCoordinator coordinator(actions);
        coordinator.drop_everywhere(as, {ShardId{0}, ShardId{1}});
        coordinator.tick(0, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take() == Lines{"drop 1"});
        coordinator.handle_node_step(ms, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped,
                                     SnapshotResult::failed); // its medium failed
        coordinator.tick(sec, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take().empty());
        coordinator.tick(2 * sec, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take() == Lines{"drop 1"});
        coordinator.handle_node_step(3 * sec, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped,
                                     SnapshotResult::done);
        coordinator.node_connected(NodeId{5}, ShardId{1});
        CHECK(actions.take() == Lines{"drop 5"});
        coordinator.handle_node_step(3 * sec, NodeId{5}, ShardId{1}, as, SnapshotStep::dropped,
                                     SnapshotResult::done);
        CHECK(actions.take() == Lines{"undone"});
        coordinator.drop_everywhere(as, {ShardId{0}, ShardId{3}});
        coordinator.set_shards({ShardId{0}}); // shard 3 is no more
        coordinator.handle_node_step(4 * sec, NodeId{1}, ShardId{0}, as, SnapshotStep::dropped,
                                     SnapshotResult::done);
        CHECK(actions.take() == Lines{"undone"});
    }
}
