// Whether a node is in the cluster, by its registrations and the edges' reports.
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
    auto node = [] { return NodeLiveness(liveness_config()); };
    // Only the planner's connection to a node breaks. Removing it would take a healthy node away.
    TEST_CASE("silent to the planner but reached by an edge that says so: in") {
        auto n = node();
        n.registered(0, "a", 1, 0);
        int asked = 0;
        for (Time t = 0; t < 10 * sec; t += 100 * ms) {
            CHECK(n.update(t, 3));
            if (n.should_request_reports(t))
                ++asked, n.report(EdgeId{1}, true);
        }
        CHECK(asked == 10);
    }
    TEST_CASE("silent, and no edge says that it reaches it: removed after long") {
        auto n = node();
        n.registered(0, "a", 1, 0);
        CHECK(n.update(2500 * ms, 3));
        n.update(2501 * ms, 3);
        CHECK_FALSE(n.update(2701 * ms, 3));
    }
    // A node's host dies: planner and edges lose it together.
    TEST_CASE("silent, and unreachable for most edges for a while: removed") {
        auto n = node();
        n.registered(0, "a", 1, 0);
        n.report(EdgeId{1}, false);
        CHECK(n.update(sec, 3));
        n.report(EdgeId{2}, false);
        CHECK(n.update(2 * sec, 3));
        CHECK(n.update(2199 * ms, 3));
        CHECK_FALSE(n.update(2200 * ms, 3));
    }
    // An edge's network breaks: it reaches no node, and must not have them all removed.
    TEST_CASE("unreachable for edges, but heard: in") {
        auto n = node();
        n.report(EdgeId{1}, false);
        n.registered(0, "a", 1, 0);
        for (Time t = 0; t < 2 * sec; t += 100 * ms) {
            n.renewed(t), n.report(EdgeId{1}, false);
            CHECK(n.update(t, 1));
        }
    }
    // A node's network flaps: each return moves work to it, each removal moves it away.
    TEST_CASE("a new incarnation is in at once; the same one must be steady, the longer the more "
              "often it was "
              "removed") {
        auto n = node();
        n.registered(0, "a", 1, 0);
        n.update(0, 0), n.update(sec, 0);
        CHECK_FALSE(n.update(1200 * ms, 0));
        n.renewed(1300 * ms);
        CHECK_FALSE(n.update(1300 * ms, 0));
        CHECK(n.update(1600 * ms, 0));
        n.update(2 * sec, 0);
        CHECK_FALSE(n.update(2300 * ms, 0)); // the second time within a minute
        n.renewed(2400 * ms), n.update(2400 * ms, 0);
        CHECK_FALSE(n.update(2700 * ms, 0));
        n.registered(2800 * ms, "a", 2, 2800 * ms);
        CHECK(n.update(2800 * ms, 0));
        CHECK(n.started() == 2800 * ms);
    }
    // A registration is repeated; the age it tells differs by what the message took, and edges
    // would take another start for a restart.
    TEST_CASE("an incarnation keeps the start that was told first") {
        auto n = node();
        n.registered(0, "a", 1, 100);
        n.registered(sec, "a", 1, 107);
        CHECK(n.started() == 100);
    }
}
