// When background work is scheduled, and that it makes progress on a busy node.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("background schedule") {
    TEST_CASE("steps take at most a tenth of the time on an idle node, and on a busy node one may "
              "begin every 50 ms") {
        BackgroundSchedule schedule;
        CHECK(schedule.may_begin(0, {0, 4, 0}));
        schedule.step_began(0, 10 * ms);
        CHECK(!schedule.may_begin(99 * ms, {0, 4, 0}));
        CHECK(schedule.may_begin(100 * ms, {0, 4, 0}));
        schedule.step_began(100 * ms, 2 * ms);
        CHECK(schedule.next_due({0, 4, 0}) == 120 * ms);
        CHECK(schedule.next_due({2, 4, 0}) == 120 * ms);
        CHECK(schedule.next_due({3, 4, 0}) == 150 * ms); // the last free slot is kept for requests
        CHECK(schedule.next_due({0, 4, 1}) == 150 * ms);
        CHECK(schedule.may_begin(150 * ms, {4, 4, 9}));
    }

    // A snapshot is dropped while requests keep arriving. Its space must be reclaimed, but in steps
    // spread over time, so that the requests are not delayed.
    TEST_CASE("the space of a dropped snapshot is reclaimed on a node that is never idle") {
        constexpr VolumeId snapshot{90};
        constexpr std::uint64_t leaf_bytes = std::uint64_t{64} * 4096;
        NodeFixture fixture;
        fixture.node.set_service_model(
            {.unit_time = ms, .cores = 1, .slots = 2, .queue_capacity = 100});
        auto write_all = [&](char letter) {
            for (std::uint64_t i = 0; i < 300; ++i)
                fixture.store.write(test_volume, i * leaf_bytes, std::string(4096, letter));
        };
        write_all('x');
        fixture.store.take_snapshot(test_volume, snapshot);
        write_all('y');
        CHECK(fixture.store.blocks_used() == 600);
        fixture.node.drop_snapshot(snapshot);
        Time now = 0;
        std::uint64_t tag = 0;
        for (; fixture.store.has_reclaimable_space() && now < 3 * sec; now += ms) {
            fixture.read(now, fixture.first_connection, ++tag);
            fixture.read(now, fixture.first_connection, ++tag);
            fixture.node.tick(now);
        }
        CHECK(fixture.store.blocks_used() == 300);
        CHECK(now > 200 * ms);
    }
}
