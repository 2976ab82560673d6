/// \file
/// A shard's data on one medium: volumes, snapshots and clones that share the blocks they have in
/// common, and the marks of deduplicated changes that were applied. A store outlives the processes
/// that serve it. Its format: docs/store-format.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "store/block_allocator.hpp"
#include "store/checkpoint.hpp"
#include "store/deduplication_marks.hpp"
#include "store/error.hpp"
#include "store/extent_map.hpp"
#include "store/format.hpp"
#include "store/journal.hpp"
#include "store/medium.hpp"

namespace knotvane::store {

/// How making a snapshot or a clone went. The order is that of the planner protocol.
enum class SnapshotResult : std::uint8_t {
    created,
    already_exists, ///< By this id, from the same source, in the same state: a resend.
    id_taken,       ///< The id is another volume's, or the epoch is in use.
    no_space,       ///< The reserve that writes need would be touched.
    medium_failed,
};

/// A run of bytes that hold data, or read as zeroes because they were never written.
struct DataRun {
    std::uint32_t length = 0; ///< Bytes.
    bool has_data = false;
};

/// Offset and length, bytes.
using ByteRange = std::pair<std::uint64_t, std::uint64_t>;

/// Offsets and lengths are bytes. A volume need not be made: one that was never written reads as
/// zeroes. Not safe for use from several threads.
class Store {
public:
    /// Blocks of a store whose size nobody chose: 64 GiB.
    static constexpr std::uint64_t default_capacity = std::uint64_t{1} << 24;

    /// Opens what is there, or makes an empty store.
    /// @param medium must outlive it.
    /// @param capacity blocks at most; may grow from one opening to the next.
    /// @throws StoreError of kind `damage` if the header or the trees do not match their checksums,
    ///     of kind `medium` if the medium fails.
    explicit Store(Medium &medium, std::uint64_t capacity = default_capacity);
    ~Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /// Goes up when what was answered but not flushed may be lost.
    std::uint64_t incarnation() const { return incarnation_; }

    // ---- Data (store.cpp)

    /// Appends a range of a volume to `to`.
    /// @return false if a block does not match its checksum.
    /// @throws StoreError if the medium fails.
    bool read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to);
    /// Writes all or nothing. Blocks that are written in part keep the rest.
    /// @return false if that rest does not match its checksum, no space is left, the medium fails,
    ///     or the volume is frozen.
    bool write(VolumeId volume, std::uint64_t offset, std::string_view bytes);
    /// Makes a range read as zeroes, as write does.
    bool zero(VolumeId volume, std::uint64_t offset, std::uint32_t length);
    /// Writes to a volume and the open snapshot of it: both or none.
    bool write_both(VolumeId source, VolumeId snapshot, std::uint64_t offset,
                    std::string_view bytes);
    bool zero_both(VolumeId source, VolumeId snapshot, std::uint64_t offset, std::uint32_t length);
    /// The runs of a range, in order.
    std::vector<DataRun> data_runs(VolumeId volume, std::uint64_t offset,
                                   std::uint32_t length) const;
    /// Ranges in which two volumes differ, in order.
    std::vector<ByteRange> diff(VolumeId a, VolumeId b) const;

    // ---- Durability (store.cpp)

    /// Makes durable what was written so far.
    /// @throws StoreError if the medium can't; nothing can be written after that.
    void flush();
    /// Flushes and notes that nothing was left to lose: the next opening keeps the incarnation.
    /// @throws StoreError as flush.
    void close();
    /// Loses all since the last flush and opens anew, as after a power failure.
    /// @throws StoreError as the constructor.
    void discard_unflushed();

    // ---- Snapshots and clones (store_snapshots.cpp). They take time and space by what changes
    // later, not by the volume's size.

    /// Makes a copy that can't be written. Durable on return.
    /// @throws StoreError if it can't be made durable.
    SnapshotResult take_snapshot(VolumeId source, VolumeId snapshot);
    /// Makes a copy that can be written. Durable on return.
    /// @throws StoreError if it can't be made durable.
    SnapshotResult clone(VolumeId source, VolumeId copy);
    /// Begins a snapshot over many stores: it stays open, and late changes of an earlier epoch go
    /// into both by write_both and zero_both, until it is sealed. Not durable before that.
    /// @param epoch of the source's changes from here on; above its present one.
    SnapshotResult open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch);
    /// Freezes an open snapshot and makes it durable; a sealed one stays as it is.
    /// @return false if there is none, or the medium failed.
    /// @throws StoreError if it can't be made durable.
    bool seal_snapshot(VolumeId snapshot);
    /// Drops a volume, a snapshot or a clone. Durable on return; its blocks come back by reclaim.
    /// @return false if there is none, or the medium failed.
    /// @throws StoreError if it can't be made durable.
    bool drop(VolumeId volume);

    bool contains(VolumeId volume) const { return volumes_.contains(volume); }
    bool is_frozen(VolumeId volume) const;
    /// All snapshots and clones, open ones too.
    std::vector<VolumeId> snapshots() const;
    /// The open snapshot of a volume, if there is one.
    std::optional<VolumeId> open_snapshot_of(VolumeId source) const;
    /// The epoch of a volume's changes that begin now.
    std::uint32_t epoch(VolumeId volume) const;
    /// The epoch of a volume's last sealed snapshot: a change of an earlier one would alter that.
    std::uint32_t sealed_epoch(VolumeId volume) const;

    // ---- Deduplication

    /// Whether the change with this mark was applied, as far as that is remembered.
    bool was_applied(const DeduplicationMark &mark, Time now);
    /// Remembers a mark until `not_after`. If the medium fails, only as long as the process lives.
    void mark_applied(const DeduplicationMark &mark, Time not_after, Time now);
    std::size_t mark_count() const { return marks_.size(); }

    // ---- Space

    /// Takes down nodes of dropped volumes, `max_nodes` at most.
    /// @return false once nothing is left.
    bool reclaim(std::size_t max_nodes) { return maps_.reclaim(max_nodes); }
    bool has_reclaimable_space() const { return !maps_.dropped().empty(); }
    std::uint64_t blocks_used() const { return blocks_.used(); }
    /// Blocks at most.
    std::uint64_t capacity() const { return blocks_.capacity(); }
    /// Whether a write of so many bytes finds room.
    bool has_room_for(std::uint64_t bytes) const;
    /// Whether the next write to this offset copies what other volumes share.
    bool is_shared(VolumeId volume, std::uint64_t offset) const;
    /// Memory of maps, counts and marks: by blocks written, not by the sizes of volumes.
    std::size_t memory_bytes() const;

    // ---- Verification (store_check.cpp)

    /// Walks every map, reads every block and counts every reference anew.
    /// @return what does not hold, one line each; the first hundred.
    /// @throws StoreError if the medium fails.
    std::vector<std::string> check();
    /// Flips one stored bit and leaves its checksum, as a failing disk does.
    void flip_bit(VolumeId volume, std::uint64_t offset);

private:
    class ChangeBuilder;
    class Checker;

    // store.cpp
    BlockRef find(VolumeId volume, std::uint64_t block) const;
    bool load_block(const BlockRef &ref, char *to);
    Slot allocate_block();
    bool change(const std::vector<VolumeId> &volumes, std::uint64_t offset, std::uint64_t length,
                const char *bytes);
    void apply(const BlockChanges &changes);
    void append(RecordKind kind, std::string_view payload);
    bool try_append(RecordKind kind, std::string_view payload);
    void write_checkpoint();

    // store_snapshots.cpp
    SnapshotResult make_copy(const CopyRecord &copy);
    SnapshotResult existing_copy_result(const CopyRecord &copy) const;
    void apply_copy(const CopyRecord &copy);
    void apply_seal(VolumeId snapshot);
    void apply_drop(VolumeId volume);

    // store_recovery.cpp
    void open();
    void reset();
    std::optional<AreaHeader> begin_newest_area();
    void load_trees(const AreaHeader &header);
    void replay_journal();
    bool replay(const JournalRecord &record, bool is_durable);
    bool replay_write(const JournalRecord &record, bool is_durable);
    void recount();

    Medium &medium_;
    BlockAllocator blocks_;
    ExtentMaps maps_;
    Journal journal_;
    Volumes volumes_;
    DeduplicationMarks marks_;
    std::uint64_t incarnation_ = 1;
    bool has_failed_ = false; // what is durable is in doubt: nothing can be written any more
    bool has_unflushed_ = false;
};

} // namespace knotvane::store
