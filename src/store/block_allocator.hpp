/// \file
/// Which blocks of the medium are in use, by how many leaves of extent maps, and which are free.
/// Nothing of this is stored: it follows from the extent maps and is counted anew at each opening.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace knotvane::store {

/// Unit of checksums, sharing and copying, bytes.
inline constexpr std::uint32_t block_size = 4096;

/// A block's number on the medium, from 1.
using Slot = std::uint32_t;
/// No block: a hole, or no space.
inline constexpr Slot no_slot = 0;

/// Counts references to blocks and gives free ones out.
///
/// A block that nothing refers to any more is free only after two flushes. The first one makes
/// durable that the extent map no longer names it. Until the second one has made durable that the
/// first one was, recovery reads the blocks of all records before it and must find them as they
/// were.
class BlockAllocator {
public:
    /// @param capacity blocks at most.
    explicit BlockAllocator(std::uint64_t capacity) : capacity_(capacity) {}

    /// Forgets everything.
    void reset();

    /// @return a free block, without a reference; no_slot if there is none now.
    Slot allocate();
    /// Gives back blocks that were allocated and are not referred to.
    void return_unused(const std::vector<Slot> &slots);
    /// Whether allocate finds no block now, but would after at most two flushes.
    bool needs_flush() const;

    /// Notes one more reference to a block.
    void add_reference(Slot slot);
    /// Notes one reference less.
    void remove_reference(Slot slot);

    /// All that was written is durable.
    void on_flush();
    /// The extent maps as they are now are durable.
    void on_checkpoint();

    /// Takes over references that were counted anew; all other blocks are free.
    /// @param references by slot.
    void adopt(std::vector<std::uint32_t> references);

    /// Blocks that something refers to.
    std::uint64_t used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }
    /// Blocks that can be written before space runs out, those that a flush sets free included.
    std::uint64_t available() const;
    /// Blocks that lost their last reference since the last flush.
    std::size_t released_since_flush() const { return released_.size(); }
    /// References by slot; the first one is of no block.
    const std::vector<std::uint32_t> &references() const { return references_; }
    /// All blocks that are free or will be.
    std::set<Slot> free_slots() const;
    /// Whether no block is free twice.
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
