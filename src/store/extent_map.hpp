/// \file
/// The copy-on-write tree that maps a volume's blocks to blocks of the medium. Copies of a map
/// share all nodes; changing a copy duplicates only the nodes on the path to the changed block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "store/block_allocator.hpp"

namespace knotvane::store {

/// The location of a stored block, and the CRC32C of its bytes.
struct BlockRef {
    Slot slot = no_slot;
    std::uint32_t crc = 0;

    /// Whether there is no stored block, so that reads return zeroes.
    bool is_hole() const { return slot == no_slot; }
    bool operator==(const BlockRef &) const = default;
};

/// Number of blocks of a leaf and of children of an inner node; a power of two.
inline constexpr unsigned fan_out_bits = 6;
inline constexpr std::size_t fan_out = std::size_t{1} << fan_out_bits;

struct ExtentNode;
using ExtentNodePtr = std::shared_ptr<ExtentNode>;

/// A leaf has `fan_out` blocks, an inner node `fan_out` children. A null child is a hole.
struct ExtentNode {
    std::vector<BlockRef> blocks;
    std::vector<ExtentNodePtr> children;
};

/// Creates a node that contains only holes.
/// @param level height above the leaves; 0 for a leaf.
ExtentNodePtr make_extent_node(int level);

/// One volume's map. Copying it takes constant time.
struct ExtentMap {
    ExtentNodePtr root; // null: the whole volume is a hole
    int height = 0;     // number of levels below the root

    /// Whether the tree is high enough to contain a block with this number.
    bool reaches(std::uint64_t block) const {
        return block >> (fan_out_bits * (static_cast<unsigned>(height) + 1)) == 0;
    }
    /// Looks up a block; returns a hole if it was never written.
    BlockRef find(std::uint64_t block) const;
    /// Whether a change of this block has to copy a node that is shared with another map.
    bool is_shared(std::uint64_t block) const;
};

/// Finds the runs of blocks in which two maps differ, as first block and count, in ascending order.
/// The time is proportional to the number of nodes that the maps do not share.
std::vector<std::pair<std::uint64_t, std::uint64_t>> differing_blocks(const ExtentMap &a,
                                                                      const ExtentMap &b);

/// Changes the maps of one store, and counts their nodes and the references to blocks.
class ExtentMaps {
public:
    /// A node of a dropped map that has not been reclaimed yet.
    struct DroppedNode {
        ExtentNodePtr node;
        int level = 0;
    };

    /// @param blocks must outlive it.
    explicit ExtentMaps(BlockAllocator &blocks) : blocks_(blocks) {}

    /// Sets the location of a block. Nodes shared with other maps are copied first.
    void set(ExtentMap &map, std::uint64_t block, BlockRef ref);

    /// Takes ownership of a map whose nodes reclaim is to release.
    void drop(ExtentMap map);
    /// Releases at most `max_nodes` dropped nodes and their references to blocks.
    /// @return false once no dropped nodes are left.
    bool reclaim(std::size_t max_nodes);
    const std::vector<DroppedNode> &dropped() const { return dropped_; }

    /// Recounts nodes and references to blocks from the given maps, and forgets dropped nodes.
    void recount(const std::vector<const ExtentMap *> &maps);
    /// Forgets all nodes and all references to blocks.
    void reset();

    std::size_t memory_bytes() const;

private:
    ExtentNode &make_writable(ExtentNodePtr &node, int level);
    void add_level(ExtentMap &map);

    BlockAllocator &blocks_;
    std::size_t node_count_ = 0;
    std::vector<DroppedNode> dropped_;
};

} // namespace knotvane::store
