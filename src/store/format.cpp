#include "store/format.hpp"

#include "node_protocol/crc.hpp"

namespace knotvane::store {
namespace {

constexpr std::uint64_t area_magic = 0x33726f7473766e6b;
// Bytes of a header that its checksum covers: all that precede the checksum.
constexpr std::size_t checked_header_size = 44;
constexpr std::size_t record_padding = 3;

std::uint32_t record_crc(std::uint64_t generation, std::uint64_t number, RecordKind kind,
                         std::string_view payload) {
    std::string covered;
    append_value(covered, generation);
    append_value(covered, number);
    append_value(covered, static_cast<std::uint8_t>(kind));
    covered += payload;
    return crc32c(covered);
}

} // namespace

std::string encode_header(const AreaHeader &header) {
    std::string out;
    append_value(out, area_magic);
    append_value(out, header.generation);
    append_value(out, header.incarnation);
    append_value(out, header.trees_size);
    append_value(out, header.last_record);
    append_value(out, header.trees_crc);
    append_value(out, crc32c(out));
    return out;
}

DecodedHeader decode_header(std::string_view bytes) {
    std::uint32_t expected_crc = crc32c(bytes.substr(0, checked_header_size));
    AreaHeader header;
    auto magic = consume_value<std::uint64_t>(bytes);
    header.generation = consume_value<std::uint64_t>(bytes);
    header.incarnation = consume_value<std::uint64_t>(bytes);
    header.trees_size = consume_value<std::uint64_t>(bytes);
    header.last_record = consume_value<std::uint64_t>(bytes);
    header.trees_crc = consume_value<std::uint32_t>(bytes);

    DecodedHeader out;
    out.is_blank = magic == 0;
    if (magic == area_magic && consume_value<std::uint32_t>(bytes) == expected_crc)
        out.header = header;
    return out;
}

std::string encode_record(std::uint64_t generation, std::uint64_t number, RecordKind kind,
                          std::string_view payload) {
    std::string out;
    append_value(out, record_crc(generation, number, kind, payload));
    append_value(out, static_cast<std::uint32_t>(payload.size()));
    append_value(out, number);
    append_value(out, static_cast<std::uint8_t>(kind));
    out.append(record_padding, '\0');
    out += payload;
    return out;
}

RecordHeader decode_record_header(std::string_view bytes) {
    RecordHeader header;
    header.crc = consume_value<std::uint32_t>(bytes);
    header.size = consume_value<std::uint32_t>(bytes);
    header.number = consume_value<std::uint64_t>(bytes);
    header.kind = static_cast<RecordKind>(consume_value<std::uint8_t>(bytes));
    return header;
}

bool matches_checksum(const RecordHeader &header, std::uint64_t generation,
                      std::string_view payload) {
    return record_crc(generation, header.number, header.kind, payload) == header.crc;
}

std::string encode_changes(const BlockChanges &changes) {
    std::string out;
    for (const auto &[volume, blocks] : changes) {
        append_value(out, volume.value);
        append_value(out, static_cast<std::uint32_t>(blocks.size()));
        for (const BlockChange &change : blocks) {
            append_value(out, change.block);
            append_value(out, change.ref.slot);
            append_value(out, change.ref.crc);
        }
    }
    return out;
}

BlockChanges decode_changes(std::string_view payload, std::uint64_t capacity) {
    BlockChanges changes;
    while (!payload.empty()) {
        auto &blocks = changes[VolumeId{consume_value<std::uint64_t>(payload)}];
        for (auto count = consume_value<std::uint32_t>(payload); count > 0; --count) {
            BlockChange change;
            change.block = consume_value<std::uint64_t>(payload);
            change.ref.slot = consume_value<Slot>(payload);
            change.ref.crc = consume_value<std::uint32_t>(payload);
            if (change.ref.slot > capacity)
                throw StoreError(StoreError::Kind::corruption,
                                 "store: a record refers to a block beyond the store's capacity");
            blocks.push_back(change);
        }
    }
    return changes;
}

std::string encode_copy(const CopyRecord &record) {
    std::string out;
    append_value(out, record.source.value);
    append_value(out, record.copy.value);
    append_value(out, static_cast<std::uint8_t>(record.is_frozen));
    if (record.is_open)
        append_value(out, record.epoch);
    return out;
}

CopyRecord decode_copy(RecordKind kind, std::string_view payload) {
    CopyRecord record;
    record.source = VolumeId{consume_value<std::uint64_t>(payload)};
    record.copy = VolumeId{consume_value<std::uint64_t>(payload)};
    record.is_frozen = consume_value<std::uint8_t>(payload) != 0;
    record.is_open = kind == RecordKind::open_snapshot;
    if (record.is_open) {
        record.is_frozen = false;
        record.epoch = consume_value<std::uint32_t>(payload);
    }
    return record;
}

std::string encode_volume(VolumeId volume) {
    std::string out;
    append_value(out, volume.value);
    return out;
}

VolumeId decode_volume(std::string_view payload) {
    return VolumeId{consume_value<std::uint64_t>(payload)};
}

std::string encode_mark(const MarkRecord &record) {
    std::string out;
    append_value(out, record.mark.incarnation);
    append_value(out, record.mark.request_number);
    append_value(out, record.not_after);
    return out;
}

MarkRecord consume_mark(std::string_view &from) {
    MarkRecord record;
    record.mark.incarnation = consume_value<std::uint64_t>(from);
    record.mark.request_number = consume_value<std::uint64_t>(from);
    record.not_after = consume_value<Time>(from);
    return record;
}

} // namespace knotvane::store
