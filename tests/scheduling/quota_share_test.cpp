#include "scheduling/quota_share.hpp"

#include <doctest/doctest.h>

#include <limits>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the share is the limit divided by the number of sharers and starts empty") {
    QuotaShare share(10, 20, 0);
    CHECK(share.try_take(0, 1, 2) == QuotaDecision::wait);
    CHECK(share.try_take(sec, 5, 2) == QuotaDecision::admitted);
    CHECK(share.try_take(sec, 1, 2) == QuotaDecision::wait);
}

// Requests that were admitted under the limit may wait for a node at capacity. If the bucket filled
// up to its burst meanwhile, two bursts would be sent once the node has capacity again.
TEST_CASE("units that are taken but not sent count against the burst of the share") {
    QuotaShare share(10, 20, 0);
    CHECK(share.try_take(10 * sec, 10, 2) == QuotaDecision::admitted);
    CHECK(share.try_take(20 * sec, 1, 2) == QuotaDecision::wait);
    share.units_sent(10);
    CHECK(share.try_take(30 * sec, 10, 2) == QuotaDecision::admitted);
}

TEST_CASE("a granted share may grow; the time before the grant counts at the smaller share") {
    QuotaShare share(10, 20, 0);
    share.grant(0, 2);
    // The planner's grant is used, not the client's number of sharers (7).
    CHECK(share.try_take(sec, 5, 7) == QuotaDecision::admitted);
    share.units_sent(5);
    share.grant(2 * sec, 4); // 2.5 units were added, at the smaller share
    share.grant(3 * sec, 1); // another 2.5 units were added
    CHECK(share.try_take(3 * sec, 5.1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(3 * sec, 5, 1) == QuotaDecision::admitted);
    share.units_sent(5);
    CHECK(share.try_take(4 * sec, 10, 1) == QuotaDecision::admitted);
}

TEST_CASE("requests wait for a share that isn't granted yet, and no units are added before") {
    QuotaShare share(0, 0, 0);
    share.grant(0, std::numeric_limits<double>::infinity());
    share.set_limit(5 * sec, 10, 20);
    CHECK(share.try_take(6 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(6 * sec, 1000, 1) == QuotaDecision::wait); // even if larger than the burst
    share.grant(7 * sec, 2);
    CHECK(share.try_take(7 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(8 * sec, 5, 1) == QuotaDecision::admitted);
    CHECK(share.try_take(8 * sec, 11, 1) == QuotaDecision::never_fits); // the share's burst is 10
}

} // namespace
} // namespace knotvane::scheduling
