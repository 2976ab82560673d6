#include "scheduling/quota_share.hpp"

#include <doctest/doctest.h>

#include <limits>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the share is the limit over the sharers and starts empty") {
    QuotaShare share(10, 20, 0);
    CHECK(share.try_take(0, 1, 2) == QuotaDecision::wait);
    CHECK(share.try_take(sec, 5, 2) == QuotaDecision::admitted);
    CHECK(share.try_take(sec, 1, 2) == QuotaDecision::wait);
}

// Requests that have passed the limit may wait at a full node. If the bucket refilled to its burst
// meanwhile, two bursts would be sent when the node is free again.
TEST_CASE("units that are taken but not sent keep the share from refilling past its burst") {
    QuotaShare share(10, 20, 0);
    CHECK(share.try_take(10 * sec, 10, 2) == QuotaDecision::admitted);
    CHECK(share.try_take(20 * sec, 1, 2) == QuotaDecision::wait);
    share.units_sent(10);
    CHECK(share.try_take(30 * sec, 10, 2) == QuotaDecision::admitted);
}

TEST_CASE("a granted share may grow again, and fills at the smaller share until then") {
    QuotaShare share(10, 20, 0);
    share.grant(0, 2);
    // The planner's grant counts, not what the client knows.
    CHECK(share.try_take(sec, 5, 7) == QuotaDecision::admitted);
    share.units_sent(5);
    share.grant(2 * sec, 4); // 2.5 units came in, as at the smaller share
    share.grant(3 * sec, 1); // and 2.5
    CHECK(share.try_take(3 * sec, 5.1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(3 * sec, 5, 1) == QuotaDecision::admitted);
    share.units_sent(5);
    CHECK(share.try_take(4 * sec, 10, 1) == QuotaDecision::admitted);
}

TEST_CASE("a share that isn't granted yet is waited for; nothing comes in before the grant") {
    QuotaShare share(0, 0, 0);
    share.grant(0, std::numeric_limits<double>::infinity());
    share.set_limit(5 * sec, 10, 20);
    CHECK(share.try_take(6 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(6 * sec, 1000, 1) == QuotaDecision::wait); // whatever it asks for
    share.grant(7 * sec, 2);
    CHECK(share.try_take(7 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.try_take(8 * sec, 5, 1) == QuotaDecision::admitted);
    CHECK(share.try_take(8 * sec, 11, 1) == QuotaDecision::never_fits); // burst over sharers: 10
}

} // namespace
} // namespace knotvane::scheduling
