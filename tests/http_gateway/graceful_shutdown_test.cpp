#include <limits>

#include <doctest/doctest.h>

#include "http_gateway/graceful_shutdown.hpp"

using namespace knotvane;
using http_gateway::GracefulShutdown;

namespace {

constexpr Time stopped_at = 1000 * sec;

} // namespace

TEST_CASE("before a stop, no connection is closed and no timeout is limited") {
    GracefulShutdown shutdown;
    CHECK(!shutdown.started());
    CHECK(!shutdown.closes_after_responses(stopped_at));
    CHECK(!shutdown.closes_idle_connections(stopped_at));
    CHECK(!shutdown.past_deadline(stopped_at));
    CHECK(shutdown.limit_timeout(stopped_at) == stopped_at);
    CHECK(shutdown.next_due(stopped_at) == std::numeric_limits<Time>::max());
}

// The process may be killed 0.7 s after the longest client timeout. The deadline is 0.3 s before
// that: responses that aren't sent by then may be lost.
TEST_CASE("connections are closed after responses, then idle ones, then the process exits, before "
          "it may be killed") {
    GracefulShutdown shutdown;
    shutdown.start(stopped_at, 1500 * ms);
    CHECK(!shutdown.closes_after_responses(stopped_at + 1399 * ms));
    CHECK(shutdown.closes_after_responses(stopped_at + 1400 * ms));
    CHECK(!shutdown.closes_idle_connections(stopped_at + 1699 * ms));
    CHECK(shutdown.closes_idle_connections(stopped_at + 1700 * ms));
    CHECK(!shutdown.past_deadline(stopped_at + 1899 * ms));
    CHECK(shutdown.past_deadline(stopped_at + 1900 * ms));
    CHECK(shutdown.limit_timeout(stopped_at + 5 * sec) == stopped_at + 1900 * ms);
    CHECK(shutdown.next_due(stopped_at) == stopped_at + 1400 * ms);
    CHECK(shutdown.next_due(stopped_at + 1400 * ms) == stopped_at + 1420 * ms);
}

TEST_CASE("a second stop has no effect") {
    GracefulShutdown shutdown;
    shutdown.start(stopped_at, 1500 * ms);
    shutdown.start(stopped_at + 400 * ms, 1500 * ms);
    CHECK(shutdown.past_deadline(stopped_at + 1900 * ms));
}

TEST_CASE("at most 3 s of the longest client timeout count, and closing after responses starts 0.5 "
          "s after the stop at the earliest") {
    GracefulShutdown longest;
    longest.start(stopped_at, 60 * sec);
    CHECK(!longest.past_deadline(stopped_at + 3399 * ms));
    CHECK(longest.past_deadline(stopped_at + 3400 * ms));
    GracefulShutdown shortest;
    shortest.start(stopped_at, 100 * ms);
    CHECK(!shortest.closes_after_responses(stopped_at + 499 * ms));
    CHECK(shortest.closes_after_responses(stopped_at + 500 * ms));
    CHECK(!shortest.past_deadline(stopped_at + 999 * ms));
    CHECK(shortest.past_deadline(stopped_at + 1000 * ms));
}
