#include "edge/snapshot_participant.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::edge {

using control::SnapshotStep;

void SnapshotParticipant::hold(Time now, const SnapshotTarget &target, Time max_hold) {
    auto &volume = volumes_[target.volume];
    if (volume.missed_snapshot == target.snapshot)
        return step_done_(target.snapshot, SnapshotStep::hold_expired);
    if (target.epoch <= volume.epoch)
        return step_done_(target.snapshot, SnapshotStep::resumed); // a repeated message
    volume.hold = Hold{target.snapshot, target.epoch, now + max_hold};
    holding_.insert(target.volume);
    step_done_(target.snapshot, SnapshotStep::holding);
}

void SnapshotParticipant::resume(Time now, const SnapshotTarget &target) {
    auto &volume = volumes_[target.volume];
    bool held =
        volume.hold && volume.hold->snapshot == target.snapshot && now < volume.hold->expires_at;
    if (!held && (volume.missed_snapshot == target.snapshot || target.epoch > volume.epoch)) {
        give_up_snapshot(target.volume, volume, target.snapshot);
        return step_done_(target.snapshot, SnapshotStep::hold_expired);
    }
    if (held) {
        end_hold(target.volume, volume);
        volume.epoch = target.epoch;
        volume.draining = target.snapshot;
    }
    step_done_(target.snapshot, SnapshotStep::resumed);
    if (!held && volume.draining != target.snapshot)
        return step_done_(target.snapshot, SnapshotStep::drained);
    report_if_drained(volume);
}

void SnapshotParticipant::release(VolumeId volume, VolumeId snapshot) {
    if (auto it = volumes_.find(volume); it != volumes_.end())
        give_up_snapshot(volume, it->second, snapshot);
}

void SnapshotParticipant::planner_lost() {
    for (auto id : std::set<VolumeId>(holding_)) {
        auto &volume = volumes_.at(id);
        give_up_snapshot(id, volume, volume.hold->snapshot);
    }
}

std::uint32_t SnapshotParticipant::epoch(VolumeId volume) const {
    auto it = volumes_.find(volume);
    return it == volumes_.end() ? 0 : it->second.epoch;
}

std::uint32_t SnapshotParticipant::change_started(VolumeId id) {
    auto &volume = volumes_[id];
    ++volume.in_flight[volume.epoch];
    return volume.epoch;
}

void SnapshotParticipant::change_ended(VolumeId id, std::uint32_t epoch) {
    auto &volume = volumes_.at(id);
    auto it = volume.in_flight.find(epoch);
    if (--it->second == 0)
        volume.in_flight.erase(it);
    report_if_drained(volume);
}

void SnapshotParticipant::learn_epoch(VolumeId id, std::uint32_t epoch) {
    auto &volume = volumes_[id];
    if (epoch <= volume.epoch)
        return;
    volume.epoch = epoch;
    if (volume.hold && volume.hold->epoch <= epoch)
        end_hold(id, volume);
}

Time SnapshotParticipant::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (auto id : holding_)
        due = std::min(due, volumes_.at(id).hold->expires_at);
    return due;
}

void SnapshotParticipant::expire_holds(Time now) {
    for (auto id : std::set<VolumeId>(holding_)) {
        auto &volume = volumes_.at(id);
        if (now < volume.hold->expires_at)
            continue;
        auto snapshot = volume.hold->snapshot;
        give_up_snapshot(id, volume, snapshot);
        step_done_(snapshot, SnapshotStep::hold_expired);
    }
}

void SnapshotParticipant::end_hold(VolumeId id, Volume &volume) {
    volume.hold.reset();
    holding_.erase(id);
    released_.insert(id);
}

void SnapshotParticipant::give_up_snapshot(VolumeId id, Volume &volume, VolumeId snapshot) {
    volume.missed_snapshot = snapshot;
    if (volume.hold && volume.hold->snapshot == snapshot)
        end_hold(id, volume);
}

void SnapshotParticipant::report_if_drained(Volume &volume) {
    bool old_changes = !volume.in_flight.empty() && volume.in_flight.begin()->first < volume.epoch;
    if (volume.draining == VolumeId{} || old_changes)
        return;
    step_done_(std::exchange(volume.draining, VolumeId{}), SnapshotStep::drained);
}

} // namespace knotvane::edge
