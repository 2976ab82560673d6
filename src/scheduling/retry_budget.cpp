#include "scheduling/retry_budget.hpp"

namespace knotvane::scheduling {

void RetryBudget::request_received(Time now) {
    requests_.add(now, 1);
    requests_.sum_since(now - config_.window);
}

bool RetryBudget::allows_retry(Time now) {
    if (config_.window == 0)
        return true;
    // The window's edges count against us: a retry exactly one window ago is in it, a request
    // exactly one window ago is not.
    double retries = retries_.sum_since(now - config_.window);
    double requests = requests_.sum_since(now - config_.window + 1);
    return retries + 1 <= config_.free_retries + config_.retries_per_request * requests;
}

} // namespace knotvane::scheduling
