// Drains and settings: their effects, rejections, and what survives a restart of the planner.
#include <doctest/doctest.h>

#include "helpers.hpp"
#include "planner/desired_state_files.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("drains and settings") {
    // An operator drains the only node of a shard, or the disk is full while a drain is committed.
    // If the drain were announced before it is durable, the next planner would not know of it.
    TEST_CASE("a drain request reports its effect, needs force if no other node serves the shard, "
              "and is durable "
              "before it is announced") {
        PlannerFixture p;
        p.hello(0, 1);
        p.renew(0, 1);
        p.deliver(0, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::apply});
        p.core.settle(0);
        p.read(50);
        CHECK_FALSE(p.edges[50].result.done);
        CHECK(p.edges[50].result.text.find("no other ready node holds its shard") !=
              std::string::npos);
        p.recorded.commits_succeed = false;
        p.deliver(ms, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::force});
        p.core.settle(ms);
        p.read(50), p.read(1);
        CHECK_FALSE(p.edges[50].result.done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::ready);
        p.recorded.commits_succeed = true;
        p.core.settle(sec);
        p.read(50), p.read(1);
        CHECK(p.edges[50].result.done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
    }
    // The planner dies after a drain. If the drain were lost, edges would send work to a node that
    // is about to be switched off.
    TEST_CASE("a planner restored from its stored rows keeps the drain") {
        PlannerFixture p;
        p.deliver(0, 50, control::DrainRequest{NodeId{1}, true, control::DrainMode::force});
        p.core.settle(0);
        RecordingTransport restarted_transport;
        Core restarted(restarted_transport, restarted_transport, test_config());
        for (auto &[key, row] : p.recorded.rows) {
            auto [kind, first_id, second_id] = key;
            CHECK(restarted.restore(kind, first_id, second_id, row.first, row.second) == "");
        }
        restarted.start(0, {{Term{2}, 5, p.recorded.version, Version{0}, 1}, 12, false});
        restarted.settle(0);
        CHECK(restarted.state().cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
        CHECK(restarted.state().cluster_state().volumes == p.core.state().cluster_state().volumes);
        CHECK(restarted.version() == p.recorded.version);
    }
    auto rejections = [](PlannerFixture &p, const DesiredState &settings, Time now = 0) {
        std::string faults;
        for (auto &[line, what] : p.core.apply_desired_state(now, settings))
            faults += std::to_string(line) + ":" + what + ";";
        return faults;
    };
    // A settings file omits a node that still serves: its requests would fail at once.
    TEST_CASE(
        "settings can't omit a node in use until edges have known of its drain for drain_time") {
        PlannerFixture p;
        auto omitting = desired(2);
        omitting.nodes.erase(NodeId{1});
        CHECK(rejections(p, omitting).find("drain it first") != std::string::npos);
        CHECK(p.core.settings_version() == 1);
        auto draining = desired(2);
        draining.nodes.at(NodeId{1}).draining = true;
        CHECK(rejections(p, draining) == "");
        p.core.settle(0);
        omitting.version = 3;
        CHECK(rejections(p, omitting, 999 * ms) != "");
        CHECK(rejections(p, omitting, 1000 * ms) == "");
        CHECK_FALSE(p.core.state().cluster_state().nodes.contains(NodeId{1}));
    }
    // A settings file has mistakes among valid changes. Applying only the valid ones would give a
    // state that nobody asked for.
    TEST_CASE(
        "settings with an older version, a changed shard, a smaller volume or an omitted volume "
        "with clients are rejected as a whole") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        auto settings = desired(3);
        settings.nodes.at(NodeId{1}).shard = ShardId{5};
        settings.volumes.at(VolumeId{7}).volume.size = 512;
        settings.plans.at("p").weight = 9;
        auto faults = rejections(p, settings);
        CHECK(faults.find("20:node 1 holds shard 0") != std::string::npos);
        CHECK(faults.find("12:volume v would shrink") != std::string::npos);
        CHECK(p.core.state().cluster_state().plans.begin()->second.weight == 1);
        settings = desired(3);
        settings.volumes[VolumeId{8}] = desired_volume("w", 512, 0);
        settings.volumes.erase(VolumeId{7});
        CHECK(rejections(p, settings).find("has clients at 1 edges") != std::string::npos);
        CHECK(rejections(p, desired(3)) == "");
        CHECK(rejections(p, desired(2)).find("older than the one in use, 3") != std::string::npos);
    }
    // The file is read while it is being written, or was truncated by a full disk.
    TEST_CASE(
        "a written fleet file reads back unchanged; truncated at any byte it is rejected with "
        "a fault") {
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
