/// \file
/// How many attempts beyond each request's first may start.
#pragma once

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// Bounds retries to a part of the requests received in the window and some more. Guards against
/// retries that multiply the load of nodes which fail for being overloaded.
class RetryBudget {
public:
    void configure(const RetryBudgetConfig &config) { config_ = config; }

    void request_received(Time now);

    void retry_started(Time now) { retries_.add(now, 1); }

    /// @return whether one more retry stays within the budget.
    bool allows_retry(Time now);

private:
    RetryBudgetConfig config_;
    WindowedSum requests_;
    WindowedSum retries_;
};

} // namespace knotvane::scheduling
