/// \file
/// Limits how many retries (attempts after a request's first) may start.
#pragma once

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// Limits retries within a window to a fraction of the requests received in it, plus a fixed
/// number. Without a limit, retries would multiply the load of nodes that fail because they are
/// overloaded.
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
