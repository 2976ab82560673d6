/// \file
/// An edge's side of a snapshot over many nodes, without I/O: which epoch a volume's changes begin
/// in, when none may begin, and what the planner is told. docs/design/snapshots.md says why it is
/// safe.
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
    /// The volume that it is taken of.
    VolumeId volume;
    /// The snapshot's own id.
    VolumeId snapshot;
    /// The volume's epoch after it.
    std::uint32_t epoch = 0;
};

/// A change belongs to the epoch in which it began, as a whole, however many attempts and nodes it
/// takes.
class SnapshotParticipant {
public:
    using StepDone = std::function<void(VolumeId snapshot, control::SnapshotStep)>;

    /// @param step_done is called for each step, within the call that completes it.
    explicit SnapshotParticipant(StepDone step_done) : step_done_(std::move(step_done)) {}

    // From the planner.

    /// No change of the volume begins for `max_hold`, or until resume or release.
    void hold(Time now, const SnapshotTarget &target, Time max_hold);
    /// Changes begin again, in the new epoch. Where the hold has expired, or never was, the
    /// snapshot can't be consistent and the step is `hold_expired`.
    void resume(Time now, const SnapshotTarget &target);
    /// The snapshot was given up: changes begin again, in the old epoch.
    void release(VolumeId volume, VolumeId snapshot);
    /// Ends all holds: nobody will resume them, and the planner takes this edge for one that has
    /// not stopped.
    void planner_lost();

    // Of changes.

    bool is_holding(VolumeId volume) const { return holding_.contains(volume); }
    std::uint32_t epoch(VolumeId volume) const;
    /// Call only while the volume isn't held.
    /// @return the epoch that the change belongs to.
    std::uint32_t change_started(VolumeId id);
    /// The client has its answer or is gone. Attempts that are still in flight belong to a change
    /// that failed.
    void change_ended(VolumeId id, std::uint32_t epoch);
    /// A later epoch is in force: the cluster state says so, or a store that has sealed its
    /// snapshot.
    void learn_epoch(VolumeId id, std::uint32_t epoch);

    // Of time.

    /// When the next hold expires; the largest Time if none.
    Time next_due() const;
    void expire_holds(Time now);
    /// Volumes whose hold has ended since the last call.
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
        VolumeId missed_snapshot{};                     // the last snapshot taken without this edge
        VolumeId draining{};                            // whose drained step is still to come
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
