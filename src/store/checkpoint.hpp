/// \file
/// Encodes the trees of an area: all extent maps, volumes and marks of a store, as one string.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "store/deduplication_marks.hpp"
#include "store/extent_map.hpp"

namespace knotvane::store {

/// A volume, a snapshot or a clone.
struct Volume {
    ExtentMap map;
    VolumeId source;                ///< Of a snapshot or a clone: the volume that was copied.
    bool is_copy = false;           ///< Whether it is a snapshot or a clone.
    bool is_frozen = false;         ///< Whether it is read-only.
    bool is_open = false;           ///< A snapshot that still receives late changes of its source.
    std::uint32_t epoch = 0;        ///< The epoch of changes that begin now.
    std::uint32_t sealed_epoch = 0; ///< A change of an earlier epoch would alter a sealed snapshot.
};
using Volumes = std::map<VolumeId, Volume>;

/// The decoded content of a checkpoint.
struct CheckpointContent {
    Volumes volumes;
    DeduplicationMarks marks;
};

std::string encode_checkpoint(const Volumes &volumes, const DeduplicationMarks &marks);

/// @param capacity the highest valid slot.
/// @throws StoreError if the bytes are truncated or a reference is invalid.
CheckpointContent decode_checkpoint(std::string_view bytes, std::uint64_t capacity);

} // namespace knotvane::store
