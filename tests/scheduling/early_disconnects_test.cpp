#include "scheduling/early_disconnects.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include "scheduler_fixture.hpp"
#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

// If requests were served in turn while clients give up after a moment, each answer would go to a
// client that is about to leave.
TEST_CASE("while clients disconnect early a request is given up by when they go") {
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

// On a live day one client hung up again and again. Its disconnects ended every waiting request of
// every volume at once.
TEST_CASE("clients of one volume that disconnect early shorten no other volume's wait") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 12; ++i)
        fixture.receive(0, i);
    for (std::uint64_t i = 20; i < 24; ++i) { // another volume's
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

// Clients that left within 3 ms, whatever was done for them, ended most requests of a day on
// real sockets, although others waited and were answered.
TEST_CASE("disconnects shorten no wait while as many clients are answered after a longer one") {
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

// A request that was split ends as a whole when one part fails. If its other parts counted as
// clients that left, they would shorten the wait of all.
TEST_CASE("a request that ends for another reason than a disconnect tells of no wait") {
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

TEST_CASE("eight disconnects in two seconds limit the wait to their quick quarter") {
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

TEST_CASE("disconnects of four volumes limit the wait of all, of three that of none but theirs") {
    for (std::uint64_t volumes : {3U, 4U}) {
        EarlyDisconnects disconnects;
        for (std::uint64_t i = 0; i < 12; ++i)
            disconnects.client_disconnected(0, VolumeId{i % volumes}, 10 * ms);
        bool limited = disconnects.wait_limit(VolumeId{9}, 0) == 10 * ms;
        CHECK(limited == (volumes == 4));
    }
}

TEST_CASE("as many clients that were answered after a longer wait lift the limit") {
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
