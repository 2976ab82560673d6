// Drains and settings: what they change, what is refused, what outlives the planner.
#include <doctest/doctest.h>

#include "helpers.hpp"
#include "planner/desired_state_files.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("drains and settings") {
    // An operator drains the only node of a shard, or the disk is full while a drain is committed:
    // told before it is durable, it would be forgotten by the next planner.
    TEST_CASE("a drain tells its effect, needs force where nothing else serves, and is durable "
              "before it is "
              "told") {
        PlannerFixture p;
        p.hello(0, 1);
        p.renew(0, 1);
        p.deliver(0, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::apply});
        p.core.settle(0);
        p.read(50);
        CHECK_FALSE(p.edges[50].result.done);
        CHECK(p.edges[50].result.text.find("no other ready node holds its shard") !=
              std::string::npos);
        p.recorded.durable = false;
        p.deliver(ms, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::force});
        p.core.settle(ms);
        p.read(50), p.read(1);
        CHECK_FALSE(p.edges[50].result.done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::ready);
        p.recorded.durable = true;
        p.core.settle(sec);
        p.read(50), p.read(1);
        CHECK(p.edges[50].result.done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
    }
    // The planner dies after a drain. A drain that ended with it would send work to a node that is
    // about to be switched off.
    TEST_CASE("a planner that restarts from its rows keeps the drain") {
        PlannerFixture p;
        p.deliver(0, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::force});
        p.core.settle(0);
        RecordingTransport after;
        Core again(after, after, test_config());
        for (auto &[key, row] : p.recorded.rows) {
            auto [kind, a, b] = key;
            CHECK(again.restore(kind, a, b, row.first, row.second) == "");
        }
        again.start(0, {{Term{2}, 5, p.recorded.version, Version{0}, 1}, 12, false});
        again.settle(0);
        CHECK(again.state().cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
        CHECK(again.state().cluster_state().volumes == p.core.state().cluster_state().volumes);
        CHECK(again.version() == p.recorded.version);
    }
    auto refusals = [](PlannerFixture &p, const DesiredState &w, Time now = 0) {
        std::string all;
        for (auto &[line, what] : p.core.apply_desired_state(now, w))
            all += std::to_string(line) + ":" + what + ";";
        return all;
    };
    // A settings file leaves out a node that still serves: its requests would fail at once.
    TEST_CASE("a node in use can't be left out before its drain was known for long enough") {
        PlannerFixture p;
        auto less = desired(2);
        less.nodes.erase(NodeId{1});
        CHECK(refusals(p, less).find("drain it first") != std::string::npos);
        CHECK(p.core.settings_version() == 1);
        auto draining = desired(2);
        draining.nodes.at(NodeId{1}).draining = true;
        CHECK(refusals(p, draining) == "");
        p.core.settle(0);
        less.version = 3;
        CHECK(refusals(p, less, 999 * ms) != "");
        CHECK(refusals(p, less, 1000 * ms) == "");
        CHECK_FALSE(p.core.state().cluster_state().nodes.contains(NodeId{1}));
    }
    // A settings file with one mistake among good changes. Half of it applied would be a state that
    // nobody wrote.
    TEST_CASE("an older version, a shard that changes, a volume that shrinks or has clients: "
              "refused whole") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        auto w = desired(3);
        w.nodes.at(NodeId{1}).shard = ShardId{5};
        w.volumes.at(VolumeId{7}).volume.size = 512;
        w.plans.at("p").weight = 9;
        auto all = refusals(p, w);
        CHECK(all.find("20:node 1 holds shard 0") != std::string::npos);
        CHECK(all.find("12:volume v would shrink") != std::string::npos);
        CHECK(p.core.state().cluster_state().plans.begin()->second.weight == 1);
        w = desired(3);
        w.volumes[VolumeId{8}] = desired_volume("w", 512, 0);
        w.volumes.erase(VolumeId{7});
        CHECK(refusals(p, w).find("has clients at 1 edges") != std::string::npos);
        CHECK(refusals(p, desired(3)) == "");
        CHECK(refusals(p, desired(2)).find("older than the one in use, 3") != std::string::npos);
    }
    // The file is read while it is being written, or was cut short by a full disk.
    TEST_CASE("the fleet's file is read as it was written; cut short anywhere it is refused, with "
              "a line") {
        auto text = write_fleet(desired());
        std::vector<std::string> faults;
        auto back = read_fleet("f", text, faults);
        CHECK(faults.empty());
        CHECK(write_fleet(back) == text);
        auto whole = text.find_last_not_of("\n");
        for (std::size_t cut = 0; cut < whole; ++cut) {
            faults.clear();
            read_fleet("f", text.substr(0, cut), faults);
            CHECK_FALSE(faults.empty());
        }
        faults.clear();
        read_fleet("f",
                   "[fleet]\nversion = 1\nnodes = 0\nplans = 1\nvolumes = 1\n[plan p]\nweight = "
                   "0\nreserve = 5\n"
                   "[volume v]\nsize = 4KiB\nplan = p\n[end]\nversion = 1\n",
                   faults);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0] == "f:7: [plan p] weight = 0: a plan with a reserve can't weigh nothing: "
                           "its reserve would not be met");
    }
}
