// The steps of a snapshot over edges and nodes, what makes it fail, and what nodes then drop.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;
using control::EdgeIncarnation;
using control::SnapshotOperation;
using Lines = std::vector<std::string>;

namespace {

// Records each call as a line of text.
struct RecordingActions final : SnapshotCoordinator::Actions {
    Lines recorded;
    static std::string text(auto id) { return std::to_string(id.value); }
    void hold_writes(EdgeId edge, VolumeId, VolumeId, std::uint32_t, Time) override {
        recorded.push_back("hold " + text(edge));
    }
    void resume_writes(EdgeId edge, VolumeId, VolumeId, std::uint32_t epoch) override {
        recorded.push_back("resume " + text(edge) + " " + std::to_string(epoch));
    }
    void cancel_hold(EdgeId edge, VolumeId, VolumeId) override {
        recorded.push_back("cancel hold " + text(edge));
    }
    void open_snapshot(NodeId node, VolumeId, VolumeId, std::uint32_t,
                       const std::vector<EdgeIncarnation> &late_writers) override {
        std::string line = "open " + text(node) + " late";
        for (auto incarnation : late_writers)
            line += " " + text(incarnation);
        recorded.push_back(line);
    }
    void seal_snapshot(NodeId node, VolumeId, VolumeId) override {
        recorded.push_back("seal " + text(node));
    }
    void open_clone(NodeId node, VolumeId, VolumeId) override {
        recorded.push_back("clone " + text(node));
    }
    void drop_snapshot(NodeId node, VolumeId) override { recorded.push_back("drop " + text(node)); }
    void completed(VolumeId) override { recorded.push_back("completed"); }
    void failed(VolumeId, const std::string &error, bool retry) override {
        recorded.push_back(std::string("failed") + (retry ? ", retry: " : ": ") + error);
    }
    void dropped_everywhere(VolumeId) override { recorded.push_back("dropped everywhere"); }
    Lines take() { return std::exchange(recorded, {}); }
};

constexpr VolumeId volume{7}, snapshot{99};

// A snapshot that has been started, with nodes 1 and 2 of shards 0 and 1. The edges' incarnations
// are ten times their ids.
struct RunningSnapshot {
    RecordingActions actions;
    SnapshotCoordinator coordinator{actions};
    explicit RunningSnapshot(std::set<EdgeId> edges = {EdgeId{1}, EdgeId{2}}) {
        coordinator.begin_snapshot(0, volume, snapshot, 5, std::move(edges),
                                   {NodeId{1}, NodeId{2}});
    }
    void report_edge(Time now, std::uint64_t edge, SnapshotStep step) {
        coordinator.handle_edge_step(now, EdgeId{edge}, EdgeIncarnation{edge * 10}, snapshot, step);
    }
    void report_node(Time now, std::uint64_t node, SnapshotStep step,
                     SnapshotResult result = SnapshotResult::done) {
        coordinator.handle_node_step(now, NodeId{node},
                                     ShardId{static_cast<std::int32_t>(node) - 1}, snapshot, step,
                                     result);
    }
    // Advances to the phase in which edges resume their writes.
    void open_at_nodes() {
        for (std::uint64_t edge : {1, 2})
            report_edge(ms, edge, SnapshotStep::holding);
        for (std::uint64_t node : {1, 2})
            report_node(2 * ms, node, SnapshotStep::opened);
        actions.take();
    }
};

} // namespace

TEST_SUITE("snapshot coordinator") {
    TEST_CASE(
        "edges hold writes, nodes open the snapshot, edges resume, writes of earlier epochs end, "
        "nodes seal; each step waits for the one before") {
        RunningSnapshot run;
        CHECK(run.actions.take() == Lines{"hold 1", "hold 2"});
        run.report_edge(ms, 1, SnapshotStep::holding);
        CHECK(run.actions.take().empty());
        run.report_edge(ms, 2, SnapshotStep::holding);
        CHECK(run.actions.take() == Lines{"open 1 late 10 20", "open 2 late 10 20"});
        run.report_node(2 * ms, 1, SnapshotStep::opened);
        CHECK(run.actions.take().empty());
        run.report_node(2 * ms, 2, SnapshotStep::opened);
        CHECK(run.actions.take() == Lines{"resume 1 5", "resume 2 5"});
        run.report_edge(3 * ms, 1, SnapshotStep::resumed);
        run.report_edge(3 * ms, 1, SnapshotStep::drained);
        run.report_edge(3 * ms, 2, SnapshotStep::resumed);
        CHECK(run.actions.take().empty());
        run.report_edge(900 * ms, 2, SnapshotStep::drained);
        CHECK(run.actions.take() == Lines{"seal 1", "seal 2"});
        run.report_node(901 * ms, 1, SnapshotStep::sealed);
        CHECK(run.actions.take().empty());
        run.report_node(901 * ms, 2, SnapshotStep::sealed);
        CHECK(run.actions.take() == Lines{"completed"});
        CHECK(!run.coordinator.is_running(snapshot));
    }
    TEST_CASE("without edges, nodes open the snapshot at once and accept no late writer") {
        RunningSnapshot run{{}};
        CHECK(run.actions.take() == Lines{"open 1 late", "open 2 late"});
        run.report_node(ms, 1, SnapshotStep::opened), run.report_node(ms, 2, SnapshotStep::opened);
        CHECK(run.actions.take() == Lines{"seal 1", "seal 2"});
    }
    // An edge does not respond when a snapshot starts. It must neither delay the writes of the
    // other edges nor change the snapshot afterwards.
    TEST_CASE("the hold of an edge that does not answer in time is cancelled, and the snapshot "
              "continues without the edge") {
        RunningSnapshot run;
        run.report_edge(ms, 1, SnapshotStep::holding);
        run.actions.take();
        run.coordinator.tick(99 * ms, {});
        CHECK(run.actions.take().empty());
        run.coordinator.tick(100 * ms, {});
        CHECK(run.actions.take() == Lines{"cancel hold 2", "open 1 late 10", "open 2 late 10"});
        run.report_edge(
            101 * ms, 2,
            SnapshotStep::holding); // too late: it holds writes and has to be told to stop
        CHECK(run.actions.take() == Lines{"cancel hold 2"});
        run.report_node(102 * ms, 1, SnapshotStep::opened),
            run.report_node(102 * ms, 2, SnapshotStep::opened);
        CHECK(run.actions.take() == Lines{"resume 1 5"});
    }
    // The process of an edge dies during a snapshot: only some of its late writes may have reached
    // the nodes.
    TEST_CASE("an edge that disconnects before nodes open the snapshot is excluded; one that "
              "disconnects while its late writes may arrive makes the snapshot fail") {
        RunningSnapshot run;
        run.report_edge(ms, 1, SnapshotStep::holding), run.actions.take();
        run.coordinator.edge_disconnected(2 * ms, EdgeId{1});
        run.report_edge(3 * ms, 2, SnapshotStep::holding);
        CHECK(run.actions.take() == Lines{"open 1 late 20", "open 2 late 20"});
        run.coordinator.edge_disconnected(4 * ms, EdgeId{2});
        CHECK(run.actions.take() == Lines{"failed, retry: edge 2 disconnected before its writes of "
                                          "earlier epochs had ended"});
    }
    TEST_CASE("an edge whose writes of earlier epochs have ended may disconnect") {
        RunningSnapshot run;
        run.open_at_nodes();
        run.report_edge(3 * ms, 1, SnapshotStep::resumed),
            run.report_edge(3 * ms, 1, SnapshotStep::drained),
            run.report_edge(3 * ms, 2, SnapshotStep::resumed);
        run.coordinator.edge_disconnected(4 * ms, EdgeId{1});
        CHECK(run.actions.take().empty());
        run.report_edge(5 * ms, 2, SnapshotStep::drained);
        CHECK(run.actions.take() == Lines{"seal 1", "seal 2"});
    }
    // The planner is slow, and the hold of an edge expires. Its new writes belong to the old epoch
    // while other edges already use the new one, so the snapshot would contain the former without
    // the latter.
    TEST_CASE("an expired hold makes the snapshot fail") {
        RunningSnapshot run;
        run.open_at_nodes();
        run.report_edge(3 * ms, 1, SnapshotStep::resumed);
        run.report_edge(4 * ms, 2, SnapshotStep::hold_expired);
        CHECK(run.actions.take() ==
              Lines{"failed, retry: edge 2's hold on writes expired before it was told to resume"});
        CHECK(run.coordinator.next_due() > 1000 * sec);
    }
    // A node restarts during a snapshot: its open snapshot was not durable, and it no longer knows
    // the late writers.
    TEST_CASE("a node that disconnects at any step makes the snapshot fail") {
        for (int step = 0; step < 3; ++step) {
            RunningSnapshot run;
            if (step > 0)
                run.open_at_nodes();
            if (step > 1)
                for (std::uint64_t edge : {1, 2})
                    run.report_edge(3 * ms, edge, SnapshotStep::resumed),
                        run.report_edge(3 * ms, edge, SnapshotStep::drained);
            run.actions.take();
            run.coordinator.node_disconnected(NodeId{2});
            CHECK(run.actions.take().back() ==
                  "failed, retry: node 2 disconnected before the end of the operation");
        }
    }
    // Another attempt would fail for the same reason.
    TEST_CASE(
        "a full or failing store makes the snapshot fail without a retry, and the edges' holds "
        "are cancelled") {
        RunningSnapshot run;
        run.report_edge(ms, 1, SnapshotStep::holding),
            run.report_edge(ms, 2, SnapshotStep::holding), run.actions.take();
        run.report_node(2 * ms, 1, SnapshotStep::opened, SnapshotResult::no_space);
        CHECK(run.actions.take() ==
              Lines{"cancel hold 1", "cancel hold 2",
                    "failed: node 1: less than a tenth of its store is free"});
    }
    // If an edge or node never answered and there were no deadline, edges would hold writes or
    // nodes keep a snapshot open forever.
    TEST_CASE("each step has a deadline") {
        RunningSnapshot run;
        for (std::uint64_t edge : {1, 2})
            run.report_edge(ms, edge, SnapshotStep::holding);
        run.coordinator.tick(run.coordinator.next_due(), {});
        CHECK(run.actions.take().back() ==
              "failed, retry: timed out waiting for nodes to open the snapshot: node 1, 2");
        RunningSnapshot resuming;
        resuming.open_at_nodes();
        resuming.coordinator.tick(resuming.coordinator.next_due(), {});
        CHECK(resuming.actions.take().back() ==
              "failed, retry: timed out waiting for edges to resume their writes: edge 1, 2");
        RunningSnapshot draining;
        draining.open_at_nodes();
        draining.report_edge(3 * ms, 1, SnapshotStep::resumed),
            draining.report_edge(3 * ms, 2, SnapshotStep::resumed),
            draining.report_edge(3 * ms, 2, SnapshotStep::drained);
        draining.coordinator.tick(draining.coordinator.next_due(), {});
        CHECK(draining.actions.take().back() ==
              "failed, retry: timed out waiting for writes of earlier epochs to end: edge 1");
    }
    TEST_CASE("a step that is reported twice, too early or by an edge that does not take part "
              "changes nothing") {
        RunningSnapshot run;
        run.actions.take();
        run.report_node(ms, 1, SnapshotStep::opened), run.report_node(ms, 1, SnapshotStep::sealed);
        run.report_edge(ms, 9, SnapshotStep::holding),
            run.report_edge(ms, 1, SnapshotStep::holding),
            run.report_edge(ms, 1, SnapshotStep::holding);
        CHECK(run.actions.take().empty());
        run.report_edge(ms, 2, SnapshotStep::holding);
        CHECK(run.actions.take().size() == 2);
    }
    // A node may be down, or its medium may fail, while a failed snapshot is dropped.
    TEST_CASE(
        "a failed snapshot is dropped at every shard, repeatedly until each has confirmed it") {
        RecordingActions actions;
        SnapshotCoordinator coordinator(actions);
        coordinator.drop_everywhere(snapshot, {ShardId{0}, ShardId{1}});
        coordinator.tick(0, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take() == Lines{"drop 1"});
        coordinator.handle_node_step(ms, NodeId{1}, ShardId{0}, snapshot, SnapshotStep::dropped,
                                     SnapshotResult::failed); // the node's medium failed
        coordinator.tick(sec, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take().empty());
        coordinator.tick(2 * sec, {{NodeId{1}, ShardId{0}}});
        CHECK(actions.take() == Lines{"drop 1"});
        coordinator.handle_node_step(3 * sec, NodeId{1}, ShardId{0}, snapshot,
                                     SnapshotStep::dropped, SnapshotResult::done);
        coordinator.node_connected(NodeId{5}, ShardId{1});
        CHECK(actions.take() == Lines{"drop 5"});
        coordinator.handle_node_step(3 * sec, NodeId{5}, ShardId{1}, snapshot,
                                     SnapshotStep::dropped, SnapshotResult::done);
        CHECK(actions.take() == Lines{"dropped everywhere"});
        coordinator.drop_everywhere(snapshot, {ShardId{0}, ShardId{3}});
        coordinator.set_shards({ShardId{0}}); // shard 3 was removed
        coordinator.handle_node_step(4 * sec, NodeId{1}, ShardId{0}, snapshot,
                                     SnapshotStep::dropped, SnapshotResult::done);
        CHECK(actions.take() == Lines{"dropped everywhere"});
    }
}
