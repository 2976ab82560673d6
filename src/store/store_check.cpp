// Verification of a store: recomputes all counts and checksums, and repairs nothing.
#include <array>
#include <set>

#include "store/store.hpp"

namespace knotvane::store {
namespace {

constexpr std::size_t max_findings = 100;

} // namespace

class Store::Checker {
public:
    explicit Checker(Store &store)
        : store_(store), references_(store.blocks_.references().size(), 0) {}

    std::vector<std::string> run() {
        for (const auto &[id, volume] : store_.volumes_)
            visit(volume.map.root, volume.map.height, 0, "volume " + std::to_string(id.value));
        for (const auto &dropped : store_.maps_.dropped())
            visit(dropped.node, dropped.level, 0, "a dropped volume");
        check_references();
        check_free_blocks();
        return std::move(findings_);
    }

private:
    void report(std::string finding) {
        if (findings_.size() < max_findings)
            findings_.push_back(std::move(finding));
    }

    // Visits each node once; findings name the first volume that refers to it.
    void visit(const ExtentNodePtr &node, int level, std::uint64_t first_block,
               const std::string &owner) {
        if (!node || !visited_.insert(node.get()).second)
            return;
        if ((level == 0) != node->children.empty())
            return report(owner + ": a node is on the wrong level of the tree");
        for (std::size_t i = 0; i < node->blocks.size(); ++i)
            visit_block(node->blocks[i], owner + ": block " + std::to_string(first_block + i));
        for (std::size_t i = 0; i < node->children.size(); ++i) {
            auto child_offset = std::uint64_t{i} << (fan_out_bits * static_cast<unsigned>(level));
            visit(node->children[i], level - 1, first_block + child_offset, owner);
        }
    }

    void visit_block(const BlockRef &ref, const std::string &name) {
        if (ref.is_hole())
            return;
        if (ref.slot >= references_.size())
            return report(name + " is stored beyond the end of the store");
        ++references_[ref.slot];
        std::array<char, block_size> buffer;
        if (!store_.load_block(ref, buffer.data()))
            report(name + " does not match its checksum");
    }

    void check_references() {
        const auto &counters = store_.blocks_.references();
        for (Slot slot = 1; slot < references_.size(); ++slot)
            if (references_[slot] != counters[slot])
                report("block " + std::to_string(slot) + " has " +
                       std::to_string(references_[slot]) + " references, but its counter says " +
                       std::to_string(counters[slot]));
    }

    void check_free_blocks() {
        if (!store_.blocks_.is_free_list_sound())
            report("a block is listed as free twice");
        auto free = store_.blocks_.free_slots();
        for (Slot slot = 1; slot < references_.size(); ++slot) {
            bool is_used = references_[slot] > 0;
            if (is_used && free.contains(slot))
                report("block " + std::to_string(slot) + " is in use and also listed as free");
            if (!is_used && !free.contains(slot))
                report("block " + std::to_string(slot) +
                       " is leaked: no tree refers to it and it is not listed as free");
        }
    }

    Store &store_;
    std::vector<std::uint32_t> references_; // recounted, by slot
    std::set<const ExtentNode *> visited_;
    std::vector<std::string> findings_;
};

std::vector<std::string> Store::check() {
    return Checker(*this).run();
}

void Store::flip_bit(VolumeId volume, std::uint64_t offset) {
    BlockRef ref = find(volume, offset / block_size);
    if (ref.is_hole())
        return;
    std::uint64_t position = block_position(ref.slot) + offset % block_size;
    char byte = 0;
    medium_.read(position, &byte, 1);
    byte = static_cast<char>(byte ^ 1);
    medium_.write(position, {&byte, 1});
}

} // namespace knotvane::store
