#include "scheduling/retry_budget.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("retries are limited to the free ones plus a fraction of the requests received") {
    RetryBudget budget;
    budget.configure({0.5, 1, sec}); // allows 2 retries for two requests
    budget.request_received(0);
    budget.request_received(0);
    budget.retry_started(0);
    CHECK(budget.allows_retry(0));
    budget.retry_started(0);
    CHECK_FALSE(budget.allows_retry(0));
    CHECK(budget.allows_retry(sec + 1));
}

TEST_CASE("exactly one window later a retry still counts, but a request no longer does") {
    RetryBudget budget;
    budget.configure({1, 0, sec});
    budget.request_received(0);
    CHECK(budget.allows_retry(sec - 1));
    CHECK_FALSE(budget.allows_retry(sec));
    budget.request_received(sec);
    budget.retry_started(sec);
    CHECK_FALSE(budget.allows_retry(2 * sec));
}

TEST_CASE("retries aren't limited if the window is 0") {
    RetryBudget budget;
    budget.configure({0, 0, 0});
    budget.retry_started(0);
    CHECK(budget.allows_retry(0));
}

} // namespace
} // namespace knotvane::scheduling
