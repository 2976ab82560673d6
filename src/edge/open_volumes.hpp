/// \file
/// The volumes that clients have open at this edge, and the state that defines them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "control/cluster_state.hpp"
#include "edge/config.hpp"
#include "edge/shell.hpp"
#include "edge/snapshot_participant.hpp"
#include "edge/unflushed_writes.hpp"
#include "nbd/request_handler.hpp"

namespace knotvane::edge {

/// A volume that is or was open at this edge.
struct OpenVolume {
    VolumeId id;
    PlanId plan;
    /// Number of edges that share its limit.
    std::uint32_t sharers = 1;
    std::size_t clients = 0;
    UnflushedWrites unflushed;
    /// The volume whose id determines the shards of its extents.
    VolumeId layout_volume;
    /// The volume against whose limit its requests are counted.
    VolumeId quota_volume;
    /// Whether it is a snapshot or a clone.
    bool is_snapshot = false;
    /// Whether it is a snapshot or a clone that no longer exists.
    bool dropped = false;
    /// Spans that were written in written_epoch: the volume no longer shares their blocks with a
    /// snapshot.
    std::vector<bool> written_spans;
    std::uint32_t written_epoch = 0;

    /// Records a write to a span.
    /// @return whether it is the span's first write in written_epoch.
    bool note_write(std::size_t span);
};

/// Keeps open volumes up to date with the cluster state. The cost of an update depends on the
/// number of volumes that are or were open here, not on the number that exist.
class OpenVolumes {
public:
    /// @param shell is notified which volumes are in use.
    /// @param snapshots is notified of epochs; both must outlive this.
    OpenVolumes(Shell &shell, SnapshotParticipant &snapshots)
        : shell_(shell), snapshots_(snapshots) {}

    /// Takes the volumes from this state from now on, instead of from add_volume.
    /// @param state must outlive this.
    void follow(const control::ClusterState &state) { state_ = &state; }
    void add_volume(VolumeId id, const VolumeConfig &config);
    /// Must be called after each change of the followed state.
    void update();

    std::vector<std::string> names() const;
    /// @param name empty for the first volume by name that is neither a snapshot nor a clone, as
    /// those come and go.
    std::optional<VolumeId> find(std::string_view name) const;
    /// @param id of a volume that exists.
    nbd::ExportInfo export_info(VolumeId id, std::uint32_t max_request_bytes) const;
    /// Whether the volume has this name.
    bool is_named(VolumeId volume, const std::string &name) const;

    /// Registers a client that opens the volume.
    /// @return a reference that stays valid as long as this object.
    OpenVolume &open(VolumeId id);
    /// Registers that a client has closed the volume.
    void close(OpenVolume &volume);
    /// @param id of a volume that is or was open here.
    OpenVolume &at(VolumeId id) { return volumes_.at(id); }

private:
    void refresh(OpenVolume &volume);
    void acquire(VolumeId id);
    void release(VolumeId id);

    Shell &shell_;
    SnapshotParticipant &snapshots_;
    control::ClusterState configured_; // volumes from add_volume
    const control::ClusterState *state_ = &configured_;
    std::map<VolumeId, OpenVolume> volumes_;
    // Number of open volumes that need each volume's quota share: itself, and its snapshots and
    // clones.
    std::map<VolumeId, std::size_t> use_counts_;
};

} // namespace knotvane::edge
