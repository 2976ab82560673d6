#include "scheduling/retry_budget.hpp"

namespace knotvane::scheduling {

void RetryBudget::request_received(Time now) {
    requests_.add(now, 1);
    requests_.sum_since(now - config_.window);
}

bool RetryBudget::allows_retry(Time now) {
    if (config_.window == 0)
        return true;
    // At the edge of the window the stricter reading is used: a retry that started exactly one
    // window ago still counts, a request that was received exactly one window ago doesn't.
    double retries = retries_.sum_since(now - config_.window);
    double requests = requests_.sum_since(now - config_.window + 1);
    return retries + 1 <= config_.free_retries + config_.retries_per_request * requests;
}

} // namespace knotvane::scheduling
