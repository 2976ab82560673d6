#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a new object goes to a node that is ready") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::draining);
    fixture.receive(0, 1, -1);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start 1 2") == 1);
}

} // namespace
} // namespace knotvane::scheduling
