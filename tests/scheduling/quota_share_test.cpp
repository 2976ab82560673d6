#include "scheduling/quota_share.hpp"

#include <doctest/doctest.h>

#include <limits>

namespace knotvane::scheduling {
namespace {

TEST_CASE("the share is the limit over the sharers and starts empty") {
    QuotaShare share(10, 20, 0);
    CHECK(share.take(0, 1, 2) == QuotaDecision::wait);
    CHECK(share.take(sec, 5, 2) == QuotaDecision::admitted);
    CHECK(share.take(sec, 1, 2) == QuotaDecision::wait);
}

// Requests that have passed the limit may wait at a full node. If the bucket refilled to its burst
// meanwhile, two bursts would be sent when the node is free again.
TEST_CASE("units that are taken but not sent keep the share from refilling past its burst") {
    QuotaShare share(10, 20, 0);
    CHECK(share.take(10 * sec, 10, 2) == QuotaDecision::admitted);
    CHECK(share.take(20 * sec, 1, 2) == QuotaDecision::wait);
    share.sent(10);
    CHECK(share.take(30 * sec, 10, 2) == QuotaDecision::admitted);
}

TEST_CASE("a granted share may grow again, and fills at the smaller share until then") {
    QuotaShare share(10, 20, 0);
    share.grant(0, 2);
    // The planner's grant counts, not what the client knows.
    CHECK(share.take(sec, 5, 7) == QuotaDecision::admitted);
    share.sent(5);
    share.grant(2 * sec, 4); // 2.5 units came in, as at the smaller share
    share.grant(3 * sec, 1); // and 2.5
    CHECK(share.take(3 * sec, 5.1, 1) == QuotaDecision::wait);
    CHECK(share.take(3 * sec, 5, 1) == QuotaDecision::admitted);
    share.sent(5);
    CHECK(share.take(4 * sec, 10, 1) == QuotaDecision::admitted);
}

TEST_CASE("a share that isn't granted yet is waited for; nothing comes in before the grant") {
    QuotaShare share(0, 0, 0);
    share.grant(0, std::numeric_limits<double>::infinity());
    share.set_limit(5 * sec, 10, 20);
    CHECK(share.take(6 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.take(6 * sec, 1000, 1) == QuotaDecision::wait); // whatever it asks for
    share.grant(7 * sec, 2);
    CHECK(share.take(7 * sec, 1, 1) == QuotaDecision::wait);
    CHECK(share.take(8 * sec, 5, 1) == QuotaDecision::admitted);
    CHECK(share.take(8 * sec, 11, 1) == QuotaDecision::never_fits); // burst over sharers: 10
}

} // namespace
} // namespace knotvane::scheduling
