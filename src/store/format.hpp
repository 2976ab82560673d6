/// \file
/// The layout of a store's headers, records and blocks on the medium (docs/store-format.md). This
/// file only encodes and decodes. All integers are little-endian; all positions and sizes are in
/// bytes.
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

/// The medium interleaves three lanes in chunks of `lane_chunk_size` bytes: lanes 0 and 1 are the
/// two areas, one of which is active, and lane 2 holds the blocks. Each lane can grow without
/// limit; where a lane is shorter than the others, the file is sparse.
inline constexpr std::uint64_t lane_count = 3;
inline constexpr std::uint64_t block_lane = 2;
inline constexpr std::uint64_t lane_chunk_size = 64 << 10;

/// Offset of the trees in an area; the area's header is before them.
inline constexpr std::uint64_t trees_offset = block_size;
/// Bytes that are read to decode an area's header.
inline constexpr std::size_t area_header_size = 64;
inline constexpr std::size_t record_header_size = 20;
/// Maximum payload size of a record. A larger size in a record's header means that there is no
/// valid record.
inline constexpr std::uint32_t max_record_size = 64U << 20;

/// @return the position on the medium of the byte at `offset` in a lane.
constexpr std::uint64_t lane_position(std::uint64_t lane, std::uint64_t offset) {
    return (offset / lane_chunk_size * lane_count + lane) * lane_chunk_size +
           offset % lane_chunk_size;
}

/// @return the position on the medium of a block. `slot` must not be no_slot.
constexpr std::uint64_t block_position(Slot slot) {
    return lane_position(block_lane, std::uint64_t{slot - 1} * block_size);
}

/// Appends the bytes of an integer.
template <class T>
void append_value(std::string &to, T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    to.append(raw, sizeof value);
}

/// Decodes an integer from the front of `from` and removes its bytes.
/// @throws StoreError if `from` is shorter than the integer.
template <class T>
T consume_value(std::string_view &from) {
    T value;
    if (from.size() < sizeof value)
        throw StoreError(StoreError::Kind::corruption, "store: a record is truncated");
    std::memcpy(&value, from.data(), sizeof value);
    from.remove_prefix(sizeof value);
    return value;
}

/// The header of an area. It commits the trees that follow it.
struct AreaHeader {
    std::uint64_t generation = 0; ///< Counts from 1; the area with the highest one is active.
    std::uint64_t incarnation = 0;
    std::uint64_t trees_size = 0;
    std::uint64_t last_record = 0; ///< The number of the last record that the trees contain.
    std::uint32_t trees_crc = 0;
};

std::string encode_header(const AreaHeader &header);

/// The result of decoding an area's header.
struct DecodedHeader {
    bool is_blank = false;            ///< No header was ever written there.
    std::optional<AreaHeader> header; ///< Set if the header matches its checksum.
};
/// @param bytes at least area_header_size bytes.
DecodedHeader decode_header(std::string_view bytes);

/// The kind of a journal record. The values are stored on the medium.
enum class RecordKind : std::uint8_t {
    write = 1,         ///< Blocks of one or more volumes were changed.
    copy = 2,          ///< A snapshot or a clone was created.
    drop = 3,          ///< A volume was dropped.
    mark = 4,          ///< A deduplicated change was applied.
    flushed = 5,       ///< All records before this one are durable.
    closed = 6,        ///< The store was closed with all changes durable.
    open_snapshot = 7, ///< A snapshot was opened; late changes are still written to it.
    seal_snapshot = 8, ///< An open snapshot was sealed.
};

/// The header of a journal record.
struct RecordHeader {
    std::uint32_t crc = 0;
    std::uint32_t size = 0; ///< Size of the payload.
    std::uint64_t number = 0;
    RecordKind kind = RecordKind::write;
};

/// @param generation that of the area. The checksum covers it, so a record left over from another
///     generation does not match.
/// @param number one more than that of the previous record.
std::string encode_record(std::uint64_t generation, std::uint64_t number, RecordKind kind,
                          std::string_view payload);
/// @param bytes at least record_header_size bytes.
RecordHeader decode_record_header(std::string_view bytes);
/// Whether a record matches its checksum and was written in this generation.
bool matches_checksum(const RecordHeader &header, std::uint64_t generation,
                      std::string_view payload);

/// The new location of one block of a volume.
struct BlockChange {
    std::uint64_t block = 0;
    BlockRef ref;
};
/// The block changes of one write, by volume.
using BlockChanges = std::map<VolumeId, std::vector<BlockChange>>;

std::string encode_changes(const BlockChanges &changes);
/// @param capacity the highest valid slot.
/// @throws StoreError if the payload is truncated or refers to a higher slot. The decoders below
///     throw if their input is truncated.
BlockChanges decode_changes(std::string_view payload, std::uint64_t capacity);

/// The creation of a snapshot or a clone.
struct CopyRecord {
    VolumeId source;
    VolumeId copy;
    bool is_frozen = false;  ///< Read-only: a snapshot.
    bool is_open = false;    ///< Late changes of the source are written to it until it is sealed.
    std::uint32_t epoch = 0; ///< If open: the epoch of the source's changes from now on.
};

/// Encodes the payload; `is_open` determines the record's kind.
std::string encode_copy(const CopyRecord &record);
CopyRecord decode_copy(RecordKind kind, std::string_view payload);

/// The payload of records that consist of one volume's id.
std::string encode_volume(VolumeId volume);
VolumeId decode_volume(std::string_view payload);

/// A mark, and the time until which it is remembered.
struct MarkRecord {
    DeduplicationMark mark;
    Time not_after = 0;
};

std::string encode_mark(const MarkRecord &record);
/// Decodes a mark from the front of `from` and removes its bytes.
MarkRecord consume_mark(std::string_view &from);

} // namespace knotvane::store
