/// \file
/// Maps a volume's bytes to shards: a volume consists of extents of one size, and rendezvous
/// hashing picks the shard of each, with the same result at every edge that has the same settings.
/// Also determines where a client's request is split.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

/// Hashes two numbers into one that is spread over all 64 bits.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// Placement of volumes on the shards of one edge's settings.
class Layout {
public:
    /// @param extent_bytes a multiple of span_bytes.
    /// @param shards must not be empty.
    Layout(std::uint64_t extent_bytes, std::uint64_t span_bytes, std::vector<ShardId> shards);

    /// The shard that stores a byte of a volume.
    ShardId shard_of(VolumeId volume, std::uint64_t offset);
    /// The key of the span that contains a byte, never no_key. Writes are split at span boundaries,
    /// so any two writes that overlap have a key in common, and ordering requests by key
    /// serializes them.
    KeyId key_of(VolumeId volume, std::uint64_t offset) const;
    /// The index within the volume of the span that contains a byte.
    std::size_t span_of(std::uint64_t offset) const {
        return static_cast<std::size_t>(offset / span_bytes_);
    }
    /// How many bytes from the start of a range go into one scheduled request.
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
