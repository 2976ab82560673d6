#include "store/store.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "node_protocol/crc.hpp"

namespace knotvane::store {
namespace {

// Once more than this many released blocks (64 MiB) wait for a flush to become free, the store
// flushes on its own, as disks do.
constexpr std::size_t max_unflushed_releases = 16384;

// Number of flushes after which a released block is free.
constexpr int flushes_until_free = 2;

using BlockBuffer = std::array<char, block_size>;

// The part of a change that falls into one block.
struct BlockRange {
    std::uint64_t block = 0;
    std::uint32_t begin = 0;     // offset in the block, bytes
    std::uint32_t length = 0;    // bytes
    const char *bytes = nullptr; // null: zeroes

    bool is_whole() const { return length == block_size; }
    bool is_zero() const { return bytes == nullptr; }
};

} // namespace

// Writes the blocks of one change, each to a newly allocated block that no durable data refers to,
// and collects the block changes for the journal record. The destructor frees the allocated blocks
// unless commit was called.
class Store::ChangeBuilder {
public:
    ChangeBuilder(Store &store, const std::vector<VolumeId> &volumes)
        : store_(store), volumes_(volumes) {}
    ~ChangeBuilder() { store_.blocks_.free_unused(allocated_); }
    ChangeBuilder(const ChangeBuilder &) = delete;
    ChangeBuilder &operator=(const ChangeBuilder &) = delete;

    // @return false if the rest of a block does not match its checksum, or no space is left.
    bool add(const BlockRange &range) {
        // Volumes that share a block before the change share the new block after it.
        std::vector<std::pair<BlockRef, BlockRef>> written; // old and new location
        for (VolumeId volume : volumes_) {
            BlockRef old = store_.find(volume, range.block);
            if (range.is_zero() && range.is_whole()) {
                if (!old.is_hole())
                    add_change(volume, range.block, {});
                continue;
            }
            if (range.is_zero() && old.is_hole())
                continue;
            auto same = std::find_if(written.begin(), written.end(), [&](const auto &refs) {
                return range.is_whole() || refs.first == old;
            });
            if (same != written.end()) {
                add_change(volume, range.block, same->second);
                continue;
            }
            auto ref = write(range, old);
            if (!ref)
                return false;
            add_change(volume, range.block, *ref);
            written.emplace_back(old, *ref);
        }
        return true;
    }

    // Keeps the allocated blocks.
    void commit() { allocated_.clear(); }

    const BlockChanges &changes() const { return changes_; }

private:
    void add_change(VolumeId volume, std::uint64_t block, BlockRef ref) {
        changes_[volume].push_back({block, ref});
    }

    // Writes a new block. If the range covers only part of it, the rest is copied from the old
    // block.
    std::optional<BlockRef> write(const BlockRange &range, BlockRef old) {
        BlockBuffer buffer;
        std::string_view content(range.bytes, range.is_zero() ? 0 : range.length);
        if (!range.is_whole()) {
            if (!store_.load_block(old, buffer.data()))
                return std::nullopt;
            if (range.is_zero())
                std::memset(buffer.data() + range.begin, 0, range.length);
            else
                std::memcpy(buffer.data() + range.begin, range.bytes, range.length);
            content = {buffer.data(), buffer.size()};
        }
        Slot slot = store_.allocate_block();
        if (slot == no_slot)
            return std::nullopt;
        allocated_.push_back(slot);
        store_.medium_.write(block_position(slot), content);
        return BlockRef{slot, crc32c(content)};
    }

    Store &store_;
    const std::vector<VolumeId> &volumes_;
    BlockChanges changes_;
    std::vector<Slot> allocated_;
};

Store::Store(Medium &medium, std::uint64_t capacity)
    : medium_(medium), blocks_(capacity), maps_(blocks_), journal_(medium) {
    open();
}

// ---- Data

BlockRef Store::find(VolumeId volume, std::uint64_t block) const {
    auto it = volumes_.find(volume);
    return it == volumes_.end() ? BlockRef{} : it->second.map.find(block);
}

// Reads a whole block.
// @return false if it does not match its checksum.
bool Store::load_block(const BlockRef &ref, char *to) {
    if (ref.is_hole()) {
        std::memset(to, 0, block_size);
        return true;
    }
    medium_.read(block_position(ref.slot), to, block_size);
    return crc32c({to, block_size}) == ref.crc;
}

bool Store::read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to) {
    std::size_t start = to.size();
    to.resize(start + length);
    char *out = to.data() + start;
    BlockBuffer buffer;
    while (length > 0) {
        auto begin = static_cast<std::uint32_t>(offset % block_size);
        std::uint32_t count = std::min(block_size - begin, length);
        BlockRef ref = find(volume, offset / block_size);
        bool is_whole = count == block_size;
        if (!load_block(ref, is_whole ? out : buffer.data()))
            return false;
        if (!is_whole)
            std::memcpy(out, buffer.data() + begin, count);
        out += count;
        offset += count;
        length -= count;
    }
    return true;
}

bool Store::write(VolumeId volume, std::uint64_t offset, std::string_view bytes) {
    return change({volume}, offset, bytes.size(), bytes.data());
}

bool Store::zero(VolumeId volume, std::uint64_t offset, std::uint32_t length) {
    return change({volume}, offset, length, nullptr);
}

bool Store::write_both(VolumeId source, VolumeId snapshot, std::uint64_t offset,
                       std::string_view bytes) {
    return change({source, snapshot}, offset, bytes.size(), bytes.data());
}

bool Store::zero_both(VolumeId source, VolumeId snapshot, std::uint64_t offset,
                      std::uint32_t length) {
    return change({source, snapshot}, offset, length, nullptr);
}

// All blocks of a change go into a single journal record, which makes the change atomic.
bool Store::change(const std::vector<VolumeId> &volumes, std::uint64_t offset, std::uint64_t length,
                   const char *bytes) {
    if (has_failed_)
        return false;
    for (VolumeId volume : volumes)
        if (is_frozen(volume))
            return false;

    ChangeBuilder builder(*this, volumes);
    try {
        while (length > 0) {
            BlockRange range;
            range.block = offset / block_size;
            range.begin = static_cast<std::uint32_t>(offset % block_size);
            range.length = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(block_size - range.begin, length));
            range.bytes = bytes;
            if (!builder.add(range))
                return false;
            offset += range.length;
            length -= range.length;
            if (bytes)
                bytes += range.length;
        }
        if (builder.changes().empty())
            return true;
        append(RecordKind::write, encode_changes(builder.changes()));
    } catch (const StoreError &) {
        // Nothing refers to the blocks, and the next append overwrites an incomplete record.
        return false;
    }
    builder.commit();
    apply(builder.changes());

    if (blocks_.released_since_flush_count() <= max_unflushed_releases)
        return true;
    try {
        flush();
    } catch (const StoreError &) {
        return false; // the change was applied, but no further writes are possible
    }
    return true;
}

void Store::apply(const BlockChanges &changes) {
    for (const auto &[id, blocks] : changes) {
        ExtentMap &map = volumes_[id].map;
        for (const BlockChange &change : blocks)
            maps_.set(map, change.block, change.ref);
    }
}

Slot Store::allocate_block() {
    for (int i = 0; i < flushes_until_free && blocks_.needs_flush(); ++i)
        flush();
    return blocks_.allocate();
}

std::vector<DataRun> Store::data_runs(VolumeId volume, std::uint64_t offset,
                                      std::uint32_t length) const {
    std::vector<DataRun> runs;
    while (length > 0) {
        auto begin = static_cast<std::uint32_t>(offset % block_size);
        std::uint32_t count = std::min(block_size - begin, length);
        bool has_data = !find(volume, offset / block_size).is_hole();
        if (!runs.empty() && runs.back().has_data == has_data)
            runs.back().length += count;
        else
            runs.push_back({count, has_data});
        offset += count;
        length -= count;
    }
    return runs;
}

std::vector<ByteRange> Store::diff(VolumeId a, VolumeId b) const {
    auto map_of = [this](VolumeId id) {
        auto it = volumes_.find(id);
        return it == volumes_.end() ? ExtentMap{} : it->second.map;
    };
    std::vector<ByteRange> ranges;
    for (auto [first, count] : differing_blocks(map_of(a), map_of(b)))
        ranges.emplace_back(first * block_size, count * block_size);
    return ranges;
}

// ---- Durability

void Store::flush() {
    if (has_failed_)
        throw StoreError(
            StoreError::Kind::medium,
            "store: the medium failed in an earlier sync or checkpoint; all writes are "
            "rejected until the store is reopened");
    try {
        medium_.sync();
    } catch (...) {
        has_failed_ = true; // unknown which writes the medium lost
        throw;
    }
    blocks_.on_flush();
    if (!has_unflushed_)
        return;
    // Everything is durable even if this append fails. The record only saves the next opening from
    // verifying the blocks of the records before it.
    try_append(RecordKind::flushed, {});
    has_unflushed_ = false;
    journal_.mark_flushed();
    if (journal_.needs_checkpoint())
        write_checkpoint();
}

void Store::close() {
    flush();
    append(RecordKind::closed, {});
}

void Store::discard_unflushed() {
    journal_.erase_unflushed();
    medium_.sync();
    open();
}

void Store::append(RecordKind kind, std::string_view payload) {
    journal_.append(kind, payload);
    if (kind != RecordKind::flushed && kind != RecordKind::closed)
        has_unflushed_ = true;
}

// @return false if the medium failed.
bool Store::try_append(RecordKind kind, std::string_view payload) {
    try {
        append(kind, payload);
    } catch (const StoreError &) {
        return false;
    }
    return true;
}

// Writes the trees to the inactive area, and after that the header that makes this area active.
void Store::write_checkpoint() {
    AreaIndex other = area_count - 1 - journal_.area();
    auto trees = encode_checkpoint(volumes_, marks_);
    try {
        journal_.areas().write(other, trees_offset, trees);
    } catch (const StoreError &) {
        if (journal_.generation() == 0)
            throw;
        return; // the active area is unchanged; a later flush tries again
    }

    has_failed_ = true; // until the end of this function it is unknown which area is active
    // The trees and the blocks they refer to must be durable before the header commits them.
    medium_.sync();
    AreaHeader header;
    header.generation = journal_.generation() + 1;
    header.incarnation = incarnation_;
    header.trees_size = trees.size();
    header.last_record = journal_.last_number();
    header.trees_crc = crc32c(trees);
    journal_.areas().write(other, 0, encode_header(header));
    medium_.sync();

    journal_.begin(other, header);
    blocks_.on_checkpoint();
    has_failed_ = false;
    has_unflushed_ = false;
}

// ---- Deduplication

bool Store::was_applied(const DeduplicationMark &mark, Time now) {
    return marks_.contains(mark, now);
}

void Store::mark_applied(const DeduplicationMark &mark, Time not_after, Time now) {
    if (was_applied(mark, now))
        return;
    // A mark that could not be written is kept in memory only. After a restart a repeat of its
    // change may be applied again, as after a power failure.
    try_append(RecordKind::mark, encode_mark({mark, not_after}));
    marks_.add(mark, not_after);
}

// ---- Space

bool Store::has_space_for(std::uint64_t bytes) const {
    // The range may begin and end inside a block.
    constexpr std::uint64_t partial_blocks = 2;
    return blocks_.available() >= bytes / block_size + partial_blocks;
}

bool Store::is_shared(VolumeId volume, std::uint64_t offset) const {
    auto it = volumes_.find(volume);
    return it != volumes_.end() && it->second.map.is_shared(offset / block_size);
}

std::size_t Store::memory_bytes() const {
    return maps_.memory_bytes() + blocks_.memory_bytes() + marks_.memory_bytes();
}

} // namespace knotvane::store
