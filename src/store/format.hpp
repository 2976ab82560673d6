/// \file
/// How a store's headers, records and blocks lie on the medium (docs/store-format.md). Only encodes
/// and decodes; all integers are little-endian, all positions and sizes bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "store/deduplication_marks.hpp"
#include "store/error.hpp"
#include "store/extent_map.hpp"

namespace knotvane::store {

/// The medium is three lanes, chunk by chunk in turn: two areas, of which one counts, and the
/// blocks. Each lane may grow for ever; a file is sparse where a lane is short.
inline constexpr std::uint64_t lane_count = 3;
inline constexpr std::uint64_t block_lane = 2;
inline constexpr std::uint64_t lane_chunk = 64 << 10;

/// Where an area's trees begin; its header is before them.
inline constexpr std::uint64_t trees_offset = block_size;
/// How much is read of an area's header.
inline constexpr std::size_t area_header_size = 64;
inline constexpr std::size_t record_header_size = 20;
/// A record that claims more is taken for no record.
inline constexpr std::uint32_t max_record_size = 64U << 20;

/// @return the medium's position of a lane's byte.
constexpr std::uint64_t lane_position(std::uint64_t lane, std::uint64_t offset) {
    return (offset / lane_chunk * lane_count + lane) * lane_chunk + offset % lane_chunk;
}

/// @return the medium's position of a block; `slot` is not no_slot.
constexpr std::uint64_t block_position(Slot slot) {
    return lane_position(block_lane, std::uint64_t{slot - 1} * block_size);
}

/// Appends an integer.
template <class T>
void append_value(std::string &to, T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    to.append(raw, sizeof value);
}

/// Takes an integer from the front.
/// @throws StoreError if fewer bytes are left than it has.
template <class T>
T take_value(std::string_view &from) {
    T value;
    if (from.size() < sizeof value)
        throw StoreError(StoreError::Kind::damage, "store: a record is cut short");
    std::memcpy(&value, from.data(), sizeof value);
    from.remove_prefix(sizeof value);
    return value;
}

/// The header of an area: it makes the trees behind it count.
struct AreaHeader {
    std::uint64_t generation = 0; ///< From 1; the highest one counts.
    std::uint64_t incarnation = 0;
    std::uint64_t trees_size = 0;
    std::uint64_t last_record = 0; ///< The number of the last record that the trees contain.
    std::uint32_t trees_crc = 0;
};

std::string encode_header(const AreaHeader &header);

/// What stands where an area's header would be.
struct ReadHeader {
    bool is_blank = false;            ///< Nothing was ever written.
    std::optional<AreaHeader> header; ///< If it matches its checksum.
};
/// @param bytes area_header_size of them.
ReadHeader decode_header(std::string_view bytes);

/// What a record of the journal tells. The values are those on the medium.
enum class RecordKind : std::uint8_t {
    write = 1,         ///< Blocks of one or more volumes changed.
    copy = 2,          ///< A snapshot or a clone was made.
    drop = 3,          ///< A volume was dropped.
    mark = 4,          ///< A deduplicated change was applied.
    flushed = 5,       ///< All before it is durable.
    closed = 6,        ///< Nothing was left to lose.
    open_snapshot = 7, ///< A snapshot was opened that late changes still go into.
    seal_snapshot = 8, ///< It was sealed.
};

/// A record's header.
struct RecordHeader {
    std::uint32_t crc = 0;
    std::uint32_t size = 0; ///< Of the payload.
    std::uint64_t number = 0;
    RecordKind kind = RecordKind::write;
};

/// @param generation of the area: a record of another one does not match its checksum.
/// @param number follows that of the record before.
std::string encode_record(std::uint64_t generation, std::uint64_t number, RecordKind kind,
                          std::string_view payload);
/// @param bytes record_header_size of them.
RecordHeader decode_record_header(std::string_view bytes);
/// Whether a record is what was written in this generation.
bool matches_checksum(const RecordHeader &header, std::uint64_t generation,
                      std::string_view payload);

/// Where a block of a volume is after a change.
struct BlockChange {
    std::uint64_t block = 0;
    BlockRef ref;
};
/// All of one change, by volume.
using BlockChanges = std::map<VolumeId, std::vector<BlockChange>>;

std::string encode_changes(const BlockChanges &changes);
/// @param capacity the highest slot that may be named.
/// @throws StoreError, as the decoders below.
BlockChanges decode_changes(std::string_view payload, std::uint64_t capacity);

/// A snapshot or a clone that is made.
struct CopyRecord {
    VolumeId source;
    VolumeId copy;
    bool is_frozen = false;  ///< It can't be written: a snapshot.
    bool is_open = false;    ///< Late changes of the source go into it until it is sealed.
    std::uint32_t epoch = 0; ///< Of an open one: that of the source's changes from here on.
};

/// The record's kind follows from `is_open`.
std::string encode_copy(const CopyRecord &record);
CopyRecord decode_copy(RecordKind kind, std::string_view payload);

/// The payload of records that tell of one volume.
std::string encode_volume(VolumeId volume);
VolumeId decode_volume(std::string_view payload);

/// A mark, and until when it is remembered.
struct MarkRecord {
    DeduplicationMark mark;
    Time not_after = 0;
};

std::string encode_mark(const MarkRecord &record);
/// Takes a mark from the front.
MarkRecord take_mark(std::string_view &from);

} // namespace knotvane::store
