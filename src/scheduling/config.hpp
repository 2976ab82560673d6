/// \file
/// Configuration of a scheduler. All times are in nanoseconds. A unit is the site's measure of the
/// work that a request causes.
#pragma once

#include <cstdint>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane {

/// Whether a request may be executed more than once.
enum class Idempotency {
    idempotent,   ///< It may be executed any number of times.
    deduplicated, ///< The nodes of one deduplication scope drop repeats of its idempotency key.
    at_most_once, ///< It must never be executed twice.
};

/// The set of nodes that share the idempotency keys of deduplicated requests: a repeat is dropped
/// only by a node in the same set as the one that executed the request before.
enum class DeduplicationScope { all, zone, shard };

/// Settings of one class of requests.
struct WorkloadConfig {
    /// An answer within this time after the request's receipt earns the full value.
    Time latency_objective = 0;
    /// Value of one answer in time. Any measure will do that is the same for all workloads.
    double value = 1;
    /// Fraction of `value` that a late answer earns, 0 to 1.
    double late_value_fraction = 0;
    Idempotency idempotency = Idempotency::idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::all;
    /// How long nodes remember an idempotency key; 0 if the workload isn't deduplicated.
    Time deduplication_window = 0;
    /// Whether requests with the same key are executed one at a time, in the order of receipt.
    bool ordered_by_key = false;
    /// How long no request of a key starts after an attempt for that key ended which its node may
    /// still be executing. Used only if ordered_by_key.
    Time key_cooldown = 0;
};

/// Service that a tenant has booked. Rates are in units per second, summed over all schedulers.
struct PlanConfig {
    /// Share of a node's service relative to other plans; above 0.
    double weight = 1;
    /// The rate that the plan was sized for.
    double usual_rate = 0;
    /// The guaranteed rate.
    double reserved_rate = 0;
    /// Price of one of the plan's units relative to other plans.
    double price = 1;
    /// Rate limit of each of the plan's volumes; 0 for no limit.
    double limit_rate = 0;
    /// Burst size of that limit: units that a volume may use at once.
    double limit_burst = 0;
};

/// Sizes of requests, and the value of a unit depending on which part of its plan it falls in.
struct UnitConfig {
    /// Mean units of a request; 0 is read as 1.
    double mean = 1;
    /// Units of the largest request; at least 1.
    double largest = 1;
    /// Value of a unit within the plan's usual rate, where a reserved unit is worth 1; 0 is read
    /// as 1.
    double usual_unit_value = 1;
    /// Value of a unit beyond the plan's usual rate, where a reserved unit is worth 1.
    double excess_unit_value = 0;
};

/// Limits on the attempts of one request.
struct AttemptConfig {
    std::uint32_t max_attempts = 1;
    /// Whether several attempts of one request may be in flight at the same time. This scheduler
    /// doesn't use the permission: it starts a retry only after the last attempt has completed.
    bool allow_parallel = false;
    /// Whether the attempts in flight of a request that has ended are canceled.
    bool cancel_abandoned = false;
};

/// Limit on the retries (attempts after a request's first) that start within any window:
/// retries_per_request times the requests received in the window, plus free_retries.
struct RetryBudgetConfig {
    double retries_per_request = 0;
    /// Retries allowed in a window even if no request is received in it.
    double free_retries = 0;
    /// 0: retries aren't limited.
    Time window = 0;
};

/// Load that a node can take right after its process has started.
struct SlowStartConfig {
    /// Units that a node that has just started can take within `window`, from all schedulers
    /// together; 0: any number.
    double units = 0;
    Time window = 0;
    /// Time from the node's start until it has its full capacity.
    Time duration = 0;
    /// Fraction of the full capacity that the node has at its start, above 0 to 1; 0 is read as 1.
    double initial_capacity = 1;
};

/// How the scheduler obtains the endpoint list.
struct EndpointListConfig {
    /// Whether the scheduler has to request the list; otherwise it is pushed.
    bool on_request = false;
    /// Age at which the list is requested again. Used only if on_request.
    Time max_age = 0;
};

/// A scheduler's settings, except for workloads and plans.
struct SchedulerConfig {
    /// This scheduler's number among those that share the nodes, from 0.
    SchedulerId self;
    /// Number of schedulers that share the nodes and the limits.
    std::uint32_t scheduler_count = 1;
    /// Longest time between two calls of settle while something is due; less than 1 ms is read as
    /// 1 ms.
    Time time_step = ms;
    /// Longest Retry-After that clients respect; 0 if they respect none.
    Time max_retry_after = 0;
    /// Whether clients mark requests that repeat an earlier one.
    bool clients_mark_repeats = false;
    UnitConfig units;
    AttemptConfig attempts;
    RetryBudgetConfig retry_budget;
    SlowStartConfig slow_start;
    EndpointListConfig endpoint_list;
};

} // namespace knotvane
