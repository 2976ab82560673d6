/// \file
/// What a scheduler is configured with. All times are nanoseconds; a unit is the site's measure of
/// the work of a request.
#pragma once

#include <cstdint>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane {

/// What a repeated execution of a request does.
enum class Idempotency {
    idempotent,   ///< It may run any number of times.
    deduplicated, ///< Nodes of one deduplication scope drop repeats of its idempotency key.
    at_most_once, ///< It must never run twice.
};

/// The nodes that drop repeats of a deduplicated request together.
enum class DeduplicationScope { all, zone, shard };

/// One class of requests.
struct WorkloadConfig {
    /// Time from receipt in which an answer earns its full value.
    Time latency_objective = 0;
    /// What one answer in time is worth, in any measure common to all workloads.
    double value = 1;
    /// The part of `value` that a late answer earns, 0 to 1.
    double late_value_fraction = 0;
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    /// How long nodes remember an idempotency key; 0 if the workload isn't deduplicated.
    Time deduplication_window = 0;
    /// Requests with one key run one at a time, in the order of receipt.
    bool ordered_by_key = false;
    /// How long a key rests after an attempt that may still run. Read if ordered_by_key.
    Time key_cooldown = 0;
};

/// What a tenant has booked. Rates are units per second over all schedulers.
struct PlanConfig {
    /// Share of a node's service relative to other plans; above 0.
    double weight = 1;
    /// The rate that the plan was sized for.
    double usual_rate = 0;
    /// The rate that is guaranteed.
    double reserved_rate = 0;
    /// Price of a unit of the plan relative to other plans.
    double price = 1;
    /// Limit of each volume; 0 for none.
    double limit_rate = 0;
    /// Units that a volume may use at once beyond its limit's rate.
    double limit_burst = 0;
};

/// Sizes of requests and what a unit earns, by the part of its plan that it falls in.
struct UnitConfig {
    /// Units of a request in the mean; 0 reads as 1.
    double mean = 1;
    /// Units of the largest request; at least 1.
    double largest = 1;
    /// Value of a unit within the usual rate, against 1 for a reserved one; 0 reads as 1.
    double usual_unit_value = 1;
    /// Value of a unit beyond the usual rate, against 1 for a reserved one.
    double excess_unit_value = 0;
};

/// Attempts of one request.
struct AttemptConfig {
    std::uint32_t max_attempts = 1;
    /// Several attempts of one request may be in flight at once. This scheduler makes no use of
    /// it: a retry starts only after the last attempt completed.
    bool allow_parallel = false;
    /// Attempts of a request that has ended are canceled.
    bool cancel_abandoned = false;
};

/// How many attempts beyond each request's first may start in any window.
struct RetryBudgetConfig {
    /// Retries for each request received in the window.
    double retries_per_request = 0;
    /// Retries in the window on top of that.
    double free_retries = 0;
    /// 0: retries aren't limited.
    Time window = 0;
};

/// What a node bears right after its start.
struct SlowStartConfig {
    /// Units that a node just started bears within `window`, from all schedulers; 0: any number.
    double units = 0;
    Time window = 0;
    /// Time from its start until it has its full capacity.
    Time duration = 0;
    /// The part of the full capacity that it starts with, above 0 to 1; 0 reads as 1.
    double initial_capacity = 1;
};

/// How the list of endpoints reaches the scheduler.
struct EndpointListConfig {
    /// The list comes when the scheduler asks for it; else it is pushed.
    bool on_request = false;
    /// How old the list may become before it is asked for again. Read if on_request.
    Time max_age = 0;
};

/// All of a scheduler's settings but workloads and plans.
struct SchedulerConfig {
    /// This scheduler's number, from 0.
    SchedulerId self;
    /// Schedulers that share the nodes and the limits.
    std::uint32_t scheduler_count = 1;
    /// Longest time between two calls of settle while something is due; at least 1 ms is assumed.
    Time time_step = ms;
    /// Longest Retry-After that clients keep to; 0 if they keep to none.
    Time max_retry_after = 0;
    /// Clients say which requests repeat an earlier one.
    bool clients_mark_repeats = false;
    UnitConfig units;
    AttemptConfig attempts;
    RetryBudgetConfig retry_budget;
    SlowStartConfig slow_start;
    EndpointListConfig endpoint_list;
};

} // namespace knotvane
