#include "store/extent_map.hpp"

#include <algorithm>
#include <set>

namespace knotvane::store {
namespace {

// Index of the child that leads to a block, in a node of the given level; at level 0, index of the
// block's own entry.
std::size_t index_at(std::uint64_t block, int level) {
    return block >> (fan_out_bits * static_cast<unsigned>(level)) & (fan_out - 1);
}

// Returns a map's root below as many new levels as it takes to reach the given height.
ExtentNodePtr root_at_height(const ExtentMap &map, int height) {
    ExtentNodePtr root = map.root;
    for (int level = map.height + 1; root && level <= height; ++level) {
        auto parent = make_extent_node(level);
        parent->children[0] = std::move(root);
        root = std::move(parent);
    }
    return root;
}

// Walks two trees of the same height in parallel and collects the blocks that differ. Nodes that
// both trees share are skipped.
class MapComparison {
public:
    void compare(const ExtentNode *a, const ExtentNode *b, int level, std::uint64_t first_block) {
        if (a == b)
            return;
        for (std::size_t i = 0; i < fan_out; ++i) {
            if (level == 0) {
                if (block_of(a, i) != block_of(b, i))
                    add(first_block + i);
                continue;
            }
            std::uint64_t child_offset = std::uint64_t{i}
                                         << (fan_out_bits * static_cast<unsigned>(level));
            compare(child_of(a, i), child_of(b, i), level - 1, first_block + child_offset);
        }
    }

    std::vector<std::pair<std::uint64_t, std::uint64_t>> runs;

private:
    static BlockRef block_of(const ExtentNode *leaf, std::size_t i) {
        return leaf ? leaf->blocks[i] : BlockRef{};
    }
    static const ExtentNode *child_of(const ExtentNode *node, std::size_t i) {
        return node ? node->children[i].get() : nullptr;
    }
    void add(std::uint64_t block) {
        if (!runs.empty() && runs.back().first + runs.back().second == block)
            ++runs.back().second;
        else
            runs.emplace_back(block, 1);
    }
};

} // namespace

ExtentNodePtr make_extent_node(int level) {
    auto node = std::make_shared<ExtentNode>();
    if (level == 0)
        node->blocks.resize(fan_out);
    else
        node->children.resize(fan_out);
    return node;
}

BlockRef ExtentMap::find(std::uint64_t block) const {
    if (!root || !reaches(block))
        return {};
    const ExtentNode *node = root.get();
    for (int level = height; level > 0; --level) {
        node = node->children[index_at(block, level)].get();
        if (!node)
            return {};
    }
    return node->blocks[index_at(block, 0)];
}

bool ExtentMap::is_shared(std::uint64_t block) const {
    if (!reaches(block))
        return false;
    const ExtentNodePtr *node = &root;
    for (int level = height;; --level) {
        if (!*node)
            return false;
        if (node->use_count() > 1)
            return true;
        if (level == 0)
            return false;
        node = &(*node)->children[index_at(block, level)];
    }
}

std::vector<std::pair<std::uint64_t, std::uint64_t>> differing_blocks(const ExtentMap &a,
                                                                      const ExtentMap &b) {
    int height = std::max(a.height, b.height);
    auto root_a = root_at_height(a, height);
    auto root_b = root_at_height(b, height);
    MapComparison comparison;
    comparison.compare(root_a.get(), root_b.get(), height, 0);
    return std::move(comparison.runs);
}

// Creates a missing node, or copies a node that another map shares, so that it can be changed in
// place. The map must already own the nodes above it.
ExtentNode &ExtentMaps::make_writable(ExtentNodePtr &node, int level) {
    if (!node) {
        node = make_extent_node(level);
        ++node_count_;
    } else if (node.use_count() > 1) {
        node = std::make_shared<ExtentNode>(*node);
        ++node_count_;
        for (const BlockRef &ref : node->blocks)
            if (!ref.is_hole())
                blocks_.add_reference(ref.slot);
    }
    return *node;
}

// Adds one level above the root.
void ExtentMaps::add_level(ExtentMap &map) {
    if (map.root) {
        auto parent = make_extent_node(map.height + 1);
        ++node_count_;
        parent->children[0] = std::move(map.root);
        map.root = std::move(parent);
    }
    ++map.height;
}

void ExtentMaps::set(ExtentMap &map, std::uint64_t block, BlockRef ref) {
    while (!map.reaches(block))
        add_level(map);
    ExtentNode *node = &make_writable(map.root, map.height);
    for (int level = map.height; level > 0; --level)
        node = &make_writable(node->children[index_at(block, level)], level - 1);

    BlockRef &entry = node->blocks[index_at(block, 0)];
    if (!ref.is_hole())
        blocks_.add_reference(ref.slot);
    if (!entry.is_hole())
        blocks_.remove_reference(entry.slot);
    entry = ref;
}

void ExtentMaps::drop(ExtentMap map) {
    if (map.root)
        dropped_.push_back({std::move(map.root), map.height});
}

bool ExtentMaps::reclaim(std::size_t max_nodes) {
    for (std::size_t count = 0; count < max_nodes && !dropped_.empty(); ++count) {
        auto [node, level] = std::move(dropped_.back());
        dropped_.pop_back();
        if (node.use_count() > 1)
            continue; // another map still refers to it
        --node_count_;
        for (const BlockRef &ref : node->blocks)
            if (!ref.is_hole())
                blocks_.remove_reference(ref.slot);
        for (ExtentNodePtr &child : node->children)
            if (child)
                dropped_.push_back({std::move(child), level - 1});
    }
    return !dropped_.empty();
}

void ExtentMaps::recount(const std::vector<const ExtentMap *> &maps) {
    std::vector<std::uint32_t> references(blocks_.references().size(), 0);
    std::set<const ExtentNode *> visited;
    std::vector<const ExtentNode *> unvisited;
    for (const ExtentMap *map : maps)
        if (map->root)
            unvisited.push_back(map->root.get());
    while (!unvisited.empty()) {
        const ExtentNode *node = unvisited.back();
        unvisited.pop_back();
        if (!visited.insert(node).second)
            continue;
        for (const BlockRef &ref : node->blocks) {
            if (references.size() <= ref.slot)
                references.resize(ref.slot + 1);
            if (!ref.is_hole())
                ++references[ref.slot];
        }
        for (const ExtentNodePtr &child : node->children)
            if (child)
                unvisited.push_back(child.get());
    }
    node_count_ = visited.size();
    dropped_.clear();
    blocks_.set_references(std::move(references));
}

void ExtentMaps::reset() {
    dropped_.clear();
    node_count_ = 0;
    blocks_.reset();
}

std::size_t ExtentMaps::memory_bytes() const {
    // Blocks and children have entries of the same size. Each node also has the reference counts of
    // its shared pointer.
    constexpr std::size_t control_block_bytes = 32;
    return node_count_ * (sizeof(ExtentNode) + control_block_bytes + fan_out * sizeof(BlockRef));
}

} // namespace knotvane::store
