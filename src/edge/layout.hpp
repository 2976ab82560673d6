// Where a volume's bytes lie: extents of one size, each on the shard that rendezvous hashing picks,
// the same at every edge that has the same settings. Also how a request is cut into tasks.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::edge {

// Two numbers as one, spread over all 64 bits.
std::uint64_t mix(std::uint64_t a, std::uint64_t b);

class Layout {
public:
    // `extent`, `span`: bytes; a span divides an extent. `shards` must not be empty.
    Layout(std::uint64_t extent, std::uint64_t span, std::vector<ShardId> shards);
    ShardId shard_of(VolumeId volume, std::uint64_t offset);
    // The key of the span that a byte lies in, never no_key. Writes are cut at spans, so two that
    // overlap have a key in common, equal ranges or not: order by key then keeps them apart.
    KeyId key_of(VolumeId volume, std::uint64_t offset) const;
    std::size_t span_of(std::uint64_t offset) const {
        return static_cast<std::size_t>(offset / span_);
    }
    // How many bytes of a range, from its start, go into one task.
    std::uint32_t cut(std::uint64_t offset, std::uint64_t length, bool writes) const;
    const std::vector<ShardId> &shards() const { return shards_; }

private:
    std::uint64_t extent_, span_;
    std::vector<ShardId> shards_;
    std::map<VolumeId, std::vector<ShardId>> known_;
};

} // namespace knotvane::edge
