#include "scheduling/latency_estimate.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// A node that was slow for a short time gets no requests while it is expected to be slow. If its
// slow answers counted forever, no request would ever show that it is fast again.
TEST_CASE("old answers don't count for the expected wait") {
    LatencyEstimate latency;
    latency.add_answer(0, 2, 900 * ms);
    latency.update(100 * ms, 0.01);
    CHECK(latency.expected_duration(2) == doctest::Approx(900e6));
    latency.update(2 * sec, 0.01);
    CHECK(latency.expected_duration(2) == doctest::Approx(20e6));
}

TEST_CASE("the wait measured with a small request isn't multiplied by the units of a large one") {
    LatencyEstimate latency;
    latency.add_answer(0, 1, 110 * ms);
    latency.update(ms, 0.01);
    CHECK(latency.expected_duration(8) == doctest::Approx(180e6));
}

TEST_CASE("the median time per unit is expected if eight answers came within four seconds") {
    LatencyEstimate latency;
    for (int i = 0; i < 8; ++i)
        latency.add_answer(0, 2, 100 * ms);
    latency.update(sec, 0.01);
    CHECK(latency.expected_duration(4) == doctest::Approx(200e6));
}

// When a node becomes slow, all its clients may disconnect before they are answered. If only
// answers counted, the estimate would stay that of the earlier fast answers, and requests would be
// sent that can't be answered in time.
TEST_CASE("a canceled attempt that took longer than expected raises the expected duration") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.complete(600 * ms, 1, AttemptOutcome::canceled, 600 * ms);
    fixture.receive(600 * ms, 2);
    fixture.scheduler->settle(601 * ms);
    CHECK(fixture.actions.count("reject 2") == 1);
}

TEST_CASE("an abandoned attempt counts only if it took longer than expected") {
    LatencyEstimate latency;
    latency.update(0, 0.1);
    REQUIRE(latency.expected_duration(1) == 100 * ms);
    latency.add_abandoned(0, 1, 100 * ms);
    latency.update(1, 0.1);
    CHECK(latency.expected_duration(1) == 100 * ms);
    latency.add_abandoned(1, 1, 300 * ms);
    latency.update(2, 0.1);
    CHECK(latency.wait_seconds() == doctest::Approx(0.2));
    CHECK(latency.expected_duration(1) == 300 * ms);
}

TEST_CASE("the response timeout is three times the slowest answer, but at least half a second") {
    LatencyEstimate latency;
    CHECK(latency.response_timeout() == 500 * ms);
    latency.add_answer(0, 1, 400 * ms);
    latency.add_answer(0, 1, 10 * ms);
    CHECK(latency.response_timeout() == 1200 * ms);
}

} // namespace
} // namespace knotvane::scheduling
