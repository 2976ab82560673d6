// The layout: every edge places extents on the same shards, and overlapping writes share a key.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "edge/layout.hpp"

using namespace knotvane;
using namespace knotvane::edge;

TEST_SUITE("layout") {
    TEST_CASE(
        "edges with the same shards in any order place extents alike, and evenly over the shards") {
        std::vector<ShardId> shards;
        shards.reserve(8);
        for (int i = 0; i < 8; ++i)
            shards.emplace_back(i);
        Layout layout(1 << 20, 1 << 16, shards),
            reversed_layout(1 << 20, 1 << 16, {shards.rbegin(), shards.rend()});
        std::map<ShardId, int> extent_counts;
        for (std::uint64_t extent = 0; extent < 4000; ++extent) {
            CHECK(layout.shard_of(VolumeId{3}, extent << 20) ==
                  reversed_layout.shard_of(VolumeId{3}, extent << 20));
            ++extent_counts[layout.shard_of(VolumeId{3}, extent << 20)];
        }
        for (auto &[shard, extents] : extent_counts)
            CHECK((extents > 400 && extents < 600));
    }
    TEST_CASE("two writes that overlap have parts with the same key") {
        CHECK(rc::check([](std::uint16_t first_block, std::uint16_t first_blocks,
                           std::uint16_t second_block, std::uint16_t second_blocks) {
            Layout layout(1 << 20, 1 << 16, {ShardId{0}});
            auto keys_of = [&](std::uint64_t offset, std::uint64_t length) {
                std::set<KeyId> found;
                for (; length > 0;) {
                    auto part = layout.split_length(offset, length, true);
                    found.insert(layout.key_of(VolumeId{1}, offset));
                    offset += part, length -= part;
                }
                return found;
            };
            std::uint64_t first_offset = first_block * 512ull,
                          first_length = (first_blocks % 300 + 1) * 512ull,
                          second_offset = second_block % 1000 * 512ull,
                          second_length = (second_blocks % 300 + 1) * 512ull;
            if (first_offset >= second_offset + second_length ||
                second_offset >= first_offset + first_length)
                return;
            auto first_keys = keys_of(first_offset, first_length),
                 second_keys = keys_of(second_offset, second_length);
            RC_ASSERT(std::any_of(first_keys.begin(), first_keys.end(),
                                  [&](auto key) { return second_keys.contains(key); }));
        }));
    }
}
