/// \file
/// Persistent storage of a shard's data on one medium: volumes, snapshots and clones that share
/// common blocks, and the marks of deduplicated changes that were applied. The format is described
/// in docs/store-format.md.
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

/// The result of creating a snapshot or a clone. The values are those of the planner protocol.
enum class SnapshotResult : std::uint8_t {
    created = 0,
    already_exists = 1, ///< Resent order: the id's copy has the same source and state.
    id_taken = 2,       ///< Another volume has the id, or the source has reached the epoch already.
    no_space = 3,       ///< Less free space is left than is reserved for writes.
    medium_failed = 4,  ///< The medium failed; nothing was created.
};

/// A run of bytes that either all have stored data, or all read as zeroes without any.
struct DataRun {
    std::uint32_t length = 0; ///< Bytes.
    bool has_data = false;
};

/// Offset and length in bytes.
using ByteRange = std::pair<std::uint64_t, std::uint64_t>;

/// A shard's store. Offsets and lengths are in bytes. Volumes need not be created: a volume that
/// was never written reads as zeroes. Not thread-safe.
class Store {
public:
    /// Default capacity in blocks: 64 GiB.
    static constexpr std::uint64_t default_capacity = std::uint64_t{1} << 24;

    /// Opens the store on a medium, or creates an empty one if the medium is blank. Writes a
    /// checkpoint.
    /// @param medium must outlive it.
    /// @param capacity maximum number of blocks; may grow from one opening to the next.
    /// @throws StoreError of kind `corruption` if the headers or the trees do not match their
    ///     checksums or contain invalid references, of kind `medium` if the medium fails.
    explicit Store(Medium &medium, std::uint64_t capacity = default_capacity);
    ~Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /// Increases when changes that were acknowledged but not flushed may have been lost.
    std::uint64_t incarnation() const { return incarnation_; }

    // ---- Data (store.cpp)

    /// Reads a range of a volume and appends it to `to`.
    /// @return false if a block does not match its checksum.
    /// @throws StoreError if the medium fails.
    bool read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to);
    /// Writes a range atomically. Partly written blocks keep the rest of their content.
    /// @return false if the rest of a partly written block does not match its checksum, no space is
    ///     left, the volume is frozen, or the medium fails. If it fails in the flush that a write
    ///     starts once many blocks were released, the change itself has been applied.
    bool write(VolumeId volume, std::uint64_t offset, std::string_view bytes);
    /// Zeroes a range atomically; fails in the same cases as write.
    bool zero(VolumeId volume, std::uint64_t offset, std::uint32_t length);
    /// Writes to a volume and to its open snapshot atomically.
    bool write_both(VolumeId source, VolumeId snapshot, std::uint64_t offset,
                    std::string_view bytes);
    /// Zeroes a range of a volume and of its open snapshot atomically.
    bool zero_both(VolumeId source, VolumeId snapshot, std::uint64_t offset, std::uint32_t length);
    /// Returns the data and zero runs of a range, in ascending order.
    std::vector<DataRun> data_runs(VolumeId volume, std::uint64_t offset,
                                   std::uint32_t length) const;
    /// Returns the ranges in which two volumes differ, in ascending order.
    std::vector<ByteRange> diff(VolumeId a, VolumeId b) const;

    // ---- Durability (store.cpp)

    /// Makes all changes so far durable.
    /// @throws StoreError if the medium fails; the store rejects all writes after that.
    void flush();
    /// Flushes, and records that all changes are durable, so that the next opening keeps the
    /// incarnation.
    /// @throws StoreError as flush.
    void close();
    /// Discards all changes since the last flush and reopens the store, as after a power failure.
    /// @throws StoreError as the constructor.
    void discard_unflushed();

    // ---- Snapshots and clones (store_snapshots.cpp). Their time and space depend on later
    // changes, not on the volume's size.

    /// Creates a read-only copy. Durable on return.
    /// @throws StoreError if it can't be made durable.
    SnapshotResult take_snapshot(VolumeId source, VolumeId snapshot);
    /// Creates a writable copy. Durable on return.
    /// @throws StoreError if it can't be made durable.
    SnapshotResult clone(VolumeId source, VolumeId copy);
    /// Begins a snapshot that spans several stores. It stays open until it is sealed: late changes
    /// of an earlier epoch are applied to the source and the snapshot by write_both and zero_both.
    /// Not durable before it is sealed.
    /// @param epoch the epoch of the source's changes from now on; above its present epoch.
    SnapshotResult open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch);
    /// Makes an open snapshot read-only and durable. Has no effect on a sealed one.
    /// @return false if the snapshot does not exist, is a writable volume, or the medium failed.
    /// @throws StoreError if it can't be made durable.
    bool seal_snapshot(VolumeId snapshot);
    /// Drops a volume, a snapshot or a clone. Durable on return; its blocks are freed by
    /// reclaim.
    /// @return false if it does not exist, or the medium failed.
    /// @throws StoreError if it can't be made durable.
    bool drop(VolumeId volume);

    bool contains(VolumeId volume) const { return volumes_.contains(volume); }
    bool is_frozen(VolumeId volume) const;
    /// All snapshots and clones, including open snapshots.
    std::vector<VolumeId> snapshots() const;
    /// The open snapshot of a volume, if it has one.
    std::optional<VolumeId> open_snapshot_of(VolumeId source) const;
    /// The epoch of a volume's changes that begin now.
    std::uint32_t epoch(VolumeId volume) const;
    /// The epoch of a volume's last sealed snapshot. A change of an earlier epoch would alter that
    /// snapshot.
    std::uint32_t sealed_epoch(VolumeId volume) const;

    // ---- Deduplication

    /// Whether the change with this mark was applied. False once the mark has expired.
    bool was_applied(const DeduplicationMark &mark, Time now);
    /// Remembers a mark until `not_after`. If the medium fails, the mark is kept in memory only.
    void mark_applied(const DeduplicationMark &mark, Time not_after, Time now);
    std::size_t mark_count() const { return marks_.size(); }

    // ---- Space

    /// Releases at most `max_nodes` nodes of dropped volumes and their blocks.
    /// @return false once no dropped nodes are left.
    bool reclaim(std::size_t max_nodes) { return maps_.reclaim(max_nodes); }
    bool has_reclaimable_space() const { return !maps_.dropped().empty(); }
    std::uint64_t blocks_used() const { return blocks_.used(); }
    /// Maximum number of blocks.
    std::uint64_t capacity() const { return blocks_.capacity(); }
    /// Whether there is space for a write of `bytes` bytes.
    bool has_space_for(std::uint64_t bytes) const;
    /// Whether the next write to this offset has to copy nodes shared with other volumes.
    bool is_shared(VolumeId volume, std::uint64_t offset) const;
    /// Estimated memory of maps, reference counts and marks. It grows with the number of written
    /// blocks, not with the sizes of volumes.
    std::size_t memory_bytes() const;

    // ---- Verification (store_check.cpp)

    /// Walks all maps, verifies the checksum of every block and recounts all references.
    /// @return the inconsistencies found, one line each; at most 100.
    /// @throws StoreError if the medium fails.
    std::vector<std::string> check();
    /// Flips one stored bit without updating the checksum, as a failing disk does.
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
    bool has_failed_ = false; // unknown which writes are durable; all further writes are rejected
    bool has_unflushed_ = false;
};

} // namespace knotvane::store
