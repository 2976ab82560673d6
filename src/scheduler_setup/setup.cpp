#include "scheduler_setup/setup.hpp"

#include <algorithm>
#include <string>

namespace knotvane::scheduler_setup {
namespace {

// Error messages quote at most this many bytes of an invalid value.
constexpr std::size_t max_quoted = 80;

Idempotency parse_idempotency(const std::string &name, const std::string &path) {
    if (name == "idempotent" || name.empty())
        return Idempotency::idempotent;
    if (name == "deduplicated")
        return Idempotency::deduplicated;
    if (name == "at_most_once")
        return Idempotency::at_most_once;
    throw MalformedInput("setting " + path +
                         ": expected idempotent, deduplicated or at_most_once, got " +
                         name.substr(0, max_quoted));
}

DeduplicationScope parse_deduplication_scope(const std::string &name, const std::string &path) {
    if (name == "all" || name.empty())
        return DeduplicationScope::all;
    if (name == "zone")
        return DeduplicationScope::zone;
    if (name == "cell")
        return DeduplicationScope::shard;
    throw MalformedInput("setting " + path + ": expected all, zone or cell, got " +
                         name.substr(0, max_quoted));
}

WorkloadConfig read_workload_config(const Options &options, std::uint32_t index) {
    const std::string prefix = "Classes." + std::to_string(index) + ".";
    // Without an objective of its own, a class's answers are in time until its deadline.
    const char *objective = options.has(prefix + "TargetS") ? "TargetS" : "DeadlineS";
    WorkloadConfig workload;
    workload.latency_objective = options.time(prefix + objective);
    workload.value = options.number(prefix + "Points");
    workload.late_value_fraction = options.number(prefix + "LateWorth");
    workload.idempotency = parse_idempotency(options.text(prefix + "Effect"), prefix + "Effect");
    workload.deduplication_scope =
        parse_deduplication_scope(options.text(prefix + "Group"), prefix + "Group");
    workload.deduplication_window = options.time(prefix + "RepeatWindowS");
    workload.ordered_by_key = options.flag(prefix + "InTurn");
    if (workload.ordered_by_key)
        workload.key_cooldown = options.time("Rules.KeyRestS");
    return workload;
}

PlanConfig read_plan_config(const Options &options, std::uint32_t index) {
    const std::string prefix = "Contracts." + std::to_string(index) + ".";
    PlanConfig plan;
    plan.weight = options.number(prefix + "Shares", 1);
    plan.usual_rate = options.number(prefix + "UsualRate");
    plan.reserved_rate = options.number(prefix + "Guaranteed");
    plan.price = options.number(prefix + "Price", 1);
    if (options.number(prefix + "CeilingRate") > 0) {
        plan.limit_rate = options.number(prefix + "CeilingRate");
        plan.limit_burst = options.number(prefix + "Burst");
    }
    return plan;
}

RetryBudgetConfig read_retry_budget_config(const Options &options) {
    RetryBudgetConfig budget;
    if (options.has("Rules.ResendSpanS")) {
        budget.retries_per_request = options.number("Rules.ResendRatio");
        budget.free_retries = options.number("Rules.BudgetFree");
        budget.window = options.time("Rules.ResendSpanS");
    }
    return budget;
}

SlowStartConfig read_slow_start_config(const Options &options) {
    SlowStartConfig slow_start;
    slow_start.units = options.number("Extra.ColdUnits");
    slow_start.window = options.time("Rules.FallS");
    slow_start.duration = options.time("Rules.WarmAfterS");
    slow_start.initial_capacity = options.number("Rules.StartCapacity");
    return slow_start;
}

SchedulerConfig read_scheduler_config(const Options &options) {
    SchedulerConfig config;
    config.self = SchedulerId{options.count("Index")};
    config.scheduler_count = std::max(1u, options.count("Balancers", 1));
    config.time_step = options.time("StepS");
    if (options.flag("Permissions.RetryAfter"))
        config.max_retry_after = options.time("Permissions.MaxRetryAfterS");
    config.clients_mark_repeats = options.flag("Clients.MarksRetry");
    config.units.mean = options.number("Extra.UnitMean");
    config.units.largest = options.number("Extra.UnitsTop");
    config.units.usual_unit_value = options.number("Extra.ShareWorth");
    config.units.excess_unit_value = options.number("Extra.SpareWorth");
    config.attempts.max_attempts = options.count("Permissions.MaxAttempts", 1);
    config.attempts.allow_parallel = options.flag("Permissions.ParallelTries");
    config.attempts.cancel_abandoned = options.flag("Permissions.Cancel");
    config.retry_budget = read_retry_budget_config(options);
    config.slow_start = read_slow_start_config(options);
    config.endpoint_list.on_request = options.text("RegistryMode") == "on_request";
    config.endpoint_list.max_age = options.time("Rules.AskWithinS");
    return config;
}

} // namespace

void configure_scheduler(Scheduler &scheduler, const Options &options) {
    scheduler.configure(read_scheduler_config(options));
    for (std::uint32_t i = 0; i < options.count("Classes.count"); ++i)
        scheduler.set_workload(WorkloadId{i}, read_workload_config(options, i));
    for (std::uint32_t i = 0; i < options.count("Contracts.count"); ++i)
        scheduler.set_plan(PlanId{i}, read_plan_config(options, i));
}

} // namespace knotvane::scheduler_setup
