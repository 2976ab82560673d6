#include "scheduling/concurrency_window.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the window grows while the time per unit is near its minimum") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 40; ++i)
        window.record_duration(i * ms, 2, 10 * ms, false);
    CHECK(window.size() > 8);
}

TEST_CASE("the window halves at most once per round trip") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 200; ++i)
        window.record_duration(i * ms, 2, 10 * ms, false);
    double before = window.size();
    window.halve(sec, 50 * ms);
    window.halve(sec + 10 * ms, 50 * ms);
    CHECK(window.size() == doctest::Approx(before / 2));
}

TEST_CASE("the schedulers divide the minimum window of four, but each starts with at least one") {
    CHECK(ConcurrencyWindow(1).size() == doctest::Approx(4));
    CHECK(ConcurrencyWindow(2).size() == doctest::Approx(2));
    CHECK(ConcurrencyWindow(80).size() == doctest::Approx(1));
}

TEST_CASE("a slow attempt among the first eight halves the window, even to below one") {
    ConcurrencyWindow window(80);
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK(window.size() == doctest::Approx(0.5));
    window.record_duration(2 * sec, 2, 10 * ms, false);
    CHECK(window.size() == doctest::Approx(1));
}

TEST_CASE("a window below one pauses between attempts, for less time if more value is waiting") {
    ConcurrencyWindow window(80);
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK_FALSE(window.has_capacity(0, 190 * ms, 100 * ms, 1));
    CHECK(window.has_capacity(0, 200 * ms, 100 * ms, 1));
    CHECK(window.has_capacity(0, 100 * ms, 100 * ms, 2));
    CHECK_FALSE(window.has_capacity(1, sec, 100 * ms, 1));
}

TEST_CASE("a scheduler keeps its part of the minimum window even if little value is waiting") {
    ConcurrencyWindow window(5); // a minimum of 0.8
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK(window.has_capacity(0, 125 * ms, 100 * ms, 0.01));
}

TEST_CASE("the window never exceeds 32 attempts") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 1000; ++i)
        window.record_duration(i * ms, 2, 10 * ms, false);
    CHECK(window.size() == 32);
    CHECK(window.has_capacity(31, 0, 0, 1));
    CHECK_FALSE(window.has_capacity(32, 0, 0, 1));
}

TEST_CASE(
    "a time per unit of twice the minimum halves the window, even within the latency objective") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 200; ++i)
        window.record_duration(i * ms, 1, 10 * ms, false);
    double before = window.size();
    window.record_duration(3 * sec, 1, 20 * ms, false); // the only sample of the last two seconds
    CHECK(window.size() == doctest::Approx(before / 2));
}

TEST_CASE(
    "a window of at most one is halved by a slow attempt, even at the minimum time per unit") {
    ConcurrencyWindow window(80);
    for (int i = 0; i < 8; ++i)
        window.record_duration(i * ms, 1, 10 * ms, false);
    REQUIRE(window.size() == doctest::Approx(2));
    window.halve(sec, 10 * ms);
    window.record_duration(2 * sec, 1, 10 * ms, true);
    CHECK(window.size() == doctest::Approx(0.5));
}

} // namespace
} // namespace knotvane::scheduling
