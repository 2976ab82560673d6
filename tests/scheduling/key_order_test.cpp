#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// A connection may be reset while its node still executes a write. If the key's next write went out
// at once it might be executed first, and the older one would then overwrite it.
TEST_CASE("requests of one key run one at a time, in order, with a rest after a reset") {
    SchedulerFixture fixture;
    WorkloadConfig ordered = SchedulerFixture::workload();
    ordered.ordered_by_key = true;
    ordered.key_rest = 100 * ms;
    fixture.scheduler->set_workload(WorkloadId{0}, ordered);
    fixture.list_endpoints(0);
    fixture.receive(0, 1, 1, 42);
    fixture.receive(0, 2, 1, 42);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start") == 1);
    fixture.complete(600 * ms, 1, AttemptOutcome::reset);
    fixture.receive(600 * ms, 3, 1, 42);
    fixture.scheduler->settle(600 * ms);
    CHECK(fixture.actions.count("start 3") == 0);
}

} // namespace
} // namespace knotvane::scheduling
