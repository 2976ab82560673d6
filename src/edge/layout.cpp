#include "edge/layout.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace knotvane::edge {

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::array<std::uint64_t, 2> both{a, b};
    return XXH3_64bits(both.data(), sizeof both);
}

Layout::Layout(std::uint64_t extent, std::uint64_t span, std::vector<ShardId> shards)
    : extent_(extent), span_(span), shards_(std::move(shards)) {}

ShardId Layout::shard_of(VolumeId volume, std::uint64_t offset) {
    auto extent = offset / extent_;
    auto &known = known_[volume];
    if (extent >= known.size())
        known.resize(extent + 1, no_shard);
    if (known[extent] == no_shard) {
        std::uint64_t best = 0;
        for (auto shard : shards_) {
            std::array<std::uint64_t, 3> seed{volume.value, extent,
                                              static_cast<std::uint64_t>(shard.value)};
            auto h = XXH3_64bits(seed.data(), sizeof seed);
            if (known[extent] == no_shard || h > best)
                best = h, known[extent] = shard;
        }
    }
    return known[extent];
}

KeyId Layout::key_of(VolumeId volume, std::uint64_t offset) const {
    return KeyId{mix(volume.value, offset / span_) | 1};
}

std::uint32_t Layout::cut(std::uint64_t offset, std::uint64_t length, bool writes) const {
    auto by = writes ? span_ : extent_;
    return static_cast<std::uint32_t>(std::min(length, by - offset % by));
}

} // namespace knotvane::edge
