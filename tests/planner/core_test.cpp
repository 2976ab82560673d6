// Other planners, updates to edges, and peers that send unexpected messages.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("leadership and updates") {
    // A planner was paused, a standby took over, and the first one resumes: both would grant shares
    // of the same limits.
    TEST_CASE("a planner retires and sends nothing more when an edge follows a newer term") {
        PlannerFixture p(Term{3});
        p.deliver(0, 1, edge_hello(1, Term{4}, 9, Version{0}));
        p.core.settle(0);
        CHECK(p.recorded.is_retired);
        CHECK(p.recorded.sent[SessionId{1}].empty());
    }
    // Two planners were started from copies of one store, or an old copy of the store was restored.
    TEST_CASE("a planner retires if another has the same term or if its store is an old copy") {
        PlannerFixture p(Term{3});
        p.deliver(0, 1, edge_hello(1, Term{3}, 99, Version{0}));
        CHECK(p.recorded.is_retired);
        PlannerFixture q(Term{3});
        q.deliver(0, 1, edge_hello(1, Term{2}, 9, Version{900}));
        CHECK(q.recorded.is_retired);
    }
    // The store is lost; only edges still know its terms and drains.
    TEST_CASE("a rebuilt planner takes a term above the one reported and keeps the drains that "
              "edges know of") {
        PlannerFixture p(Term{1}, true);
        auto hello = edge_hello(1, Term{8}, 9, Version{30});
        hello.lineage = 77;
        hello.draining_nodes = {NodeId{2}};
        p.deliver(0, 1, hello);
        p.core.settle(0);
        CHECK_FALSE(p.recorded.is_retired);
        CHECK(p.core.term() == Term{9});
        CHECK(p.core.state().cluster_state().nodes.at(NodeId{2}).state == NodeState::draining);
    }
    // An update is lost in transit, or an edge is slow while the state changes often.
    TEST_CASE("an entry is sent once however often it changed; an update that is not acknowledged "
              "is resent") {
        PlannerFixture p;
        p.hello(0, 1);
        p.renew(0, 1);
        CHECK(p.edges[1].last == control::UpdateResult::full_state_applied);
        for (std::uint64_t incarnation = 2; incarnation < 9; ++incarnation)
            p.node(ms, 1, incarnation, 0), p.core.settle(ms);
        p.read(1);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 2);
        p.renew(2 * ms, 1);
        CHECK(p.edges[1].last == control::UpdateResult::changes_applied);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 8);
        CHECK(p.edges[1].replica.version() == p.core.version());
        p.renew(2 * ms, 1);
        p.node(3 * ms, 1, 20, 0), p.core.settle(3 * ms);
        p.recorded.sent.clear(); // lost
        p.core.settle(1100 * ms);
        p.read(1);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 20);
    }
    // An unexpected peer connects to the planner's port: an HTTP health check, or an edge that
    // sends no hello. Its messages must not be applied, and it must not fill the log.
    TEST_CASE("a peer that sends an unexpected message or malformed bytes is disconnected once") {
        PlannerFixture p;
        p.deliver(0, 60, control::LeaseRenewal{0, Term{1}, Version{1}});
        p.deliver(0, 61, "GET / HTTP/1.1\r\n\r\n");
        p.deliver(0, 61, "more of it");
        CHECK(p.recorded.closed.size() == 2);
        CHECK(p.recorded.logged.back().find("message length") != std::string::npos);
    }
}
