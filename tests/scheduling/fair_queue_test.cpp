#include "scheduling/fair_queue.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

constexpr VolumeId first_volume{1};
constexpr VolumeId second_volume{2};

QueueRank rank(std::uint64_t id) {
    return {0, static_cast<Time>(id) * ms, RequestId{id}};
}

TEST_CASE("the eligible volume with the least finish tag is served first") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(second_volume, 2, rank(2)); // finish tags 8 / 1 and 8 / 2
    CHECK(*queue.select(0) == second_volume);
}

TEST_CASE("a written unit is charged as ten read units") {
    CHECK(FairQueue::charge_of(3, true) == 30);
    CHECK(FairQueue::charge_of(3, false) == 3);
}

TEST_CASE("virtual time increases by the charge divided by the weight of the waiting volumes") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(second_volume, 3, rank(2));
    queue.select(0);
    queue.request_sent(rank(2), 4, 4);
    CHECK(queue.virtual_time() == doctest::Approx(1));
}

TEST_CASE("virtual time is never less than the least start tag of the waiting volumes") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(first_volume, 1, rank(2));
    queue.select(0);
    queue.request_sent(rank(1), 4, 40);
    queue.end_exhausted_service(0);
    queue.select(0);
    CHECK(queue.virtual_time() == doctest::Approx(40));
}

TEST_CASE("a service that times out is charged its whole budget") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(first_volume, 1, rank(2));
    queue.select(0);
    queue.request_sent(rank(1), 2, 2);
    queue.select(125 * ms);
    CHECK(queue.volumes().at(first_volume).start_tag == doctest::Approx(8));
}

TEST_CASE("a volume whose queue becomes empty is charged only for what it sent") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.select(0);
    queue.request_sent(rank(1), 2, 2);
    queue.select(1);
    CHECK(queue.volumes().at(first_volume).finish_tag == doctest::Approx(2));
}

TEST_CASE("a budget limits the charges of a service, but never stops its first request") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(first_volume, 1, rank(2));
    queue.select(0);
    CHECK(queue.fits_budget(80));
    queue.request_sent(rank(1), 6, 6);
    CHECK_FALSE(queue.fits_budget(3));
}

TEST_CASE("an exhausted budget is quadrupled; a time-out or attempts in flight double it") {
    FairQueue queue(1); // the rate is unknown, so the maximum and the first budget are 1
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(first_volume, 1, rank(2));
    queue.select(0);
    queue.request_sent(rank(1), 100, 1);
    // 100 units in 50 ms are 2000 units per second or 250 units per slice.
    queue.end_exhausted_service(50 * ms);
    CHECK(queue.max_budget() == doctest::Approx(250));
    CHECK(queue.volumes().at(first_volume).budget == doctest::Approx(4));
    queue.select(50 * ms);
    queue.select(175 * ms); // the slice is over
    CHECK(queue.volumes().at(first_volume).budget == doctest::Approx(8));
    // 7/8 of the rate before: nothing was sent in the service that timed out.
    CHECK(queue.service_rate() == doctest::Approx(1750));
    queue.request_sent(rank(2), 1, 1);
    queue.select(180 * ms); // no request waits, attempts are in flight
    CHECK(queue.volumes().at(first_volume).budget == doctest::Approx(16));
    queue.attempt_ended(first_volume);
    queue.attempt_ended(first_volume);
    queue.enqueue(second_volume, 1, rank(3));
    CHECK(queue.volumes().at(second_volume).budget ==
          doctest::Approx(1750 * 0.125 / 2)); // a new volume starts with half the maximum
}

TEST_CASE("a volume whose start tag is after virtual time isn't eligible") {
    FairQueue queue(8);
    queue.enqueue(first_volume, 1, rank(1));
    queue.enqueue(first_volume, 1, rank(2));
    queue.enqueue(second_volume, 0.1, rank(3)); // finish tag 8 / 0.1
    REQUIRE(*queue.select(0) == first_volume);
    queue.request_sent(rank(1), 4, 40); // virtual time 40 / 1.1
    queue.end_exhausted_service(0);
    REQUIRE(queue.volumes().at(first_volume).start_tag == doctest::Approx(40));
    REQUIRE(queue.volumes().at(first_volume).finish_tag < 80);
    CHECK(*queue.select(0) == second_volume);
}

} // namespace
} // namespace knotvane::scheduling
