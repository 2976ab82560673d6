// The judge of snapshots on histories made up to break each of its rules, and on good ones.
#include <doctest/doctest.h>

#include "rules/history.hpp"

using namespace knotvane;
using namespace knotvane::rules;

namespace {
using Held = std::map<std::uint64_t, WriteNo>;
// Writes one block and is answered.
WriteNo written(History &h, Time from, Time to, std::uint64_t block, bool durable = true) {
    auto no = h.begins(from, block, 1, durable);
    h.ends(no, to, true);
    return no;
}
} // namespace

TEST_SUITE("the judge of snapshots") {
    TEST_CASE("a write answered before the call is in, or what came over it") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 5, 30, 1);
        CHECK(h.judge(20, 40, {{1, a}}).empty());
        CHECK(h.judge(20, 40, {{1, b}}).empty());
        CHECK(h.judge(20, 40, {}).size() == 1);
        auto c = written(h, 50, 60, 1);
        CHECK(h.judge(70, 80, {{1, a}}).size() >= 1);
        CHECK(h.judge(70, 80, {{1, c}}).empty());
    }
    TEST_CASE("a write begun after the return is not in") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 50, 60, 1);
        CHECK(h.judge(20, 40, {{1, a}}).empty());
        CHECK(h.judge(20, 40, {{1, b}}).size() == 1);
    }
    TEST_CASE("a write that is in brings with it what was answered before it began") {
        History h;
        auto a = written(h, 0, 10, 1), b = written(h, 20, 30, 2);
        CHECK(h.judge(0, 40, {{1, a}, {2, b}}).empty());
        CHECK(h.judge(0, 40, {{1, a}}).empty());
        CHECK(h.judge(0, 40, {}).empty());
        CHECK(h.judge(0, 40, {{2, b}}).size() == 1);
    }
    TEST_CASE("a write that was answered is in or out with all its blocks") {
        History h;
        auto a = h.begins(0, 1, 3, true);
        h.ends(a, 50, true);
        CHECK(h.judge(10, 60, {}).empty());
        CHECK(h.judge(10, 60, {{1, a}, {2, a}, {3, a}}).empty());
        CHECK(h.judge(10, 60, {{1, a}, {3, a}}).size() == 1);
        // One that failed may be in by halves; so may one that another came over.
        auto b = h.begins(0, 5, 2, true);
        h.ends(b, 20, false);
        CHECK(h.judge(30, 60, {{5, b}, {1, a}, {2, a}, {3, a}}).empty());
        auto c = written(h, 40, 55, 3);
        CHECK(h.judge(10, 60, {{1, a}, {2, a}, {3, c}}).empty());
    }
    TEST_CASE("what a store lost proves nothing, unless it was to be durable") {
        for (bool durable : {false, true}) {
            History h;
            written(h, 0, 10, 1, durable);
            h.lost(15);
            CHECK(h.judge(20, 40, {}).empty() == !durable);
        }
    }
}
