#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("an endpoint list that comes on request is asked for at the start") {
    SchedulerFixture fixture;
    fixture.config.endpoint_list = {true, 10 * sec};
    fixture.scheduler->configure(fixture.config);
    fixture.scheduler->start(0);
    CHECK(fixture.actions.count("watch") == 1);
}

} // namespace
} // namespace knotvane::scheduling
