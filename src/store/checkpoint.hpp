/// \file
/// The trees of an area: all extent maps, volumes and marks of a store in one string of bytes.
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
    VolumeId source;                ///< Of a snapshot or a clone: what it is a copy of.
    bool is_copy = false;           ///< It is a snapshot or a clone.
    bool is_frozen = false;         ///< It can't be written.
    bool is_open = false;           ///< A snapshot that late changes of its source still go into.
    std::uint32_t epoch = 0;        ///< Of the changes that begin now.
    std::uint32_t sealed_epoch = 0; ///< Changes of an earlier one would alter a sealed snapshot.
};
using Volumes = std::map<VolumeId, Volume>;

/// What a checkpoint holds.
struct CheckpointContent {
    Volumes volumes;
    DeduplicationMarks marks;
};

std::string encode_checkpoint(const Volumes &volumes, const DeduplicationMarks &marks);

/// @param capacity the highest slot that may be named.
/// @throws StoreError if a reference does not hold.
CheckpointContent decode_checkpoint(std::string_view bytes, std::uint64_t capacity);

} // namespace knotvane::store
