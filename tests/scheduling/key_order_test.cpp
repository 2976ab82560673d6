#include "scheduling/key_order.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// A connection may be reset while the node is still executing a write. If the key's next write were
// sent at once, it could be executed first and then be overwritten by the older one.
TEST_CASE("requests with the same key run one at a time, with a cooldown after a reset") {
    SchedulerFixture fixture;
    WorkloadConfig ordered = SchedulerFixture::workload();
    ordered.ordered_by_key = true;
    ordered.key_cooldown = 100 * ms;
    fixture.scheduler->set_workload(WorkloadId{0}, ordered);
    fixture.list_endpoints(0);
    fixture.receive(0, 1, 1, 42);
    fixture.receive(0, 2, 1, 42);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start") == 1);
    fixture.complete(600 * ms, 1, AttemptOutcome::reset);
    fixture.receive(600 * ms, 3, 1, 42);
    fixture.scheduler->settle(600 * ms);
    CHECK(fixture.actions.count("start 3") == 0);
}

TEST_CASE("only the first request of a key may run; once it is removed the next one may") {
    constexpr KeyId key{42};
    constexpr KeyId other_key{43};
    KeyOrder order;
    order.enqueue(key, RequestId{2});
    order.enqueue(key, RequestId{1});
    order.enqueue(other_key, RequestId{3});
    CHECK(order.may_run(key, RequestId{2}, 0));
    CHECK_FALSE(order.may_run(key, RequestId{1}, 0));
    CHECK(order.may_run(other_key, RequestId{3}, 0));
    order.remove(key, RequestId{2});
    CHECK(order.may_run(key, RequestId{1}, 0));
}

TEST_CASE("a key stays blocked after its requests are removed, until the later of two times") {
    constexpr KeyId key{42};
    KeyOrder order;
    order.enqueue(key, RequestId{1});
    order.block_until(key, 100 * ms);
    order.block_until(key, 50 * ms);
    order.remove(key, RequestId{1});
    order.prune(99 * ms);
    order.enqueue(key, RequestId{2});
    CHECK_FALSE(order.may_run(key, RequestId{2}, 99 * ms));
    CHECK(order.may_run(key, RequestId{2}, 100 * ms));
}

} // namespace
} // namespace knotvane::scheduling
