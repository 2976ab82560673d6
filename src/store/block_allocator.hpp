/// \file
/// Tracks which blocks of the medium are free, and how many leaves of extent maps refer to each of
/// the others. None of this is stored: it is recounted from the extent maps when a store is opened.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace knotvane::store {

/// Size in bytes of the unit of checksums, sharing and copying.
inline constexpr std::uint32_t block_size = 4096;

/// A block's number on the medium, counted from 1.
using Slot = std::uint32_t;
/// Stands for no block: a hole in a volume, or no space left.
inline constexpr Slot no_slot = 0;

/// Counts references to blocks and allocates free ones.
///
/// A block that loses its last reference becomes free only after two flushes. The first flush makes
/// it durable that the extent map no longer refers to the block. The record that confirms the first
/// flush becomes durable with the second; until then recovery verifies the blocks of all earlier
/// records and must find them unchanged.
class BlockAllocator {
public:
    /// @param capacity maximum number of blocks.
    explicit BlockAllocator(std::uint64_t capacity) : capacity_(capacity) {}

    /// Forgets all references and free blocks.
    void reset();

    /// @return a free block, with no references yet; no_slot if no block is free now.
    Slot allocate();
    /// Frees allocated blocks that nothing refers to.
    void free_unused(const std::vector<Slot> &slots);
    /// Whether allocate would fail now, but would succeed after at most two flushes.
    bool needs_flush() const;

    /// Adds one reference to a block.
    void add_reference(Slot slot);
    /// Removes one reference; with the last one, the block is released.
    void remove_reference(Slot slot);

    /// Call when a flush made all writes durable: frees the blocks released before the last flush.
    void on_flush();
    /// Call when a checkpoint made the present extent maps durable: frees all released blocks.
    void on_checkpoint();

    /// Replaces the references by recounted ones; blocks without references become free.
    /// @param references counts, indexed by slot.
    void set_references(std::vector<std::uint32_t> references);

    /// Number of blocks with at least one reference.
    std::uint64_t used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }
    /// Number of blocks that can still be allocated, including those that flushes will free.
    std::uint64_t available() const;
    /// Number of blocks that lost their last reference since the last flush.
    std::size_t released_since_flush_count() const { return released_.size(); }
    /// Reference counts, indexed by slot; index 0 (no_slot) is unused.
    const std::vector<std::uint32_t> &references() const { return references_; }
    /// All blocks that are free or will be after at most two flushes.
    std::set<Slot> free_slots() const;
    /// Whether no block is listed as free or released more than once.
    bool is_free_list_sound() const;
    std::size_t memory_bytes() const;

private:
    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    std::vector<std::uint32_t> references_ = std::vector<std::uint32_t>(1, 0);
    std::vector<Slot> free_;
    std::vector<Slot> released_;         // since the last flush
    std::vector<Slot> released_earlier_; // between the last flush and the one before it
};

} // namespace knotvane::store
