#include "store/journal.hpp"

#include <algorithm>

namespace knotvane::store {
namespace {

// A journal that is longer than 4 MiB and longer than twice the trees is replaced by a checkpoint.
// 4 MiB of journal are about a second of writes.
constexpr std::uint64_t max_journal_size = 4 << 20;
constexpr std::uint64_t max_journal_per_trees = 2;

// Bytes at the start of a range that are in the same chunk of a lane.
std::size_t bytes_in_chunk(std::uint64_t offset, std::size_t size) {
    return static_cast<std::size_t>(
        std::min<std::uint64_t>(size, lane_chunk_size - offset % lane_chunk_size));
}

} // namespace

std::string AreaStorage::read(AreaIndex area, std::uint64_t offset, std::size_t size) {
    std::string out(size, '\0');
    for (std::size_t done = 0; done < size;) {
        std::size_t count = bytes_in_chunk(offset, size - done);
        medium_.read(lane_position(area, offset), out.data() + done, count);
        offset += count;
        done += count;
    }
    return out;
}

void AreaStorage::write(AreaIndex area, std::uint64_t offset, std::string_view bytes) {
    while (!bytes.empty()) {
        std::size_t count = bytes_in_chunk(offset, bytes.size());
        medium_.write(lane_position(area, offset), bytes.substr(0, count));
        offset += count;
        bytes.remove_prefix(count);
    }
}

void Journal::reset() {
    area_ = area_count - 1;
    generation_ = 0;
    last_number_ = 0;
}

void Journal::begin(AreaIndex area, const AreaHeader &header) {
    area_ = area;
    generation_ = header.generation;
    last_number_ = header.last_record;
    begin_ = trees_offset + header.trees_size;
    end_ = begin_;
    flushed_end_ = begin_;
}

void Journal::append(RecordKind kind, std::string_view payload) {
    auto record = encode_record(generation_, last_number_ + 1, kind, payload);
    areas_.write(area_, end_, record);
    end_ += record.size();
    ++last_number_;
}

std::vector<JournalRecord> Journal::read_records() {
    std::vector<JournalRecord> records;
    std::uint64_t offset = begin_;
    for (std::uint64_t number = last_number_ + 1;; ++number) {
        auto header = decode_record_header(areas_.read(area_, offset, record_header_size));
        if (header.number != number || header.size > max_record_size)
            break;
        auto payload = areas_.read(area_, offset + record_header_size, header.size);
        if (!matches_checksum(header, generation_, payload))
            break;
        offset += record_header_size + header.size;
        records.push_back({header.kind, std::move(payload), offset});
    }
    return records;
}

void Journal::accept(const JournalRecord &record) {
    end_ = record.end;
    ++last_number_;
}

void Journal::erase_unflushed() {
    // Reading stops at the first unreadable record, so it is enough to erase that one.
    areas_.write(area_, flushed_end_, std::string(record_header_size, '\0'));
}

bool Journal::needs_checkpoint() const {
    return end_ - begin_ >
           std::max(max_journal_size, max_journal_per_trees * (begin_ - trees_offset));
}

} // namespace knotvane::store
