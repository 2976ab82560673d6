// When background work is done, and that it is done at all.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("background schedule") {
    TEST_CASE("takes a tenth at most while idle, waits behind requests, and goes on all the same") {
        BackgroundSchedule schedule;
        CHECK(schedule.may_begin(0, {0, 4, 0}));
        schedule.step_began(0, 10 * ms);
        CHECK(!schedule.may_begin(99 * ms, {0, 4, 0}));
        CHECK(schedule.may_begin(100 * ms, {0, 4, 0}));
        schedule.step_began(100 * ms, 2 * ms);
        CHECK(schedule.next_due({0, 4, 0}) == 120 * ms);
        CHECK(schedule.next_due({2, 4, 0}) == 120 * ms);
        CHECK(schedule.next_due({3, 4, 0}) == 150 * ms); // the last slot is for requests
        CHECK(schedule.next_due({0, 4, 1}) == 150 * ms);
        CHECK(schedule.may_begin(150 * ms, {4, 4, 9}));
    }

    // Requests never stop, and a snapshot is dropped. Its space must come back, but a step at a
    // time, so that the requests are not held up.
    TEST_CASE("space of a dropped snapshot comes back on a node that is never idle") {
        constexpr VolumeId snapshot{90};
        constexpr std::uint64_t leaf_bytes = std::uint64_t{64} * 4096;
        NodeFixture f;
        f.node.set_service_model({.unit_time = ms, .cores = 1, .slots = 2, .queue_capacity = 100});
        auto write_all = [&](char letter) {
            for (std::uint64_t i = 0; i < 300; ++i)
                f.store.write(test_volume, i * leaf_bytes, std::string(4096, letter));
        };
        write_all('x');
        f.store.take_snapshot(test_volume, snapshot);
        write_all('y');
        CHECK(f.store.blocks_used() == 600);
        f.node.drop_snapshot(snapshot);
        Time now = 0;
        std::uint64_t tag = 0;
        for (; f.store.has_reclaimable_space() && now < 3 * sec; now += ms) {
            f.read(now, f.a, ++tag);
            f.read(now, f.a, ++tag);
            f.node.tick(now);
        }
        CHECK(f.store.blocks_used() == 300);
        CHECK(now > 200 * ms);
    }
}
