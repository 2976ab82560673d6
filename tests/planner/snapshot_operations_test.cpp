// Operators' requests on snapshots and clones: what is allowed, durable and taken back.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;
using control::SnapshotOperation;
using Lines = std::vector<std::string>;

namespace {

// An operator's request and its answer, with nodes that do as they are told.
struct SnapshotFixture : PlannerFixture {
    struct FakeNode final : control::MessageHandler {
        control::MessageDecoder decoder;
        std::vector<std::string> answers, heard;
        SnapshotResult open_result = SnapshotResult::done;

        using MessageHandler::handle;
        void answer(VolumeId snapshot, SnapshotStep step,
                    SnapshotResult result = SnapshotResult::done) {
            answers.push_back(
                control::encode(control::SnapshotStepReport{snapshot, step, result, {}}));
        }
        void handle(const control::SnapshotOpen &m) override {
            heard.push_back("open " + std::to_string(m.epoch));
            answer(m.snapshot, SnapshotStep::opened, open_result);
        }
        void handle(const control::SnapshotSeal &m) override {
            answer(m.snapshot, SnapshotStep::sealed);
        }
        void handle(const control::CloneOpen &m) override { answer(m.clone, SnapshotStep::cloned); }
        void handle(const control::SnapshotDrop &m) override {
            heard.push_back("drop");
            answer(m.snapshot, SnapshotStep::dropped);
        }
        void handle_unexpected(std::string_view) override {}
    };
    std::map<std::uint64_t, FakeNode> nodes;
    std::uint64_t visitors = 50;
    // All messages of nodes, until they are silent.
    void run(Time now) {
        for (std::uint64_t n : {1, 2})
            if (seen.contains(100 + n + 1000))
                deliver(now, 100 + n + 1000, control::NodeRenewal{});
        for (int i = 0; i < 12; ++i) {
            core.settle(now);
            for (std::uint64_t n : {1, 2}) {
                auto session = 100 + n + 1000;
                nodes[n].decoder.decode(std::exchange(recorded.sent[SessionId{session}], {}),
                                        nodes[n]);
                for (auto &a : std::exchange(nodes[n].answers, {}))
                    deliver(now, session, a);
            }
        }
    }
    control::OperationResult ask(Time now, SnapshotOperation operation, const std::string &a,
                                 const std::string &b = "", const std::string &plan = "") {
        auto v = ++visitors;
        deliver(now, v, control::SnapshotRequest{operation, a, b, plan});
        run(now);
        FakeEdge heard;
        heard.decoder.decode(recorded.sent[SessionId{v}], heard);
        return heard.result;
    }
};

} // namespace

TEST_SUITE("operators' snapshots") {
    TEST_CASE("a completed snapshot is a volume of its source's layout and quota, durable before "
              "it is told") {
        SnapshotFixture p;
        auto heard = p.ask(sec, SnapshotOperation::take, "v", "a");
        CHECK(heard.done);
        auto &t = p.core.state().cluster_state();
        auto &f = t.volumes.at(t.names.at("v@a"));
        CHECK(f.frozen);
        CHECK(f.layout_volume == VolumeId{7});
        CHECK(f.quota_volume == VolumeId{7});
        CHECK(t.volumes.at(VolumeId{7}).epoch == 1);
        CHECK(p.ask(2 * sec, SnapshotOperation::take, "v", "a").text ==
              "v@a is there already, taken 1s ago");
        CHECK(p.ask(3 * sec, SnapshotOperation::take, "v", "b").done);
        CHECK(t.volumes.at(VolumeId{7}).epoch ==
              3); // by the clock: a planner that lost count is past it all the same
    }
    TEST_CASE("what can't be is refused with the reason, and nothing is begun") {
        SnapshotFixture p;
        CHECK(p.ask(sec, SnapshotOperation::take, "w", "a").text ==
              "there is no volume or snapshot w");
        CHECK(!p.ask(sec, SnapshotOperation::take, "v", "a@b").allowed);
        CHECK(!p.ask(sec, SnapshotOperation::take, "v", "").allowed);
        p.ask(sec, SnapshotOperation::take, "v", "a");
        CHECK(p.ask(sec, SnapshotOperation::take, "v@a", "b").text ==
              "v@a is a snapshot, which does not change: clone it");
        CHECK(p.ask(sec, SnapshotOperation::clone, "v", "c").text ==
              "v is no snapshot: take one and clone that");
        CHECK(p.ask(sec, SnapshotOperation::clone, "v@a", "c", "q").text == "there is no plan q");
        CHECK(p.ask(sec, SnapshotOperation::drop, "v").text == "there is no snapshot or clone v");
        p.core.disconnected(sec, SessionId{1102}); // node 2
        CHECK(p.ask(sec, SnapshotOperation::take, "v", "b").text ==
              "no node of shard 1 is connected to the planner");
    }
    TEST_CASE("a clone uses its source's quota, or has a plan without a reserve") {
        SnapshotFixture p;
        auto w = desired(2);
        w.plans["rich"] = {"rich", 1, 100, 50, 1, 0, 0};
        w.plans["test"] = {"test", 1, 100, 0, 1, 0, 0};
        p.core.apply_desired_state(sec, w);
        p.ask(sec, SnapshotOperation::take, "v", "a");
        CHECK(p.ask(sec, SnapshotOperation::clone, "v@a", "c").done);
        CHECK(!p.ask(sec, SnapshotOperation::clone, "v@a", "d", "rich").allowed);
        CHECK(p.ask(sec, SnapshotOperation::clone, "v@a", "e", "test").done);
        auto &t = p.core.state().cluster_state();
        auto &c = t.volumes.at(t.names.at("c")), &e = t.volumes.at(t.names.at("e"));
        CHECK(c.quota_volume == VolumeId{7});
        CHECK(e.resolve_quota_volume(t.names.at("e")) == t.names.at("e"));
        CHECK(e.layout_volume == VolumeId{7});
        CHECK(!c.frozen);
        // Settings that would take its plan, its origin or its name are refused.
        w.version = 3, w.plans.erase("test"), w.volumes.clear();
        w.volumes[VolumeId{8}] = desired_volume("c", 1 << 20, 4);
        CHECK(p.core.apply_desired_state(sec, w).size() ==
              5); // v left out: three coordinator; plan test; the name c
        CHECK(t.volumes.contains(VolumeId{7}));
    }
    // A node's store is full. What other nodes opened must not stay, and the operator must hear
    // why.
    TEST_CASE("a failed snapshot leaves nothing, and the operator hears why") {
        SnapshotFixture p;
        p.nodes[2].open_result = SnapshotResult::no_space;
        auto heard = p.ask(sec, SnapshotOperation::take, "v", "a");
        CHECK(!heard.done);
        CHECK(heard.text ==
              "v@a: node 2: less than a tenth of its store is free; nothing is left of it");
        CHECK(p.nodes[1].heard == Lines{"open 1", "drop"});
        CHECK(p.core.state().cluster_state().names.size() == 1);
        for (auto &[key, row] : p.recorded.rows)
            CHECK(std::get<0>(key) != StateStore::Row::incomplete);
    }
    // The planner dies in the middle of a snapshot. Nodes hold what nobody will ever seal, and
    // edges may already write in its epoch.
    TEST_CASE("a restarted planner takes back what was not whole, and gives its epoch to nobody") {
        RecordingTransport recorded;
        Core core(recorded, recorded, test_config());
        core.restore(
            StateStore::Row::plan, 0, 0, Version{1},
            control::encode(control::PlanUpdate{PlanId{0}, control::Plan{"p", 1, 1, 0, 1, 0, 0}}));
        control::Volume v;
        v.name = "v", v.size = 1 << 20;
        core.restore(StateStore::Row::volume, 7, 0, Version{1},
                     control::encode(control::VolumeUpdate{VolumeId{7}, v}));
        CHECK(core.restore(StateStore::Row::incomplete, 99, 7, Version{1}, "41").empty());
        CHECK(!core.restore(StateStore::Row::incomplete, 99, 7, Version{1}, "4x").empty());
        core.start(0, {{Term{2}, 5, Version{1}, Version{0}, 1}, 12, false});
        CHECK(core.state().cluster_state().volumes.at(VolumeId{7}).epoch == 41);
        CHECK(core.is_incomplete(VolumeId{99}));
    }
    // The disk is full while a snapshot is dropped. Dropped at nodes before that is durable, the
    // next planner would offer a snapshot whose bytes are gone.
    TEST_CASE("a drop that is not durable reaches no node") {
        SnapshotFixture p;
        p.ask(sec, SnapshotOperation::take, "v", "a");
        auto orders = p.nodes[1].heard.size();
        p.recorded.durable = false;
        p.ask(sec, SnapshotOperation::drop, "v@a");
        CHECK(p.nodes[1].heard.size() == orders);
        p.recorded.durable = true;
        p.run(sec + 600 * ms);
        CHECK(p.nodes[1].heard.size() == orders + 1);
    }
    // Two snapshots of one volume would be open at once, and late writes reach only one of them.
    TEST_CASE("a second snapshot of a volume is refused while the first is pending") {
        SnapshotFixture p;
        p.deliver(sec, 61, control::SnapshotRequest{SnapshotOperation::take, "v", "b", ""}),
            p.deliver(sec, 62, control::SnapshotRequest{SnapshotOperation::take, "v", "c", ""});
        p.run(sec);
        FakeEdge heard;
        heard.decoder.decode(p.recorded.sent[SessionId{62}], heard);
        CHECK(heard.result.text == "another snapshot of v is under way");
        CHECK(p.core.state().cluster_state().names.contains("v@b"));
    }
    TEST_CASE("dropping one that a client has open is refused with who; else it is gone at once") {
        SnapshotFixture p;
        p.ask(sec, SnapshotOperation::take, "v", "a");
        auto id = p.core.state().cluster_state().names.at("v@a");
        p.hello(sec, 3, {id});
        CHECK(p.ask(sec, SnapshotOperation::drop, "v@a").text ==
              "v@a is in use by clients of edge 3");
        p.deliver(sec, 3, control::VolumeServed{id, false});
        p.nodes[2].open_result = SnapshotResult::done;
        CHECK(p.ask(sec, SnapshotOperation::drop, "v@a").done);
        CHECK(!p.core.state().cluster_state().volumes.contains(id));
        p.core.settle(3 * sec);
        p.run(3 * sec);
        CHECK(!p.core.is_incomplete(id));
    }
}
