#include "scheduling/overload_backoff.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// If every scheduler retried an overloaded node as soon as possible, the node would stay full of
// work that is already late.
TEST_CASE("a node that is overloaded again gets no attempts for a longer time") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.complete(10 * ms, 1, AttemptOutcome::answered);
    fixture.receive(20 * ms, 2);
    fixture.scheduler->settle(20 * ms);
    fixture.complete(21 * ms, 2, AttemptOutcome::overloaded, ms);
    fixture.scheduler->settle(32 * ms);
    CHECK(fixture.actions.count("start 2") == 2);
    fixture.complete(33 * ms, 2, AttemptOutcome::overloaded, ms, 1);
    fixture.scheduler->settle(45 * ms);
    CHECK(fixture.actions.count("start 2") == 2);
    fixture.scheduler->settle(54 * ms);
    CHECK(fixture.actions.count("start 2") == 3);
}

TEST_CASE("each overload doubles the backoff up to the scheduler count, an answer resets it") {
    OverloadBackoff backoff;
    CHECK_FALSE(backoff.active(0));
    for (Time multiplier : {1, 2, 3, 3}) {
        backoff.node_overloaded(0, 10 * ms, 3);
        CHECK(backoff.active(multiplier * 10 * ms - 1));
        CHECK_FALSE(backoff.active(multiplier * 10 * ms));
    }
    backoff.reset();
    backoff.node_overloaded(0, 10 * ms, 3);
    CHECK_FALSE(backoff.active(10 * ms));
}

} // namespace
} // namespace knotvane::scheduling
