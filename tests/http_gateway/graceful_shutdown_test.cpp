#include <limits>

#include <doctest/doctest.h>

#include "http_gateway/graceful_shutdown.hpp"

using namespace knotvane;
using http_gateway::GracefulShutdown;

namespace {

constexpr Time stop = 1000 * sec;

} // namespace

TEST_CASE("before a stop nothing ends and no timeout is cut") {
    GracefulShutdown shutdown;
    CHECK(!shutdown.started());
    CHECK(!shutdown.closes_after_responses(stop));
    CHECK(!shutdown.closes_idle_connections(stop));
    CHECK(!shutdown.past_deadline(stop));
    CHECK(shutdown.limit_timeout(stop) == stop);
    CHECK(shutdown.next_due(stop) == std::numeric_limits<Time>::max());
}

// A process may be killed as soon as the longest client timeout and 0.7 s after the stop: what
// isn't answered 0.3 s before that may be lost.
TEST_CASE(
    "answers end connections, then idle ones end, then the process, before it may be killed") {
    GracefulShutdown shutdown;
    shutdown.start(stop, 1500 * ms);
    CHECK(!shutdown.closes_after_responses(stop + 1399 * ms));
    CHECK(shutdown.closes_after_responses(stop + 1400 * ms));
    CHECK(!shutdown.closes_idle_connections(stop + 1699 * ms));
    CHECK(shutdown.closes_idle_connections(stop + 1700 * ms));
    CHECK(!shutdown.past_deadline(stop + 1899 * ms));
    CHECK(shutdown.past_deadline(stop + 1900 * ms));
    CHECK(shutdown.limit_timeout(stop + 5 * sec) == stop + 1900 * ms);
    CHECK(shutdown.next_due(stop) == stop + 1400 * ms);
    CHECK(shutdown.next_due(stop + 1400 * ms) == stop + 1420 * ms);
}

TEST_CASE("a second stop changes nothing") {
    GracefulShutdown shutdown;
    shutdown.start(stop, 1500 * ms);
    shutdown.start(stop + 400 * ms, 1500 * ms);
    CHECK(shutdown.past_deadline(stop + 1900 * ms));
}

TEST_CASE(
    "of the longest client timeout 3 s count; connections that still arrive have their time") {
    GracefulShutdown longest;
    longest.start(stop, 60 * sec);
    CHECK(!longest.past_deadline(stop + 3399 * ms));
    CHECK(longest.past_deadline(stop + 3400 * ms));
    GracefulShutdown shortest;
    shortest.start(stop, 100 * ms);
    CHECK(!shortest.closes_after_responses(stop + 499 * ms));
    CHECK(shortest.closes_after_responses(stop + 500 * ms));
    CHECK(!shortest.past_deadline(stop + 999 * ms));
    CHECK(shortest.past_deadline(stop + 1000 * ms));
}
