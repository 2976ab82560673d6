#include "edge/layout.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace knotvane::edge {

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) {
    std::array<std::uint64_t, 2> both{first, second};
    return XXH3_64bits(both.data(), sizeof both);
}

Layout::Layout(std::uint64_t extent_bytes, std::uint64_t span_bytes, std::vector<ShardId> shards)
    : extent_bytes_(extent_bytes), span_bytes_(span_bytes), shards_(std::move(shards)) {}

ShardId Layout::shard_of(VolumeId volume, std::uint64_t offset) {
    auto extent = offset / extent_bytes_;
    auto &cached = cache_[volume];
    if (extent >= cached.size())
        cached.resize(extent + 1, no_shard);
    auto &chosen = cached[extent];
    if (chosen != no_shard)
        return chosen;

    std::uint64_t best_weight = 0;
    for (auto shard : shards_) {
        std::array<std::uint64_t, 3> seed{volume.value, extent,
                                          static_cast<std::uint64_t>(shard.value)};
        auto weight = XXH3_64bits(seed.data(), sizeof seed);
        if (chosen == no_shard || weight > best_weight) {
            best_weight = weight;
            chosen = shard;
        }
    }
    return chosen;
}

KeyId Layout::key_of(VolumeId volume, std::uint64_t offset) const {
    return KeyId{hash_pair(volume.value, offset / span_bytes_) | 1};
}

std::uint32_t Layout::split_length(std::uint64_t offset, std::uint64_t length,
                                   bool is_change) const {
    auto boundary = is_change ? span_bytes_ : extent_bytes_;
    return static_cast<std::uint32_t>(std::min(length, boundary - offset % boundary));
}

} // namespace knotvane::edge
