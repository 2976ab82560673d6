#include "store/checkpoint.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

#include "store/format.hpp"

namespace knotvane::store {
namespace {

// Nodes refer to each other by number. Numbers count from 1 in the order of writing, children
// before their parents; 0 stands for no node.
using NodeNumber = std::uint32_t;
constexpr NodeNumber no_node = 0;

// The first byte of a node.
constexpr std::uint8_t leaf_node = 0;
constexpr std::uint8_t inner_node = 1;

// A volume's flags.
constexpr std::uint8_t flag_copy = 1;
constexpr std::uint8_t flag_frozen = 2;
constexpr std::uint8_t flag_open = 4;

// Encodes the nodes of extent maps. A node that several maps share is written once.
class NodeWriter {
public:
    NodeNumber write(const ExtentNode *node) {
        if (!node)
            return no_node;
        if (auto it = numbers_.find(node); it != numbers_.end())
            return it->second;
        std::vector<NodeNumber> children;
        children.reserve(node->children.size());
        for (const ExtentNodePtr &child : node->children)
            children.push_back(write(child.get()));

        append_value(bytes_, node->children.empty() ? leaf_node : inner_node);
        for (NodeNumber child : children)
            append_value(bytes_, child);
        for (const BlockRef &ref : node->blocks) {
            append_value(bytes_, ref.slot);
            append_value(bytes_, ref.crc);
        }
        auto number = static_cast<NodeNumber>(numbers_.size() + 1);
        numbers_.emplace(node, number);
        return number;
    }

    NodeNumber count() const { return static_cast<NodeNumber>(numbers_.size()); }
    const std::string &bytes() const { return bytes_; }

private:
    std::unordered_map<const ExtentNode *, NodeNumber> numbers_;
    std::string bytes_;
};

std::uint8_t flags_of(const Volume &volume) {
    int flags = (volume.is_copy ? flag_copy : 0) | (volume.is_frozen ? flag_frozen : 0) |
                (volume.is_open ? flag_open : 0);
    return static_cast<std::uint8_t>(flags);
}

// Finds a node that a later node or a volume refers to.
// @param referrer what contains the reference, for the message.
const ExtentNodePtr &node_of_number(const std::vector<ExtentNodePtr> &nodes, NodeNumber number,
                                    const char *referrer) {
    if (number >= nodes.size())
        throw StoreError(StoreError::Kind::corruption,
                         std::string("store: a ") + referrer +
                             " refers to a node that is not in the checkpoint");
    return nodes[number];
}

ExtentNodePtr consume_node(std::string_view &bytes, const std::vector<ExtentNodePtr> &earlier,
                           std::uint64_t capacity) {
    bool is_leaf = consume_value<std::uint8_t>(bytes) == leaf_node;
    auto node = make_extent_node(is_leaf ? 0 : 1);
    for (BlockRef &ref : node->blocks) {
        ref.slot = consume_value<Slot>(bytes);
        ref.crc = consume_value<std::uint32_t>(bytes);
        if (ref.slot > capacity)
            throw StoreError(StoreError::Kind::corruption,
                             "store: a tree refers to a block beyond the store's capacity");
    }
    for (ExtentNodePtr &child : node->children)
        child = node_of_number(earlier, consume_value<NodeNumber>(bytes), "tree");
    return node;
}

Volume consume_volume(std::string_view &bytes, const std::vector<ExtentNodePtr> &nodes) {
    Volume volume;
    volume.map.root = node_of_number(nodes, consume_value<NodeNumber>(bytes), "volume");
    volume.map.height = static_cast<int>(consume_value<std::uint32_t>(bytes));
    volume.source = VolumeId{consume_value<std::uint64_t>(bytes)};
    auto flags = consume_value<std::uint8_t>(bytes);
    volume.is_copy = (flags & flag_copy) != 0;
    volume.is_frozen = (flags & flag_frozen) != 0;
    volume.is_open = (flags & flag_open) != 0;
    volume.epoch = consume_value<std::uint32_t>(bytes);
    volume.sealed_epoch = consume_value<std::uint32_t>(bytes);
    return volume;
}

} // namespace

std::string encode_checkpoint(const Volumes &volumes, const DeduplicationMarks &marks) {
    NodeWriter nodes;
    std::string volume_bytes;
    for (const auto &[id, volume] : volumes) {
        append_value(volume_bytes, id.value);
        append_value(volume_bytes, nodes.write(volume.map.root.get()));
        append_value(volume_bytes, static_cast<std::uint32_t>(volume.map.height));
        append_value(volume_bytes, volume.source.value);
        append_value(volume_bytes, flags_of(volume));
        append_value(volume_bytes, volume.epoch);
        append_value(volume_bytes, volume.sealed_epoch);
    }

    std::string out;
    append_value(out, nodes.count());
    out += nodes.bytes();
    append_value(out, static_cast<std::uint32_t>(volumes.size()));
    out += volume_bytes;
    append_value(out, static_cast<std::uint32_t>(marks.size()));
    for (const auto &[mark, not_after] : marks.all())
        out += encode_mark({mark, not_after});
    return out;
}

CheckpointContent decode_checkpoint(std::string_view bytes, std::uint64_t capacity) {
    std::vector<ExtentNodePtr> nodes(1); // indexed by number; 0 is no node
    for (auto count = consume_value<std::uint32_t>(bytes); count > 0; --count)
        nodes.push_back(consume_node(bytes, nodes, capacity));

    CheckpointContent out;
    for (auto count = consume_value<std::uint32_t>(bytes); count > 0; --count) {
        VolumeId id{consume_value<std::uint64_t>(bytes)};
        out.volumes[id] = consume_volume(bytes, nodes);
    }
    for (auto count = consume_value<std::uint32_t>(bytes); count > 0; --count) {
        MarkRecord record = consume_mark(bytes);
        out.marks.add(record.mark, record.not_after);
    }
    return out;
}

} // namespace knotvane::store
