#include "scheduling/retry_budget.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("retries stay within the free ones and a part of the requests received") {
    RetryBudget budget;
    budget.configure({0.5, 1, sec}); // with two requests: 2
    budget.request_received(0);
    budget.request_received(0);
    budget.retry_started(0);
    CHECK(budget.allows_retry(0));
    budget.retry_started(0);
    CHECK_FALSE(budget.allows_retry(0));
    CHECK(budget.allows_retry(sec + 1));
}

TEST_CASE("at the window's edge a retry still counts and a request doesn't any more") {
    RetryBudget budget;
    budget.configure({1, 0, sec});
    budget.request_received(0);
    CHECK(budget.allows_retry(sec - 1));
    CHECK_FALSE(budget.allows_retry(sec));
    budget.request_received(sec);
    budget.retry_started(sec);
    CHECK_FALSE(budget.allows_retry(2 * sec));
}

TEST_CASE("without a window retries aren't limited") {
    RetryBudget budget;
    budget.configure({0, 0, 0});
    budget.retry_started(0);
    CHECK(budget.allows_retry(0));
}

} // namespace
} // namespace knotvane::scheduling
