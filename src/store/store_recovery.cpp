// How a store is opened: the trees of the area that counts, and then the journal behind them.
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
    // Always a generation of its own. Behind a record that was lost there may be others of the old
    // one, and they would count again once a record of the same length stands in the lost one's
    // place.
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

// Goes on in the area of the highest generation whose header matches its checksum.
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
        throw StoreError(StoreError::Kind::damage, "store: the header does not match its checksum");
    return newest;
}

void Store::load_trees(const AreaHeader &header) {
    auto trees = journal_.areas().read(journal_.area(), trees_offset, header.trees_size);
    if (crc32c(trees) != header.trees_crc)
        throw StoreError(StoreError::Kind::damage, "store: its trees do not match their checksum");
    auto content = decode_checkpoint(trees, capacity());
    volumes_ = std::move(content.volumes);
    marks_ = std::move(content.marks);
    incarnation_ = header.incarnation;
    recount();
}

void Store::replay_journal() {
    auto records = journal_.read_records();
    // Known first: behind the last flush a record counts only with the blocks that it names.
    auto last_flushed = std::find_if(records.rbegin(), records.rend(), [](const auto &record) {
        return record.kind == RecordKind::flushed;
    });
    auto durable_count = static_cast<std::size_t>(records.rend() - last_flushed);

    for (std::size_t i = 0; i < records.size(); ++i) {
        bool is_durable = i < durable_count;
        if (!replay(records[i], is_durable))
            break; // nothing counts behind it
        journal_.accept(records[i]);
        if (is_durable)
            journal_.mark_flushed();
    }

    // What came after the last flush may be gone without a trace, and who was answered must learn
    // of it. Only a store that was closed had nothing left to lose.
    if (records.empty() || records.back().kind != RecordKind::closed)
        ++incarnation_;
}

// Does what a record tells.
// @return false if the record does not count.
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
        MarkRecord mark = take_mark(payload);
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
        // The power may have failed when the record was there and a block of it was not.
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
