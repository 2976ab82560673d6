// Snapshots and clones of a store.
#include <algorithm>

#include "store/store.hpp"

namespace knotvane::store {
namespace {

// Copies are refused while less than a tenth of the blocks is free. That reserve is for writes,
// which need new blocks wherever the old ones are shared with a copy.
constexpr std::uint64_t reserve_divisor = 10;

} // namespace

SnapshotResult Store::take_snapshot(VolumeId source, VolumeId snapshot) {
    auto result = make_copy({.source = source, .copy = snapshot, .is_frozen = true});
    if (result == SnapshotResult::created)
        flush();
    return result;
}

SnapshotResult Store::clone(VolumeId source, VolumeId copy) {
    auto result = make_copy({.source = source, .copy = copy});
    if (result == SnapshotResult::created)
        flush();
    return result;
}

SnapshotResult Store::open_snapshot(VolumeId source, VolumeId snapshot, std::uint32_t epoch) {
    return make_copy({.source = source, .copy = snapshot, .is_open = true, .epoch = epoch});
}

SnapshotResult Store::make_copy(const CopyRecord &copy) {
    if (copy.source == copy.copy)
        return SnapshotResult::id_taken;
    if (contains(copy.copy))
        return existing_copy_result(copy);
    if (has_failed_)
        return SnapshotResult::medium_failed;
    // Guards against a planner that reuses an epoch: changes of this epoch may already exist both
    // in the snapshot and after it.
    if (copy.is_open && copy.epoch <= epoch(copy.source))
        return SnapshotResult::id_taken;
    std::uint64_t free = capacity() - std::min(blocks_used(), capacity());
    if (free < capacity() / reserve_divisor)
        return SnapshotResult::no_space;

    auto kind = copy.is_open ? RecordKind::open_snapshot : RecordKind::copy;
    if (!try_append(kind, encode_copy(copy)))
        return SnapshotResult::medium_failed;
    apply_copy(copy);
    return SnapshotResult::created;
}

// The result of an order to create a copy whose id already exists.
SnapshotResult Store::existing_copy_result(const CopyRecord &copy) const {
    const Volume &existing = volumes_.at(copy.copy);
    bool is_same = existing.is_copy && existing.source == copy.source &&
                   existing.is_frozen == copy.is_frozen && existing.is_open == copy.is_open;
    return is_same ? SnapshotResult::already_exists : SnapshotResult::id_taken;
}

// Does nothing if the copy already exists.
void Store::apply_copy(const CopyRecord &copy) {
    if (contains(copy.copy))
        return;
    Volume &source = volumes_[copy.source]; // created as a volume of holes if it was never written
    Volume created;
    created.map = source.map;
    created.source = copy.source;
    created.is_copy = true;
    created.is_frozen = copy.is_frozen;
    created.is_open = copy.is_open;
    if (copy.is_open)
        source.epoch = std::max(source.epoch, copy.epoch);
    volumes_[copy.copy] = std::move(created);
}

bool Store::seal_snapshot(VolumeId snapshot) {
    auto it = volumes_.find(snapshot);
    if (has_failed_ || it == volumes_.end())
        return false;
    if (it->second.is_open) {
        if (!try_append(RecordKind::seal_snapshot, encode_volume(snapshot)))
            return false;
        apply_seal(snapshot);
    }
    flush();
    return it->second.is_frozen;
}

void Store::apply_seal(VolumeId snapshot) {
    Volume &sealed = volumes_[snapshot];
    sealed.is_open = false;
    sealed.is_frozen = true;
    Volume &source = volumes_[sealed.source];
    source.sealed_epoch = source.epoch;
}

bool Store::drop(VolumeId volume) {
    if (has_failed_ || !contains(volume))
        return false;
    if (!try_append(RecordKind::drop, encode_volume(volume)))
        return false;
    apply_drop(volume);
    flush();
    return true;
}

// Does nothing if the volume does not exist.
void Store::apply_drop(VolumeId volume) {
    auto it = volumes_.find(volume);
    if (it == volumes_.end())
        return;
    maps_.drop(std::move(it->second.map));
    volumes_.erase(it);
}

bool Store::is_frozen(VolumeId volume) const {
    auto it = volumes_.find(volume);
    return it != volumes_.end() && it->second.is_frozen;
}

std::vector<VolumeId> Store::snapshots() const {
    std::vector<VolumeId> out;
    for (const auto &[id, volume] : volumes_)
        if (volume.is_copy)
            out.push_back(id);
    return out;
}

std::optional<VolumeId> Store::open_snapshot_of(VolumeId source) const {
    // A linear search is enough: a store has about a dozen snapshots, and only late changes need
    // this.
    for (const auto &[id, volume] : volumes_)
        if (volume.is_open && volume.source == source)
            return id;
    return std::nullopt;
}

std::uint32_t Store::epoch(VolumeId volume) const {
    auto it = volumes_.find(volume);
    return it == volumes_.end() ? 0 : it->second.epoch;
}

std::uint32_t Store::sealed_epoch(VolumeId volume) const {
    auto it = volumes_.find(volume);
    return it == volumes_.end() ? 0 : it->second.sealed_epoch;
}

} // namespace knotvane::store
