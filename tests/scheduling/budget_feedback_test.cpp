#include "scheduling/budget_feedback.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE(
    "a sample moves the rate by 1/8 of the difference, never down after an exhausted budget") {
    ServiceRateEstimator estimator;
    estimator.add_service(10, 100 * ms, false);
    CHECK(estimator.rate() == doctest::Approx(100));
    estimator.add_service(30, 100 * ms, true);
    CHECK(estimator.rate() == doctest::Approx(100 * 7.0 / 8 + 300.0 / 8));
    double before = estimator.rate();
    estimator.add_service(1, 100 * ms, true); // a slower service that exhausted its budget
    CHECK(estimator.rate() == doctest::Approx(before));
    estimator.add_service(1, 100 * ms, false);
    CHECK(estimator.rate() == doctest::Approx(before * 7 / 8 + 10.0 / 8));
}

TEST_CASE("a service shorter than 20 ms is ignored by the rate estimate") {
    ServiceRateEstimator estimator;
    estimator.add_service(10, 20 * ms - 1, false);
    CHECK(estimator.rate() == 0);
    estimator.add_service(10, 20 * ms, false);
    CHECK(estimator.rate() == doctest::Approx(500));
}

TEST_CASE("the feedback rule of the BFQ paper sets the next budget") {
    CHECK(next_budget(ServiceEnd::exhausted, false, 8, 80) == doctest::Approx(32));
    CHECK(next_budget(ServiceEnd::timed_out, false, 8, 80) == doctest::Approx(16));
    CHECK(next_budget(ServiceEnd::emptied, true, 8, 80) == doctest::Approx(16));
    CHECK(next_budget(ServiceEnd::emptied, false, 18, 80) == doctest::Approx(8));
}

TEST_CASE("the largest budget is one slice at the node's rate, and at least the largest request") {
    CHECK(maximum_budget(8, 1000) == doctest::Approx(125));
    CHECK(maximum_budget(8, 10) == doctest::Approx(8));
}

} // namespace
} // namespace knotvane::scheduling
