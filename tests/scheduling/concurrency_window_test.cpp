#include "scheduling/concurrency_window.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the window grows while the time per unit is near its best") {
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

TEST_CASE("schedulers share the window's floor of four") {
    CHECK(ConcurrencyWindow(1).size() == doctest::Approx(4));
    CHECK(ConcurrencyWindow(2).size() == doctest::Approx(2));
    CHECK(ConcurrencyWindow(80).size() == doctest::Approx(1)); // one may always start
}

TEST_CASE("before there are eight answers a slow one halves the window, also to below one") {
    ConcurrencyWindow window(80);
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK(window.size() == doctest::Approx(0.5));
    window.record_duration(2 * sec, 2, 10 * ms, false);
    CHECK(window.size() == doctest::Approx(1));
}

TEST_CASE("a window below one rests after an attempt, the shorter the more its volumes are worth") {
    ConcurrencyWindow window(80);
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK_FALSE(window.has_capacity(0, 190 * ms, 100 * ms, 1));
    CHECK(window.has_capacity(0, 200 * ms, 100 * ms, 1));
    CHECK(window.has_capacity(0, 100 * ms, 100 * ms, 2));
    CHECK_FALSE(window.has_capacity(1, sec, 100 * ms, 1));
}

TEST_CASE("whatever its volumes are worth, a scheduler keeps its share of the floor") {
    ConcurrencyWindow window(5); // four fifths
    window.record_duration(sec, 2, 400 * ms, true);
    CHECK(window.has_capacity(0, 125 * ms, 100 * ms, 0.01));
}

TEST_CASE("the window never passes 32") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 1000; ++i)
        window.record_duration(i * ms, 2, 10 * ms, false);
    CHECK(window.size() == 32);
    CHECK(window.has_capacity(31, 0, 0, 1));
    CHECK_FALSE(window.has_capacity(32, 0, 0, 1));
}

TEST_CASE("a reading of twice the best halves the window, whatever the request's objective") {
    ConcurrencyWindow window(1);
    for (int i = 0; i < 200; ++i)
        window.record_duration(i * ms, 1, 10 * ms, false);
    double before = window.size();
    window.record_duration(3 * sec, 1, 20 * ms, false); // the only one of the last two seconds
    CHECK(window.size() == doctest::Approx(before / 2));
}

TEST_CASE("a window of one or below goes by the request's objective, whatever its reading") {
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
