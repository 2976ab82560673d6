// Opening a store: loads the trees of the active area, then replays the journal that follows them.
#include <algorithm>
#include <array>

#include "node_protocol/crc.hpp"
#include "store/store.hpp"

namespace knotvane::store {

void Store::open() {
    reset();
    auto header = begin_newest_area();
    if (header) {
        load_trees(*header);
        replay_journal();
        recount();
    }
    // Every opening starts a new generation. Valid records of the old generation may follow a lost
    // record, and they would be replayed later if a new record of the same length took the lost
    // one's place.
    write_checkpoint();
}

void Store::reset() {
    volumes_.clear();
    marks_.clear();
    maps_.reset();
    journal_.reset();
    incarnation_ = 1;
    has_failed_ = false;
    has_unflushed_ = false;
}

// Makes the area with the highest generation active, out of those whose header matches its
// checksum.
// @return its header; nothing if the medium is blank.
std::optional<AreaHeader> Store::begin_newest_area() {
    std::optional<AreaHeader> newest;
    bool is_blank = true;
    for (AreaIndex area = 0; area < area_count; ++area) {
        auto read = decode_header(journal_.areas().read(area, 0, area_header_size));
        is_blank = is_blank && read.is_blank;
        if (!read.header || read.header->generation <= (newest ? newest->generation : 0))
            continue;
        newest = read.header;
        journal_.begin(area, *newest);
    }
    if (!newest && !is_blank)
        throw StoreError(StoreError::Kind::corruption,
                         "store: no area header matches its checksum");
    return newest;
}

void Store::load_trees(const AreaHeader &header) {
    auto trees = journal_.areas().read(journal_.area(), trees_offset, header.trees_size);
    if (crc32c(trees) != header.trees_crc)
        throw StoreError(StoreError::Kind::corruption,
                         "store: the trees of the active area do not match their checksum");
    auto content = decode_checkpoint(trees, capacity());
    volumes_ = std::move(content.volumes);
    marks_ = std::move(content.marks);
    incarnation_ = header.incarnation;
    recount();
}

void Store::replay_journal() {
    auto records = journal_.read_records();
    // Found first, because records after the last flush are valid only if the blocks they refer to
    // match their checksums.
    auto last_flushed = std::find_if(records.rbegin(), records.rend(), [](const auto &record) {
        return record.kind == RecordKind::flushed;
    });
    auto durable_count = static_cast<std::size_t>(records.rend() - last_flushed);

    for (std::size_t i = 0; i < records.size(); ++i) {
        bool is_durable = i < durable_count;
        if (!replay(records[i], is_durable))
            break; // the records after it depend on it and are discarded
        journal_.accept(records[i]);
        if (is_durable)
            journal_.mark_flushed();
    }

    // Records after the last flush may be lost without a trace. The new incarnation tells the edges
    // that acknowledged changes may be gone. Only a store that was closed has certainly lost
    // nothing.
    if (records.empty() || records.back().kind != RecordKind::closed)
        ++incarnation_;
}

// Applies a record.
// @return false if the record is not valid.
bool Store::replay(const JournalRecord &record, bool is_durable) {
    switch (record.kind) {
    case RecordKind::write:
        return replay_write(record, is_durable);
    case RecordKind::copy:
    case RecordKind::open_snapshot:
        apply_copy(decode_copy(record.kind, record.payload));
        break;
    case RecordKind::seal_snapshot:
        apply_seal(decode_volume(record.payload));
        break;
    case RecordKind::drop:
        apply_drop(decode_volume(record.payload));
        break;
    case RecordKind::mark: {
        std::string_view payload = record.payload;
        MarkRecord mark = consume_mark(payload);
        marks_.add(mark.mark, mark.not_after);
        break;
    }
    case RecordKind::flushed:
    case RecordKind::closed:
        break;
    }
    return true;
}

bool Store::replay_write(const JournalRecord &record, bool is_durable) {
    BlockChanges changes = decode_changes(record.payload, capacity());
    if (!is_durable) {
        // After a power failure the record may be on the medium without all of its blocks.
        std::array<char, block_size> buffer;
        for (const auto &[volume, blocks] : changes)
            for (const BlockChange &change : blocks)
                if (!load_block(change.ref, buffer.data()))
                    return false;
    }
    apply(changes);
    return true;
}

void Store::recount() {
    std::vector<const ExtentMap *> maps;
    maps.reserve(volumes_.size());
    for (const auto &[id, volume] : volumes_)
        maps.push_back(&volume.map);
    maps_.recount(maps);
}

} // namespace knotvane::store
