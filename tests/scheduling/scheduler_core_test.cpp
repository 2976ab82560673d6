#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a waiting request is answered before its client's timeout") {
    SchedulerFixture fixture;
    fixture.receive(0, 1); // no node is listed
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(2 * sec - 4 * ms);
    CHECK(fixture.actions.count("reject 1") == 1);
}

TEST_CASE(
    "a request with an attempt in flight is answered before its client's timeout, and only once") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(2 * sec - 4 * ms);
    fixture.complete(2 * sec, 1, AttemptOutcome::timed_out);
    fixture.scheduler->settle(2 * sec);
    CHECK(fixture.actions.count("reject 1") == 1);
}

TEST_CASE("no attempt is started at a draining node") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::draining);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start") == 0);
}

TEST_CASE("a node that a full endpoint list doesn't name is removed") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.scheduler->endpoint_list_begin(ms, EndpointListKind::full);
    fixture.scheduler->endpoint_list_end();
    fixture.receive(ms, 1);
    fixture.scheduler->settle(ms);
    CHECK(fixture.actions.count("start") == 0);
}

// A rejection sent in one time step may arrive a step later. It is sent two steps before the
// client's timeout, because after the timeout the client would not receive it.
TEST_CASE("a request is rejected two time steps before its client's timeout") {
    SchedulerFixture fixture;
    fixture.scheduler->set_workload(WorkloadId{0}, SchedulerFixture::workload(10 * sec));
    fixture.receive(0, 1);
    fixture.scheduler->settle(2 * sec - 4 * ms - 1);
    CHECK(fixture.actions.count("reject") == 0);
    fixture.scheduler->settle(2 * sec - 4 * ms);
    CHECK(fixture.actions.count("reject") == 1);
}

TEST_CASE("an attempt may not be sent once its node drains or its request is canceled") {
    for (bool drains : {false, true}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        fixture.receive(0, 1);
        fixture.scheduler->settle(0);
        CHECK(fixture.scheduler->may_send_attempt(ms, RequestId{1}, AttemptId{0}));
        if (drains)
            fixture.list_endpoints(ms, NodeState::draining);
        else
            fixture.scheduler->request_canceled(ms, RequestId{1}, CancelReason::abandoned);
        CHECK_FALSE(fixture.scheduler->may_send_attempt(ms, RequestId{1}, AttemptId{0}));
    }
}

TEST_CASE("attempts of an ended request are canceled only if cancel_abandoned is set") {
    for (bool cancels : {false, true}) {
        SchedulerFixture fixture;
        fixture.config.attempts.cancel_abandoned = cancels;
        fixture.scheduler->configure(fixture.config);
        fixture.list_endpoints(0);
        fixture.receive(0, 1);
        fixture.scheduler->settle(0);
        fixture.scheduler->request_canceled(ms, RequestId{1}, CancelReason::abandoned);
        CHECK(fixture.actions.count("cancel 1") == (cancels ? 1 : 0));
    }
}

/// Gives the volume a limit of which this scheduler has 5 units per second and a burst of 10 units.
void set_limit(const SchedulerFixture &fixture) {
    fixture.scheduler->set_plan(PlanId{0}, {1, 10, 0, 1, 10, 20});
    fixture.scheduler->start(0);
}

TEST_CASE("a request that ends before it is sent returns its units to the quota share") {
    SchedulerFixture fixture;
    set_limit(fixture);
    fixture.receive(2 * sec, 1, 1, 0, 8); // no node is listed yet
    fixture.scheduler->settle(2 * sec);
    fixture.scheduler->request_canceled(2 * sec, RequestId{1}, CancelReason::abandoned);
    fixture.list_endpoints(2 * sec);
    fixture.receive(2 * sec, 2, 1, 0, 8);
    fixture.scheduler->settle(2 * sec);
    CHECK(fixture.actions.count("start 2") == 1);
}

TEST_CASE("the quota share fills up again after its units have been sent") {
    SchedulerFixture fixture;
    set_limit(fixture);
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        Time now = static_cast<Time>(i) * 3 * sec;
        fixture.receive(now, i, 1, 0, 10);
        fixture.scheduler->settle(now);
    }
    CHECK(fixture.actions.count("start") == 2);
}

TEST_CASE("a request larger than a full quota share is rejected at once") {
    SchedulerFixture fixture;
    set_limit(fixture);
    fixture.list_endpoints(0);
    fixture.receive(0, 1, 1, 0, 10);
    fixture.receive(0, 2, 1, 0, 11);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("reject 1") == 0);
    CHECK(fixture.actions.count("reject 2") == 1);
}

TEST_CASE("no retry is started if it can't be answered in time") {
    for (Time ended_at : {499 * ms, 500 * ms}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        fixture.receive(0, 1);
        fixture.scheduler->settle(0);
        fixture.complete(ended_at, 1, AttemptOutcome::unreachable);
        fixture.scheduler->settle(ended_at);
        CHECK(fixture.actions.count("start") == (ended_at < 500 * ms ? 2 : 1));
        CHECK(fixture.actions.count("reject") == (ended_at < 500 * ms ? 0 : 1));
    }
}

TEST_CASE("no retry is started beyond the retry budget") {
    SchedulerFixture fixture;
    fixture.config.retry_budget = {0, 1, sec};
    fixture.scheduler->configure(fixture.config);
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    for (std::uint32_t attempt = 0; attempt < 2; ++attempt) {
        fixture.complete(ms, 1, AttemptOutcome::reset, ms, attempt);
        fixture.scheduler->settle(ms);
    }
    CHECK(fixture.actions.count("start") == 2);
    CHECK(fixture.actions.count("reject") == 1);
}

TEST_CASE("requests that wait at a draining node are sent to the node that replaces it") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i <= 3; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    REQUIRE(fixture.actions.count("start") == 2); // the concurrency window is full, the third waits
    fixture.scheduler->endpoint_list_begin(ms, EndpointListKind::delta);
    fixture.scheduler->endpoint_listed({NodeId{1}, ShardId{1}, ZoneId{0}, NodeState::draining, 0});
    fixture.scheduler->endpoint_listed({NodeId{3}, ShardId{1}, ZoneId{0}, NodeState::ready, 0});
    fixture.scheduler->endpoint_list_end();
    fixture.scheduler->settle(ms);
    CHECK(fixture.actions.count("start 3 3") == 1);
}

// After a reset the node may still execute the write; key_order_test.cpp tells what could happen.
TEST_CASE("a key is blocked for its cooldown after an attempt that may still be running") {
    SchedulerFixture fixture;
    fixture.config.attempts.max_attempts = 1;
    fixture.scheduler->configure(fixture.config);
    WorkloadConfig ordered = SchedulerFixture::workload();
    ordered.ordered_by_key = true;
    ordered.key_cooldown = 100 * ms;
    fixture.scheduler->set_workload(WorkloadId{0}, ordered);
    fixture.list_endpoints(0);
    fixture.receive(0, 1, 1, 42);
    fixture.receive(0, 2, 1, 42);
    fixture.scheduler->settle(0);
    fixture.complete(100 * ms, 1, AttemptOutcome::reset);
    fixture.scheduler->settle(199 * ms);
    CHECK(fixture.actions.count("start 2") == 0);
    fixture.scheduler->settle(200 * ms);
    CHECK(fixture.actions.count("start 2") == 1);
}

TEST_CASE("an at-most-once request that may have been executed fails instead of being rejected") {
    SchedulerFixture fixture;
    WorkloadConfig workload = SchedulerFixture::workload();
    workload.idempotency = Idempotency::at_most_once;
    fixture.scheduler->set_workload(WorkloadId{0}, workload);
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.complete(ms, 1, AttemptOutcome::reset);
    CHECK(fixture.actions.count("fail 1") == 1);
    CHECK(fixture.actions.count("reject") == 0);
}

TEST_CASE("the timer is set while requests wait, unless it already expires sooner") {
    SchedulerFixture fixture;
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.timer_delays.empty());
    fixture.receive(0, 1); // no node is listed
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(ms);
    CHECK(fixture.actions.timer_delays == std::vector<Time>{5 * ms});
    fixture.scheduler->timer_expired(5 * ms, TimerId{1});
    fixture.scheduler->settle(5 * ms);
    CHECK(fixture.actions.timer_delays == std::vector<Time>{5 * ms, 5 * ms});
}

TEST_CASE(
    "an unresponsive node gets one trial attempt in this scheduler's time slot, none before") {
    SchedulerFixture fixture; // scheduler 0 of two
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i <= 2; ++i)
        fixture.receive(10 * sec, i);
    fixture.scheduler->settle(10 * sec);
    REQUIRE(fixture.actions.count("start") == 2);
    for (std::uint64_t i = 3; i <= 4; ++i)
        fixture.receive(10750 * ms, i);
    fixture.scheduler->settle(10750 * ms);
    fixture.scheduler->settle(10999 * ms);
    CHECK(fixture.actions.count("start") == 2);
    fixture.scheduler->settle(11 * sec);
    CHECK(fixture.actions.count("start") == 3);
}

} // namespace
} // namespace knotvane::scheduling
