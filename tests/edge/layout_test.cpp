// The layout: every edge places alike, and overlapping writes share a key.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "edge/layout.hpp"

using namespace knotvane;
using namespace knotvane::edge;

TEST_SUITE("layout") {
    TEST_CASE("every edge places alike, and shards share evenly") {
        std::vector<ShardId> shards;
        for (int i = 0; i < 8; ++i)
            shards.emplace_back(i);
        Layout a(1 << 20, 1 << 16, shards), b(1 << 20, 1 << 16, {shards.rbegin(), shards.rend()});
        std::map<ShardId, int> count;
        for (std::uint64_t e = 0; e < 4000; ++e) {
            CHECK(a.shard_of(VolumeId{3}, e << 20) == b.shard_of(VolumeId{3}, e << 20));
            ++count[a.shard_of(VolumeId{3}, e << 20)];
        }
        for (auto &[s, n] : count)
            CHECK((n > 400 && n < 600));
    }
    TEST_CASE("writes that overlap have a piece with the same key") {
        CHECK(rc::check([](std::uint16_t a, std::uint16_t na, std::uint16_t b, std::uint16_t nb) {
            Layout l(1 << 20, 1 << 16, {ShardId{0}});
            auto keys = [&](std::uint64_t at, std::uint64_t n) {
                std::set<KeyId> out;
                for (; n > 0;) {
                    auto cut = l.split_length(at, n, true);
                    out.insert(l.key_of(VolumeId{1}, at));
                    at += cut, n -= cut;
                }
                return out;
            };
            std::uint64_t x = a * 512ull, nx = (na % 300 + 1) * 512ull, y = b % 1000 * 512ull,
                          ny = (nb % 300 + 1) * 512ull;
            if (x >= y + ny || y >= x + nx)
                return;
            auto one = keys(x, nx), two = keys(y, ny);
            RC_ASSERT(std::any_of(one.begin(), one.end(), [&](auto k) { return two.contains(k); }));
        }));
    }
}
