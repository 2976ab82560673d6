/// \file
/// Where a volume's blocks are: a copy-on-write tree. Copies of a map share all nodes until one of
/// them is changed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "store/block_allocator.hpp"

namespace knotvane::store {

/// Where a block is stored, and the CRC32C of its bytes.
struct BlockRef {
    Slot slot = no_slot;
    std::uint32_t crc = 0;

    /// Never written: reads as zeroes.
    bool is_hole() const { return slot == no_slot; }
    bool operator==(const BlockRef &) const = default;
};

/// Blocks of a leaf, and children of an inner node; a power of two.
inline constexpr unsigned fan_out_bits = 6;
inline constexpr std::size_t fan_out = std::size_t{1} << fan_out_bits;

struct ExtentNode;
using ExtentNodePtr = std::shared_ptr<ExtentNode>;

/// A leaf has `fan_out` blocks, an inner node as many children; null: a hole.
struct ExtentNode {
    std::vector<BlockRef> blocks;
    std::vector<ExtentNodePtr> children;
};

/// A new node without content.
/// @param level above the leaves; 0: a leaf.
ExtentNodePtr make_extent_node(int level);

/// One volume's map. A copy takes constant time.
struct ExtentMap {
    ExtentNodePtr root; // null: a volume of holes
    int height = 0;     // levels below the root

    /// Whether the tree is high enough to hold a block of this number.
    bool reaches(std::uint64_t block) const {
        return block >> (fan_out_bits * (static_cast<unsigned>(height) + 1)) == 0;
    }
    /// Where a block is; a hole if it was never written.
    BlockRef find(std::uint64_t block) const;
    /// Whether a change of this block has to copy a node that another map has, too.
    bool is_shared(std::uint64_t block) const;
};

/// Runs of blocks in which two maps differ: first block and count, in order. Takes time by the
/// nodes that the maps do not share.
std::vector<std::pair<std::uint64_t, std::uint64_t>> differing_blocks(const ExtentMap &a,
                                                                      const ExtentMap &b);

/// Changes the maps of one store, and counts what they use.
class ExtentMaps {
public:
    /// A node of a dropped map that is not taken down yet.
    struct DroppedNode {
        ExtentNodePtr node;
        int level = 0;
    };

    /// @param blocks must outlive it.
    explicit ExtentMaps(BlockAllocator &blocks) : blocks_(blocks) {}

    /// Sets where a block is. Nodes that other maps share are copied first.
    void set(ExtentMap &map, std::uint64_t block, BlockRef ref);

    /// Takes a map over to be taken down by reclaim.
    void drop(ExtentMap map);
    /// Takes down dropped nodes, `max_nodes` at most.
    /// @return false once nothing is left.
    bool reclaim(std::size_t max_nodes);
    const std::vector<DroppedNode> &dropped() const { return dropped_; }

    /// Counts nodes and references to blocks from the maps themselves, and forgets dropped nodes.
    void recount(const std::vector<const ExtentMap *> &maps);
    /// Forgets everything.
    void reset();

    std::size_t memory_bytes() const;

private:
    ExtentNode &writable(ExtentNodePtr &node, int level);
    void raise(ExtentMap &map);

    BlockAllocator &blocks_;
    std::size_t node_count_ = 0;
    std::vector<DroppedNode> dropped_;
};

} // namespace knotvane::store
