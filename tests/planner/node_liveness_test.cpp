// Membership of a node, decided from its registrations and the edges' reports.
#include <doctest/doctest.h>

#include "planner/node_liveness.hpp"

using namespace knotvane;
using namespace knotvane::planner;

namespace {

PlannerConfig liveness_config() {
    PlannerConfig config;
    config.node_silence = 500 * ms;
    config.node_removal_delay = 200 * ms;
    config.node_return_delay = 300 * ms;
    return config;
}

} // namespace

TEST_SUITE("liveness of a node") {
    auto make_liveness = [] { return NodeLiveness(liveness_config()); };
    // Only the planner's connection to a node breaks. Removing the node would lose a healthy one.
    TEST_CASE(
        "a node that is silent to the planner but reported reachable by an edge stays a member") {
        auto liveness = make_liveness();
        liveness.registered(0, "a", 1, 0);
        int requests = 0;
        for (Time t = 0; t < 10 * sec; t += 100 * ms) {
            CHECK(liveness.update(t, 3));
            if (liveness.should_request_reports(t))
                ++requests, liveness.report(EdgeId{1}, true);
        }
        CHECK(requests == 10);
    }
    TEST_CASE(
        "a silent node that no edge reports as reachable is removed after five times the silence") {
        auto liveness = make_liveness();
        liveness.registered(0, "a", 1, 0);
        CHECK(liveness.update(2500 * ms, 3));
        liveness.update(2501 * ms, 3);
        CHECK_FALSE(liveness.update(2701 * ms, 3));
    }
    // A node's host dies: the planner and the edges lose it at the same time.
    TEST_CASE("a silent node that most edges can't reach is removed after the removal delay") {
        auto liveness = make_liveness();
        liveness.registered(0, "a", 1, 0);
        liveness.report(EdgeId{1}, false);
        CHECK(liveness.update(sec, 3));
        liveness.report(EdgeId{2}, false);
        CHECK(liveness.update(2 * sec, 3));
        CHECK(liveness.update(2199 * ms, 3));
        CHECK_FALSE(liveness.update(2200 * ms, 3));
    }
    // An edge's network breaks and it reaches no node: this must not remove all nodes.
    TEST_CASE("a node that edges can't reach but that renews its registration stays a member") {
        auto liveness = make_liveness();
        liveness.report(EdgeId{1}, false);
        liveness.registered(0, "a", 1, 0);
        for (Time t = 0; t < 2 * sec; t += 100 * ms) {
            liveness.renewed(t), liveness.report(EdgeId{1}, false);
            CHECK(liveness.update(t, 1));
        }
    }
    // A node's network flaps: each return moves work to the node, each removal moves it away again.
    TEST_CASE("a new incarnation is a member at once; the same one must renew steadily, for longer "
              "with each recent removal") {
        auto liveness = make_liveness();
        liveness.registered(0, "a", 1, 0);
        liveness.update(0, 0), liveness.update(sec, 0);
        CHECK_FALSE(liveness.update(1200 * ms, 0));
        liveness.renewed(1300 * ms);
        CHECK_FALSE(liveness.update(1300 * ms, 0));
        CHECK(liveness.update(1600 * ms, 0));
        liveness.update(2 * sec, 0);
        CHECK_FALSE(liveness.update(2300 * ms, 0)); // the second time within a minute
        liveness.renewed(2400 * ms), liveness.update(2400 * ms, 0);
        CHECK_FALSE(liveness.update(2700 * ms, 0));
        liveness.registered(2800 * ms, "a", 2, 2800 * ms);
        CHECK(liveness.update(2800 * ms, 0));
        CHECK(liveness.started() == 2800 * ms);
    }
    // A registration is repeated. The age in it differs by the message's delay, and edges would
    // mistake a changed start time for a restart.
    TEST_CASE("an incarnation keeps the start time that was reported first") {
        auto liveness = make_liveness();
        liveness.registered(0, "a", 1, 100);
        liveness.registered(sec, "a", 1, 107);
        CHECK(liveness.started() == 100);
    }
}
