#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a request that waits is answered before its client's timeout") {
    SchedulerFixture fixture;
    fixture.receive(0, 1); // no node is listed
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(2 * sec - 4 * ms);
    CHECK(fixture.actions.count("reject 1") == 1);
}

TEST_CASE(
    "a request with an attempt in flight is answered before its client's timeout, and only once") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(2 * sec - 4 * ms);
    fixture.complete(2 * sec, 1, AttemptOutcome::timed_out);
    fixture.scheduler->settle(2 * sec);
    CHECK(fixture.actions.count("reject 1") == 1);
}

TEST_CASE("no attempt goes to a node that drains") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::draining);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start") == 0);
}

TEST_CASE("a node that a full endpoint list doesn't name is removed") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.scheduler->endpoint_list_begin(ms, EndpointListKind::full);
    fixture.scheduler->endpoint_list_end();
    fixture.receive(ms, 1);
    fixture.scheduler->settle(ms);
    CHECK(fixture.actions.count("start") == 0);
}

} // namespace
} // namespace knotvane::scheduling
