#include "scheduling/retry_policy.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

WorkloadConfig workload_of(Idempotency idempotency,
                           DeduplicationScope scope = DeduplicationScope::all) {
    WorkloadConfig workload;
    workload.idempotency = idempotency;
    workload.deduplication_scope = scope;
    return workload;
}

Request request_with(const Attempt &attempt) {
    Request request;
    request.attempts.push_back(attempt);
    return request;
}

// A rejected client repeats its request. If an attempt may still be executed and its node doesn't
// drop the repeat, the client's write is executed twice.
TEST_CASE("a write that may have been executed is rejected only if all nodes drop repeats") {
    Request request = request_with({});
    CHECK_FALSE(may_reject(request, workload_of(Idempotency::at_most_once)));
    CHECK_FALSE(
        may_reject(request, workload_of(Idempotency::deduplicated, DeduplicationScope::shard)));
    CHECK(may_reject(request, workload_of(Idempotency::deduplicated, DeduplicationScope::all)));
    request.attempts[0].not_executed = true;
    CHECK(may_reject(request, workload_of(Idempotency::at_most_once)));
}

// Nodes keep an idempotency key only for the deduplication window and share it only within its
// scope: a repeat outside of either would be executed a second time.
TEST_CASE("a deduplicated request is repeated only within its scope and window") {
    Request request = request_with({{NodeId{1}, ShardId{1}, ZoneId{0}}, 0, false, false});
    WorkloadConfig workload = workload_of(Idempotency::deduplicated, DeduplicationScope::shard);
    workload.deduplication_window = sec;
    const AttemptConfig limits = {3, false, false};
    const NodeLocation same_shard = {NodeId{9}, ShardId{1}, ZoneId{0}};
    const NodeLocation other_shard = {NodeId{2}, ShardId{2}, ZoneId{0}};
    CHECK(may_start_attempt(request, workload, limits, {same_shard, 900 * ms, 4 * ms}));
    CHECK_FALSE(may_start_attempt(request, workload, limits, {same_shard, 999 * ms, 4 * ms}));
    CHECK_FALSE(may_start_attempt(request, workload, limits, {other_shard, 0, 0}));
}

TEST_CASE("attempts run in parallel only if allowed, and never exceed the maximum number") {
    Request request = request_with({{NodeId{1}, ShardId{1}, ZoneId{0}}, 0, true, false});
    const RepeatTarget target = {{NodeId{1}, ShardId{0}, ZoneId{0}}, 0, 0};
    CHECK_FALSE(may_start_attempt(request, {}, {3, false, false}, target));
    CHECK(may_start_attempt(request, {}, {3, true, false}, target));
    CHECK_FALSE(may_start_attempt(request, {}, {1, true, false}, target));
}

TEST_CASE(
    "only the outcomes overloaded, unreachable and not_sent prove that nothing was executed") {
    CHECK(proves_not_executed(AttemptOutcome::overloaded));
    CHECK(proves_not_executed(AttemptOutcome::unreachable));
    CHECK(proves_not_executed(AttemptOutcome::not_sent));
    CHECK_FALSE(proves_not_executed(AttemptOutcome::answered));
    CHECK_FALSE(proves_not_executed(AttemptOutcome::error));
    CHECK_FALSE(proves_not_executed(AttemptOutcome::timed_out));
    CHECK_FALSE(proves_not_executed(AttemptOutcome::reset));
    CHECK_FALSE(proves_not_executed(AttemptOutcome::canceled));
}

TEST_CASE("an at-most-once request is repeated only if no attempt may have been executed") {
    const NodeLocation location = {NodeId{1}, ShardId{1}, ZoneId{0}};
    Request request = request_with({location, 0, false, false});
    WorkloadConfig workload = workload_of(Idempotency::at_most_once);
    workload.deduplication_window = sec; // not used for at-most-once requests
    CHECK_FALSE(is_repeat_safe(request, 1, workload, {location, 0, 0}));
    request.attempts[0].not_executed = true;
    CHECK(is_repeat_safe(request, 1, workload, {location, 0, 0}));
}

TEST_CASE("with the zone as scope a request may be repeated at another shard of its zone only") {
    Request request = request_with({{NodeId{1}, ShardId{1}, ZoneId{0}}, 0, false, false});
    WorkloadConfig workload = workload_of(Idempotency::deduplicated, DeduplicationScope::zone);
    workload.deduplication_window = sec;
    CHECK(is_repeat_safe(request, 1, workload, {{NodeId{2}, ShardId{2}, ZoneId{0}}, 0, 0}));
    CHECK_FALSE(is_repeat_safe(request, 1, workload, {{NodeId{2}, ShardId{1}, ZoneId{1}}, 0, 0}));
}

} // namespace
} // namespace knotvane::scheduling
