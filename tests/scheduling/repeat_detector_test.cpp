#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// After a jam all clients ask again. Served in turn, repeats that can only earn a late answer's
// value would make every first request behind them late as well.
TEST_CASE("a repeat whose first request is past its deadline makes room for first requests") {
    SchedulerFixture fixture;
    fixture.scheduler->set_workload(WorkloadId{0}, SchedulerFixture::workload(100 * ms));
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.receive(0, 2);
    fixture.receive(0, 3, 1, 77, 2); // waits behind a full window until it is given up
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(101 * ms);
    fixture.receive(102 * ms, 4, 1, 77, 2);
    fixture.receive(102 * ms, 5);
    fixture.scheduler->settle(102 * ms);
    CHECK(fixture.actions.count("reject 4") == 1);
    CHECK(fixture.actions.count("reject 5") == 0);
}

} // namespace
} // namespace knotvane::scheduling
