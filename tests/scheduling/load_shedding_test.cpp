#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a waiting request that can't be in time any more is given up at once") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 10; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(501 * ms);
    CHECK(fixture.actions.count("reject") == 7); // two of nine are in flight, the rest wait
}

} // namespace
} // namespace knotvane::scheduling
