/// \file
/// The volumes that clients have open at this edge, and where volumes are known from.
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

/// A volume that has or had a client.
struct OpenVolume {
    VolumeId id;
    PlanId plan;
    /// Edges that share its limit.
    std::uint32_t sharers = 1;
    std::size_t clients = 0;
    UnflushedWrites unflushed;
    /// The volume by whose id its bytes are placed.
    VolumeId layout_volume;
    /// The volume whose limit its requests count against.
    VolumeId quota_volume;
    /// A snapshot or a clone.
    bool is_snapshot = false;
    /// A snapshot or a clone that doesn't exist any more.
    bool dropped = false;
    /// Spans written in written_epoch: their blocks are the volume's own.
    std::vector<bool> written_spans;
    std::uint32_t written_epoch = 0;

    /// Notes a write to a span.
    /// @return whether it is the first in this epoch.
    bool note_write(std::size_t span);
};

/// Follows the cluster state. The time of an update goes by the volumes that are open here, not by
/// those that exist.
class OpenVolumes {
public:
    /// @param shell is told which volumes are in use.
    /// @param snapshots is told of epochs; both must outlive this.
    OpenVolumes(Shell &shell, SnapshotParticipant &snapshots)
        : shell_(shell), snapshots_(snapshots) {}

    /// Volumes come from this state from now on; else from add_volume.
    /// @param state must outlive this.
    void follow(const control::ClusterState &state) { state_ = &state; }
    void add_volume(VolumeId id, const VolumeConfig &config);
    /// The state that is followed has changed.
    void update();

    std::vector<std::string> names() const;
    /// @param name empty for the first volume by name that is neither a snapshot nor a clone, as
    /// those come and go.
    std::optional<VolumeId> find(std::string_view name) const;
    /// @param id of a volume that exists.
    nbd::ExportInfo export_info(VolumeId id, std::uint32_t max_request_bytes) const;
    /// Whether the volume has this name.
    bool is_named(VolumeId volume, const std::string &name) const;

    /// A client opens it.
    /// @return valid as long as this.
    OpenVolume &open(VolumeId id);
    /// A client closes it.
    void close(OpenVolume &volume);
    /// @param id of a volume that has or had a client.
    OpenVolume &at(VolumeId id) { return volumes_.at(id); }

private:
    void refresh(OpenVolume &volume);
    void acquire(VolumeId id);
    void release(VolumeId id);

    Shell &shell_;
    SnapshotParticipant &snapshots_;
    control::ClusterState configured_; // volumes of the settings
    const control::ClusterState *state_ = &configured_;
    std::map<VolumeId, OpenVolume> volumes_;
    // Clients of each volume and of each that is charged for others.
    std::map<VolumeId, std::size_t> users_;
};

} // namespace knotvane::edge
