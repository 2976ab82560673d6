/// \file
/// An edge's part in a snapshot over several nodes, without I/O: determines in which epoch a
/// volume's changes begin, holds them back, and reports steps to the planner.
/// docs/design/snapshots.md explains why this is safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"

namespace knotvane::edge {

/// A snapshot that is being taken.
struct SnapshotTarget {
    /// The volume of which the snapshot is taken.
    VolumeId volume;
    /// The snapshot's own id.
    VolumeId snapshot;
    /// The volume's epoch after the snapshot.
    std::uint32_t epoch = 0;
};

/// Tracks the epochs and holds of all volumes. A change belongs as a whole to the epoch in which it
/// began, regardless of the number of its attempts and nodes.
class SnapshotParticipant {
public:
    using StepDone = std::function<void(VolumeId snapshot, control::SnapshotStep)>;

    /// @param step_done is called for each step, within the call that completes it.
    explicit SnapshotParticipant(StepDone step_done) : step_done_(std::move(step_done)) {}

    // Orders from the planner.

    /// Prevents changes of the volume from beginning for `max_hold`, or until resume or release.
    void hold(Time now, const SnapshotTarget &target, Time max_hold);
    /// Lets changes begin again, in the new epoch. If the hold has expired or there was none, the
    /// snapshot can't be consistent and the step is `hold_expired`.
    void resume(Time now, const SnapshotTarget &target);
    /// The planner gave up the snapshot: lets changes begin again, in the old epoch.
    void release(VolumeId volume, VolumeId snapshot);
    /// Ends all holds, because no resume will arrive. The planner treats this edge as one that has
    /// not held its changes.
    void planner_lost();

    // Events of changes.

    bool is_holding(VolumeId volume) const { return holding_.contains(volume); }
    std::uint32_t epoch(VolumeId volume) const;
    /// Call only while the volume isn't held.
    /// @return the epoch that the change belongs to.
    std::uint32_t change_started(VolumeId id);
    /// The client has its response or has disconnected. Attempts that are still in flight then
    /// belong to a failed change.
    void change_ended(VolumeId id, std::uint32_t epoch);
    /// Adopts a later epoch that is in force according to the cluster state or to a store that has
    /// taken its part of the snapshot.
    void learn_epoch(VolumeId id, std::uint32_t epoch);

    // Expiry of holds.

    /// @return when the next hold expires; the maximum of Time if there is none.
    Time next_due() const;
    void expire_holds(Time now);
    /// @return the volumes whose hold has ended since the last call.
    std::set<VolumeId> take_released() { return std::exchange(released_, {}); }

private:
    struct Hold {
        VolumeId snapshot;
        std::uint32_t epoch;
        Time expires_at;
    };
    struct Volume {
        std::uint32_t epoch = 0;
        std::optional<Hold> hold;
        VolumeId missed_snapshot{}; // the last one whose hold expired or was released
        VolumeId draining{};        // the snapshot whose drained step is still to be reported
        std::map<std::uint32_t, std::size_t> in_flight; // changes by the epoch they began in
    };

    void end_hold(VolumeId id, Volume &volume);
    void give_up_snapshot(VolumeId id, Volume &volume, VolumeId snapshot);
    void report_if_drained(Volume &volume);

    StepDone step_done_;
    std::map<VolumeId, Volume> volumes_;
    std::set<VolumeId> holding_;
    std::set<VolumeId> released_;
};

} // namespace knotvane::edge
