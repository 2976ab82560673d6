#include "scheduling/early_disconnects.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include "scheduler_fixture.hpp"
#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

// If requests were served in turn while clients disconnect after a short wait, each request would
// be served just before its client disconnects.
TEST_CASE("while clients disconnect early, requests that would be answered later are given up") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 15; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 3; i < 12; ++i)
        fixture.scheduler->request_canceled(150 * ms, RequestId{i},
                                            CancelReason::client_disconnected);
    fixture.scheduler->settle(151 * ms);
    CHECK(fixture.actions.count("reject") == 3);
}

// In one run a client disconnected again and again, and its disconnects made the scheduler
// give up all waiting requests of all volumes.
TEST_CASE("early disconnects of one volume's clients don't limit the wait of another volume") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 12; ++i)
        fixture.receive(0, i);
    for (std::uint64_t i = 20; i < 24; ++i) { // of another volume
        RequestInfo request;
        request.id = RequestId{i};
        request.volume = VolumeId{6};
        request.shard = ShardId{1};
        request.units = 2;
        request.sharers = 2;
        request.client_timeout = 2 * sec;
        fixture.scheduler->request_received(0, request);
    }
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 1; i < 12; ++i)
        fixture.scheduler->request_canceled(ms, RequestId{i}, CancelReason::client_disconnected);
    fixture.scheduler->settle(2 * ms);
    CHECK(fixture.actions.count("reject 2") == 0);
}

// In a run over real sockets, clients that always disconnected within 3 ms made the scheduler
// give up most requests, although other clients waited and were answered.
TEST_CASE("disconnects limit no wait while as many clients are answered after a longer wait") {
    for (bool others_stay : {false, true}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        if (others_stay)
            for (std::uint64_t i = 100; i < 110; ++i) {
                fixture.receive(0, i);
                fixture.scheduler->settle(0);
                fixture.complete(20 * ms, i, AttemptOutcome::answered);
            }
        for (std::uint64_t i = 1; i < 15; ++i)
            fixture.receive(20 * ms, i);
        fixture.scheduler->settle(20 * ms);
        for (std::uint64_t i = 3; i < 12; ++i)
            fixture.scheduler->request_canceled(22 * ms, RequestId{i},
                                                CancelReason::client_disconnected);
        fixture.scheduler->settle(23 * ms);
        CHECK(fixture.actions.count("reject") == (others_stay ? 0 : 3));
    }
}

// When one part of a split request fails, its other parts are canceled. If those counted as
// disconnects, they would limit the wait of all clients.
TEST_CASE("a request that is canceled for another reason doesn't count as a disconnect") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 15; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 3; i < 12; ++i)
        fixture.scheduler->request_canceled(150 * ms, RequestId{i}, CancelReason::abandoned);
    fixture.scheduler->settle(151 * ms);
    CHECK(fixture.actions.count("reject") == 0);
}

constexpr VolumeId volume{1};

TEST_CASE(
    "eight disconnects within two seconds limit the wait to the first quartile of their waits") {
    EarlyDisconnects disconnects;
    for (Time i = 1; i <= 7; ++i)
        disconnects.client_disconnected(0, volume, i * 10 * ms);
    CHECK_FALSE(disconnects.many_recent(0));
    CHECK(disconnects.wait_limit(volume, 0) == unlimited_wait);
    disconnects.client_disconnected(0, volume, 80 * ms);
    CHECK(disconnects.many_recent(0));
    CHECK(disconnects.wait_limit(volume, 0) == 20 * ms);
    CHECK_FALSE(disconnects.many_recent(2 * sec));
    CHECK(disconnects.wait_limit(volume, 2 * sec) == unlimited_wait);
}

TEST_CASE("disconnects of four volumes limit the wait of other volumes, those of three don't") {
    for (std::uint64_t volumes : {3U, 4U}) {
        EarlyDisconnects disconnects;
        for (std::uint64_t i = 0; i < 12; ++i)
            disconnects.client_disconnected(0, VolumeId{i % volumes}, 10 * ms);
        bool limited = disconnects.wait_limit(VolumeId{9}, 0) == 10 * ms;
        CHECK(limited == (volumes == 4));
    }
}

TEST_CASE("the limit is lifted once as many clients were answered after a longer wait") {
    EarlyDisconnects disconnects;
    for (int i = 0; i < 8; ++i)
        disconnects.client_disconnected(0, volume, 10 * ms);
    for (int i = 0; i < 7; ++i)
        disconnects.client_answered(volume, 11 * ms);
    disconnects.client_answered(volume, 10 * ms);
    CHECK(disconnects.wait_limit(volume, 0) == 10 * ms);
    disconnects.client_answered(volume, 11 * ms);
    CHECK(disconnects.wait_limit(volume, 0) == unlimited_wait);
}

} // namespace
} // namespace knotvane::scheduling
