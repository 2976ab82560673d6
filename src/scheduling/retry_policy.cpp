#include "scheduling/retry_policy.hpp"

namespace knotvane::scheduling {

bool proves_not_executed(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::overloaded || outcome == AttemptOutcome::unreachable ||
           outcome == AttemptOutcome::not_sent;
}

bool may_reject(const Request &request, const WorkloadConfig &workload) {
    return workload.idempotency == Idempotency::idempotent || !request.may_have_executed() ||
           (workload.idempotency == Idempotency::deduplicated &&
            workload.deduplication_scope == DeduplicationScope::all);
}

bool is_repeat_safe(const Request &request, std::size_t previous_attempts,
                    const WorkloadConfig &workload, const RepeatTarget &target) {
    if (workload.idempotency == Idempotency::idempotent)
        return true;
    for (std::size_t i = 0; i < previous_attempts; ++i) {
        const Attempt &attempt = request.attempts[i];
        if (attempt.not_executed)
            continue;
        if (workload.idempotency == Idempotency::at_most_once)
            return false;
        if (target.now + target.margin >= attempt.started_at + workload.deduplication_window)
            return false;
        if (workload.deduplication_scope == DeduplicationScope::shard &&
            attempt.location.shard != target.location.shard)
            return false;
        if (workload.deduplication_scope == DeduplicationScope::zone &&
            attempt.location.zone != target.location.zone)
            return false;
    }
    return true;
}

bool may_start_attempt(const Request &request, const WorkloadConfig &workload,
                       const AttemptConfig &limits, const RepeatTarget &target) {
    if (request.attempts.size() >= limits.max_attempts)
        return false;
    if (!limits.allow_parallel && request.any_in_flight())
        return false;
    return is_repeat_safe(request, request.attempts.size(), workload, target);
}

} // namespace knotvane::scheduling
