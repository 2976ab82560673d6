// Operators' requests on snapshots and clones: which are refused, what is durable, and what is
// dropped.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;
using control::SnapshotOperation;
using Lines = std::vector<std::string>;

namespace {

// Sends operators' requests to a planner whose nodes carry out every order.
struct SnapshotFixture : PlannerFixture {
    struct FakeNode final : control::MessageHandler {
        control::MessageDecoder decoder;
        std::vector<std::string> reports; // not delivered to the planner yet
        Lines received;
        SnapshotResult open_result = SnapshotResult::done;

        using MessageHandler::handle;
        void report(VolumeId snapshot, SnapshotStep step,
                    SnapshotResult result = SnapshotResult::done) {
            reports.push_back(
                control::encode(control::SnapshotStepReport{snapshot, step, result, {}}));
        }
        void handle(const control::SnapshotOpen &message) override {
            received.push_back("open " + std::to_string(message.epoch));
            report(message.snapshot, SnapshotStep::opened, open_result);
        }
        void handle(const control::SnapshotSeal &message) override {
            report(message.snapshot, SnapshotStep::sealed);
        }
        void handle(const control::CloneOpen &message) override {
            report(message.clone, SnapshotStep::cloned);
        }
        void handle(const control::SnapshotDrop &message) override {
            received.push_back("drop");
            report(message.snapshot, SnapshotStep::dropped);
        }
        void handle_unexpected(std::string_view) override {}
    };
    std::map<std::uint64_t, FakeNode> nodes;
    std::uint64_t last_operator_session = 50;
    // Exchanges messages between the planner and the nodes until no more are sent.
    void exchange_messages(Time now) {
        for (std::uint64_t node : {1, 2})
            if (connected_sessions.contains(100 + node + 1000))
                deliver(now, 100 + node + 1000, control::NodeRenewal{});
        for (int round = 0; round < 12; ++round) {
            core.settle(now);
            for (std::uint64_t node : {1, 2}) {
                auto session = 100 + node + 1000;
                nodes[node].decoder.decode(std::exchange(recorded.sent[SessionId{session}], {}),
                                           nodes[node]);
                for (auto &bytes : std::exchange(nodes[node].reports, {}))
                    deliver(now, session, bytes);
            }
        }
    }
    // Sends an operator's request and returns the planner's answer.
    control::OperationResult request(Time now, SnapshotOperation operation, const std::string &name,
                                     const std::string &other_name = "",
                                     const std::string &plan = "") {
        auto session = ++last_operator_session;
        deliver(now, session, control::SnapshotRequest{operation, name, other_name, plan});
        exchange_messages(now);
        FakeEdge client;
        client.decoder.decode(recorded.sent[SessionId{session}], client);
        return client.result;
    }
};

} // namespace

TEST_SUITE("operators' requests on snapshots") {
    TEST_CASE("a completed snapshot is a volume with its source's layout and quota, and is durable "
              "before the operator gets the result") {
        SnapshotFixture fixture;
        auto result = fixture.request(sec, SnapshotOperation::take, "v", "a");
        CHECK(result.done);
        auto &state = fixture.core.state().cluster_state();
        auto &snapshot = state.volumes.at(state.names.at("v@a"));
        CHECK(snapshot.frozen);
        CHECK(snapshot.layout_volume == VolumeId{7});
        CHECK(snapshot.quota_volume == VolumeId{7});
        CHECK(state.volumes.at(VolumeId{7}).epoch == 1);
        CHECK(fixture.request(2 * sec, SnapshotOperation::take, "v", "a").text ==
              "v@a already exists, created 1s ago");
        CHECK(fixture.request(3 * sec, SnapshotOperation::take, "v", "b").done);
        CHECK(state.volumes.at(VolumeId{7}).epoch ==
              3); // from the clock, so that a planner with a rebuilt store does not reuse an epoch
    }
    TEST_CASE("an invalid request is refused with the reason, and nothing is started") {
        SnapshotFixture fixture;
        CHECK(fixture.request(sec, SnapshotOperation::take, "w", "a").text ==
              "there is no volume or snapshot w");
        CHECK(!fixture.request(sec, SnapshotOperation::take, "v", "a@b").allowed);
        CHECK(!fixture.request(sec, SnapshotOperation::take, "v", "").allowed);
        fixture.request(sec, SnapshotOperation::take, "v", "a");
        CHECK(fixture.request(sec, SnapshotOperation::take, "v@a", "b").text ==
              "v@a is a snapshot, which never changes; clone it instead");
        CHECK(fixture.request(sec, SnapshotOperation::clone, "v", "c").text ==
              "v is not a snapshot; take a snapshot of it and clone that");
        CHECK(fixture.request(sec, SnapshotOperation::clone, "v@a", "c", "q").text ==
              "there is no plan q");
        CHECK(fixture.request(sec, SnapshotOperation::drop, "v").text ==
              "there is no snapshot or clone v");
        fixture.core.disconnected(sec, SessionId{1102}); // node 2
        CHECK(fixture.request(sec, SnapshotOperation::take, "v", "b").text ==
              "no node of shard 1 is connected to the planner");
    }
    TEST_CASE("a clone uses its source's quota or has a plan of its own without a reserve") {
        SnapshotFixture fixture;
        auto settings = desired(2);
        settings.plans["rich"] = {"rich", 1, 100, 50, 1, 0, 0};
        settings.plans["test"] = {"test", 1, 100, 0, 1, 0, 0};
        fixture.core.apply_desired_state(sec, settings);
        fixture.request(sec, SnapshotOperation::take, "v", "a");
        CHECK(fixture.request(sec, SnapshotOperation::clone, "v@a", "c").done);
        CHECK(!fixture.request(sec, SnapshotOperation::clone, "v@a", "d", "rich").allowed);
        CHECK(fixture.request(sec, SnapshotOperation::clone, "v@a", "e", "test").done);
        auto &state = fixture.core.state().cluster_state();
        auto &sharing_clone = state.volumes.at(state.names.at("c")),
             &separate_clone = state.volumes.at(state.names.at("e"));
        CHECK(sharing_clone.quota_volume == VolumeId{7});
        CHECK(separate_clone.resolve_quota_volume(state.names.at("e")) == state.names.at("e"));
        CHECK(separate_clone.layout_volume == VolumeId{7});
        CHECK(!sharing_clone.frozen);
        // Settings are refused that remove a clone's plan or origin or use its name.
        settings.version = 3, settings.plans.erase("test"), settings.volumes.clear();
        settings.volumes[VolumeId{8}] = desired_volume("c", 1 << 20, 4);
        CHECK(fixture.core.apply_desired_state(sec, settings).size() ==
              5); // v is left out and has three dependents, plan test is left out, c is used twice
        CHECK(state.volumes.contains(VolumeId{7}));
    }
    // The store of a node is full. The other nodes must drop what they opened, and the operator
    // must learn the reason.
    TEST_CASE("a failed snapshot leaves no data behind, and the operator gets the reason") {
        SnapshotFixture fixture;
        fixture.nodes[2].open_result = SnapshotResult::no_space;
        auto result = fixture.request(sec, SnapshotOperation::take, "v", "a");
        CHECK(!result.done);
        CHECK(result.text ==
              "v@a: node 2: less than a tenth of its store is free; nothing was created");
        CHECK(fixture.nodes[1].received == Lines{"open 1", "drop"});
        CHECK(fixture.core.state().cluster_state().names.size() == 1);
        for (auto &[key, row] : fixture.recorded.rows)
            CHECK(std::get<0>(key) != StateStore::Row::incomplete);
    }
    // The planner dies during a snapshot. Nodes have an open snapshot that will never be sealed,
    // and edges may already write in its epoch.
    TEST_CASE("a restarted planner drops an incomplete snapshot and does not reuse its epoch") {
        RecordingTransport recorded;
        Core core(recorded, recorded, test_config());
        core.restore(
            StateStore::Row::plan, 0, 0, Version{1},
            control::encode(control::PlanUpdate{PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 0, 0}}));
        control::Volume volume;
        volume.name = "v", volume.size = 1 << 20;
        core.restore(StateStore::Row::volume, 7, 0, Version{1},
                     control::encode(control::VolumeUpdate{VolumeId{7}, volume}));
        CHECK(core.restore(StateStore::Row::incomplete, 99, 7, Version{1}, "41").empty());
        CHECK(!core.restore(StateStore::Row::incomplete, 99, 7, Version{1}, "4x").empty());
        core.start(0, {{Term{2}, 5, Version{1}, Version{0}, 1}, 12, false});
        CHECK(core.state().cluster_state().volumes.at(VolumeId{7}).epoch == 41);
        CHECK(core.is_incomplete(VolumeId{99}));
    }
    // The planner's disk is full while a snapshot is dropped. If nodes dropped the data before the
    // drop is durable, a restarted planner would offer a snapshot whose data is gone.
    TEST_CASE("nodes are not told of a drop before it is durable") {
        SnapshotFixture fixture;
        fixture.request(sec, SnapshotOperation::take, "v", "a");
        auto orders_before = fixture.nodes[1].received.size();
        fixture.recorded.commits_succeed = false;
        fixture.request(sec, SnapshotOperation::drop, "v@a");
        CHECK(fixture.nodes[1].received.size() == orders_before);
        fixture.recorded.commits_succeed = true;
        fixture.exchange_messages(sec + 600 * ms);
        CHECK(fixture.nodes[1].received.size() == orders_before + 1);
    }
    // With two open snapshots of one volume, late writes would reach only one of them.
    TEST_CASE("a second snapshot of a volume is refused while the first is in progress") {
        SnapshotFixture fixture;
        fixture.deliver(sec, 61, control::SnapshotRequest{SnapshotOperation::take, "v", "b", ""}),
            fixture.deliver(sec, 62,
                            control::SnapshotRequest{SnapshotOperation::take, "v", "c", ""});
        fixture.exchange_messages(sec);
        FakeEdge second_client;
        second_client.decoder.decode(fixture.recorded.sent[SessionId{62}], second_client);
        CHECK(second_client.result.text == "another snapshot of v is in progress");
        CHECK(fixture.core.state().cluster_state().names.contains("v@b"));
    }
    TEST_CASE(
        "dropping a snapshot in use is refused and names the edge; else it is removed at once") {
        SnapshotFixture fixture;
        fixture.request(sec, SnapshotOperation::take, "v", "a");
        auto id = fixture.core.state().cluster_state().names.at("v@a");
        fixture.hello(sec, 3, {id});
        CHECK(fixture.request(sec, SnapshotOperation::drop, "v@a").text ==
              "v@a is in use by clients of edge 3");
        fixture.deliver(sec, 3, control::VolumeServed{id, false});
        fixture.nodes[2].open_result = SnapshotResult::done;
        CHECK(fixture.request(sec, SnapshotOperation::drop, "v@a").done);
        CHECK(!fixture.core.state().cluster_state().volumes.contains(id));
        fixture.core.settle(3 * sec);
        fixture.exchange_messages(3 * sec);
        CHECK(!fixture.core.is_incomplete(id));
    }
}
