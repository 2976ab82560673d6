/// \file
/// Where a volume's bytes are placed: extents of one size, each on the shard that rendezvous
/// hashing picks, the same at every edge that has the same settings. Also how a client's request is
/// split.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

/// Two numbers as one, spread over all 64 bits.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

class Layout {
public:
    /// @param extent_bytes a multiple of span_bytes.
    /// @param shards must not be empty.
    Layout(std::uint64_t extent_bytes, std::uint64_t span_bytes, std::vector<ShardId> shards);

    ShardId shard_of(VolumeId volume, std::uint64_t offset);
    /// The key of the span that a byte is in, never no_key. Writes are split at spans, so two that
    /// overlap have a key in common, equal ranges or not: order by key then keeps them apart.
    KeyId key_of(VolumeId volume, std::uint64_t offset) const;
    std::size_t span_of(std::uint64_t offset) const {
        return static_cast<std::size_t>(offset / span_bytes_);
    }
    /// How many bytes of a range, from its start, go into one scheduled request.
    /// @param is_change splits at spans instead of extents.
    std::uint32_t split_length(std::uint64_t offset, std::uint64_t length, bool is_change) const;
    const std::vector<ShardId> &shards() const { return shards_; }

private:
    std::uint64_t extent_bytes_;
    std::uint64_t span_bytes_;
    std::vector<ShardId> shards_;
    std::map<VolumeId, std::vector<ShardId>> cache_; // by extent
};

} // namespace knotvane::edge
