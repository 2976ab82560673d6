#include "scheduling/quota_shares.hpp"

#include <doctest/doctest.h>

#include <limits>

namespace knotvane::scheduling {
namespace {

constexpr double rate = 10;
constexpr double burst = 20;
constexpr Time full_at = 10 * sec;

QuotaShare *find_or_add(QuotaShares &shares, Time now, std::uint64_t volume) {
    return shares.find_or_add(now, VolumeId{volume}, rate, burst, 0);
}

/// Adds shares of further volumes, each of which is full.
void add_full(QuotaShares &shares, Time now, std::uint64_t first, std::size_t count) {
    for (std::uint64_t i = 0; i < count; ++i)
        REQUIRE(find_or_add(shares, now, first + i));
}

// Guards against memory that grows with each volume that clients ever named (issue 48).
TEST_CASE("full shares of any number of volumes are added, and a used one keeps what is left of "
          "its burst") {
    QuotaShares shares;
    CHECK(find_or_add(shares, full_at, 1)->try_take(full_at, burst, 1) == QuotaDecision::admitted);
    shares.at(VolumeId{1}).units_sent(burst);
    add_full(shares, full_at, 2, 2 * QuotaShares::max_shares);
    CHECK(find_or_add(shares, full_at, 1)->try_take(full_at, 1, 1) == QuotaDecision::wait);
}

TEST_CASE("reserved units of a volume are still known after any number of others") {
    QuotaShares shares;
    CHECK(find_or_add(shares, full_at, 1)->try_take(full_at, 5, 1) == QuotaDecision::admitted);
    add_full(shares, full_at, 2, 2 * QuotaShares::max_shares);
    shares.at(VolumeId{1}).return_units(5);
    CHECK(find_or_add(shares, full_at, 1)->try_take(full_at, burst, 1) == QuotaDecision::admitted);
}

// If a share were forgotten before it is full again, its volume would get a second burst at once.
TEST_CASE("while no share is full, a further volume gets none, and one once some are full again") {
    QuotaShares shares;
    for (std::uint64_t volume = 0; volume < QuotaShares::max_shares; ++volume) {
        QuotaShare *share = find_or_add(shares, full_at, volume);
        REQUIRE(share);
        CHECK(share->try_take(full_at, burst, 1) == QuotaDecision::admitted);
        share->units_sent(burst);
    }
    CHECK(find_or_add(shares, full_at, QuotaShares::max_shares) == nullptr);
    CHECK(find_or_add(shares, 2 * full_at, QuotaShares::max_shares) != nullptr);
}

TEST_CASE("a share that a planner has granted is not forgotten") {
    QuotaShares shares;
    find_or_add(shares, full_at, 1)->grant(full_at, std::numeric_limits<double>::infinity());
    add_full(shares, full_at, 2, 2 * QuotaShares::max_shares);
    CHECK(find_or_add(shares, full_at, 1)->try_take(full_at, 1, 1) == QuotaDecision::wait);
}

} // namespace
} // namespace knotvane::scheduling
