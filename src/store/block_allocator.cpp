#include "store/block_allocator.hpp"

#include <algorithm>
#include <utility>

namespace knotvane::store {

void BlockAllocator::reset() {
    used_ = 0;
    references_.assign(1, 0);
    free_.clear();
    released_.clear();
    released_earlier_.clear();
}

Slot BlockAllocator::allocate() {
    if (!free_.empty()) {
        Slot slot = free_.back();
        free_.pop_back();
        return slot;
    }
    if (references_.size() > capacity_)
        return no_slot;
    references_.push_back(0);
    return static_cast<Slot>(references_.size() - 1);
}

void BlockAllocator::free_unused(const std::vector<Slot> &slots) {
    free_.insert(free_.end(), slots.begin(), slots.end());
}

bool BlockAllocator::needs_flush() const {
    return free_.empty() && references_.size() > capacity_ &&
           !(released_.empty() && released_earlier_.empty());
}

void BlockAllocator::add_reference(Slot slot) {
    if (references_.size() <= slot)
        references_.resize(slot + 1);
    if (references_[slot]++ == 0)
        ++used_;
}

void BlockAllocator::remove_reference(Slot slot) {
    if (--references_[slot] > 0)
        return;
    --used_;
    released_.push_back(slot);
}

void BlockAllocator::on_flush() {
    free_.insert(free_.end(), released_earlier_.begin(), released_earlier_.end());
    released_earlier_ = std::exchange(released_, {});
}

void BlockAllocator::on_checkpoint() {
    for (auto *released : {&released_earlier_, &released_}) {
        free_.insert(free_.end(), released->begin(), released->end());
        released->clear();
    }
}

void BlockAllocator::set_references(std::vector<std::uint32_t> references) {
    references_ = std::move(references);
    used_ = 0;
    free_.clear();
    released_.clear();
    released_earlier_.clear();
    for (Slot slot = 1; slot < references_.size(); ++slot) {
        if (references_[slot] > 0)
            ++used_;
        else
            free_.push_back(slot);
    }
}

std::uint64_t BlockAllocator::available() const {
    std::uint64_t never_used = capacity_ - std::min(capacity_, references_.size() - 1);
    return free_.size() + released_.size() + released_earlier_.size() + never_used;
}

std::set<Slot> BlockAllocator::free_slots() const {
    std::set<Slot> out(free_.begin(), free_.end());
    out.insert(released_.begin(), released_.end());
    out.insert(released_earlier_.begin(), released_earlier_.end());
    return out;
}

bool BlockAllocator::is_free_list_sound() const {
    return free_slots().size() == free_.size() + released_.size() + released_earlier_.size();
}

std::size_t BlockAllocator::memory_bytes() const {
    std::size_t free_capacity =
        free_.capacity() + released_.capacity() + released_earlier_.capacity();
    return references_.capacity() * sizeof(std::uint32_t) + free_capacity * sizeof(Slot);
}

} // namespace knotvane::store
