#include "edge/open_volumes.hpp"

#include <algorithm>
#include <utility>

#include "nbd/wire.hpp"

namespace knotvane::edge {
namespace {

/// The block size that clients are advised to use.
constexpr std::uint32_t preferred_block_bytes = 4096;

} // namespace

bool OpenVolume::note_write(std::size_t span) {
    if (written_spans.size() <= span)
        written_spans.resize(span + 1);
    bool is_first = !written_spans[span];
    written_spans[span] = true;
    return is_first;
}

void OpenVolumes::add_volume(VolumeId id, const VolumeConfig &config) {
    control::Volume volume;
    volume.name = config.name;
    volume.size = config.size_bytes;
    volume.alignment_bytes = config.alignment_bytes;
    volume.plan = config.plan;
    configured_.put(id, std::move(volume));
    configured_.put(
        id, control::QuotaShare{control::full_limit_millionths / config.sharers, config.sharers});
}

void OpenVolumes::update() {
    for (auto &[id, volume] : volumes_)
        refresh(volume);
}

void OpenVolumes::refresh(OpenVolume &volume) {
    if (volume.quota_volume == VolumeId{}) {
        volume.quota_volume = volume.id;
        volume.layout_volume = volume.id;
    }
    auto it = state_->volumes.find(volume.id);
    if (it != state_->volumes.end()) {
        const auto &known = it->second;
        volume.plan = known.plan;
        volume.layout_volume = known.resolve_layout_volume(volume.id);
        volume.quota_volume = known.resolve_quota_volume(volume.id);
        volume.is_snapshot = known.is_snapshot_or_clone();
        volume.dropped = false;
        // A volume that is charged to its source uses the source's current plan.
        if (auto quota_owner = state_->volumes.find(volume.quota_volume);
            quota_owner != state_->volumes.end())
            volume.plan = quota_owner->second.plan;
        snapshots_.learn_epoch(volume.id, known.epoch);
    } else {
        // A removed volume stays unchanged for the clients that have it open, but the bytes of a
        // removed snapshot or clone no longer exist.
        volume.dropped = volume.is_snapshot;
    }
    if (auto share = state_->quota_shares.find(volume.quota_volume);
        share != state_->quota_shares.end())
        volume.sharers = std::max(1u, share->second.sharers);
}

std::vector<std::string> OpenVolumes::names() const {
    std::vector<std::string> names;
    for (const auto &[name, id] : state_->names)
        names.push_back(name);
    return names;
}

std::optional<VolumeId> OpenVolumes::find(std::string_view name) const {
    const auto &names = state_->names;
    auto it = names.find(name);
    if (name.empty())
        it = std::find_if(names.begin(), names.end(), [&](const auto &entry) {
            return !state_->volumes.at(entry.second).is_snapshot_or_clone();
        });
    if (it == names.end())
        return std::nullopt;
    return it->second;
}

bool OpenVolumes::is_named(VolumeId volume, const std::string &name) const {
    auto it = state_->names.find(name);
    return it != state_->names.end() && it->second == volume;
}

nbd::ExportInfo OpenVolumes::export_info(VolumeId id, std::uint32_t max_request_bytes) const {
    const auto &volume = state_->volumes.at(id);
    std::uint16_t flags = nbd::flag_send_flush | nbd::flag_send_fua | nbd::flag_send_trim |
                          nbd::flag_send_write_zeroes | nbd::flag_send_df | nbd::flag_send_cache;
    // A flush covers all writes of this edge, on any of its connections. It does not cover writes
    // of other edges, so several connections are offered only if no other edge uses the volume.
    auto share = state_->quota_shares.find(id);
    if (share != state_->quota_shares.end() && share->second.sharers == 1)
        flags |= nbd::flag_can_multi_conn;
    if (volume.frozen)
        flags = nbd::flag_read_only | nbd::flag_send_flush | nbd::flag_send_df |
                nbd::flag_send_cache | nbd::flag_can_multi_conn;
    return {volume.size, flags, {volume.alignment_bytes, preferred_block_bytes, max_request_bytes}};
}

OpenVolume &OpenVolumes::open(VolumeId id) {
    auto &volume = volumes_[id];
    volume.id = id;
    refresh(volume);
    if (++volume.clients == 1) {
        acquire(id);
        if (volume.quota_volume != id)
            acquire(volume.quota_volume);
    }
    return volume;
}

void OpenVolumes::close(OpenVolume &volume) {
    if (--volume.clients > 0)
        return;
    release(volume.id);
    if (volume.quota_volume != volume.id)
        release(volume.quota_volume);
}

// The planner grants shares of a volume's limit only to the edges that use the volume. A snapshot
// or clone that is charged to another volume therefore counts as a use of that volume, too.
void OpenVolumes::acquire(VolumeId id) {
    if (++use_counts_[id] == 1)
        shell_.volume_used(id, true);
}

void OpenVolumes::release(VolumeId id) {
    if (--use_counts_[id] > 0)
        return;
    shell_.volume_used(id, false);
    use_counts_.erase(id);
}

} // namespace knotvane::edge
