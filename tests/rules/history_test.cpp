// Checks snapshots against write histories: for each rule one that breaks it and ones that keep it.
#include <doctest/doctest.h>

#include "rules/history.hpp"

using namespace knotvane;
using namespace knotvane::rules;

namespace {
using Held = std::map<std::uint64_t, WriteNumber>;
// Writes one block and is answered.
WriteNumber written(History &h, Time from, Time to, std::uint64_t block, bool durable = true) {
    auto no = h.write_started(from, block, 1, durable);
    h.write_ended(no, to, true);
    return no;
}
} // namespace

TEST_SUITE("the snapshot history check") {
    TEST_CASE("a snapshot has each write answered before the call, or a write that replaced it") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 5, 30, 1);
        CHECK(h.check_snapshot(20, 40, {{1, a}}).empty());
        CHECK(h.check_snapshot(20, 40, {{1, b}}).empty());
        CHECK(h.check_snapshot(20, 40, {}).size() == 1);
        auto c = written(h, 50, 60, 1);
        CHECK(h.check_snapshot(70, 80, {{1, a}}).size() >= 1);
        CHECK(h.check_snapshot(70, 80, {{1, c}}).empty());
    }
    TEST_CASE("a snapshot has no write that began after the call returned") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 50, 60, 1);
        CHECK(h.check_snapshot(20, 40, {{1, a}}).empty());
        CHECK(h.check_snapshot(20, 40, {{1, b}}).size() == 1);
    }
    TEST_CASE("a snapshot with a write also has every write answered before that write began") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 20, 30, 2);
        CHECK(h.check_snapshot(0, 40, {{1, a}, {2, b}}).empty());
        CHECK(h.check_snapshot(0, 40, {{1, a}}).empty());
        CHECK(h.check_snapshot(0, 40, {}).empty());
        CHECK(h.check_snapshot(0, 40, {{2, b}}).size() == 1);
    }
    TEST_CASE("a snapshot has all blocks of an answered write or none") {
        History h;
        auto a = h.write_started(0, 1, 3, true);
        h.write_ended(a, 50, true);
        CHECK(h.check_snapshot(10, 60, {}).empty());
        CHECK(h.check_snapshot(10, 60, {{1, a}, {2, a}, {3, a}}).empty());
        CHECK(h.check_snapshot(10, 60, {{1, a}, {3, a}}).size() == 1);
        // A failed write may be there in part; so may one that a later write partly replaced.
        auto b = h.write_started(0, 5, 2, true);
        h.write_ended(b, 20, false);
        CHECK(h.check_snapshot(30, 60, {{5, b}, {1, a}, {2, a}, {3, a}}).empty());
        auto c = written(h, 40, 55, 3);
        CHECK(h.check_snapshot(10, 60, {{1, a}, {2, a}, {3, c}}).empty());
    }
    TEST_CASE("a write lost by a store may be absent unless it was sent as durable") {
        for (bool durable : {false, true}) {
            History h;
            written(h, 0, 10, 1, durable);
            h.unflushed_data_lost(15);
            CHECK(h.check_snapshot(20, 40, {}).empty() == !durable);
        }
    }
}
