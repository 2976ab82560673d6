// An edge's side of a cut over many nodes, without I/O: which epoch a volume's changes begin in,
// when none may begin, and what is told of it. docs/design/snapshots.md says why it is safe.
//
// A change belongs to the epoch in which it began, as a whole, however many shots and nodes it
// takes.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "control/cluster_state.hpp"

namespace knotvane::edge {

class SnapshotParticipant {
public:
    using Tell = std::function<void(VolumeId as, control::SnapshotStep)>;
    explicit SnapshotParticipant(Tell tell) : tell_(std::move(tell)) {}

    // ---- From the planner.
    // No change of the volume begins for so long, or until go or release.
    void hold(Time now, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) {
        auto &v = volumes_[of];
        if (v.lapsed == as)
            return tell_(as, control::SnapshotStep::lapsed);
        if (epoch <= v.epoch)
            return tell_(as, control::SnapshotStep::moved); // said again
        v.hold = Hold{as, epoch, now + longest};
        held_.insert(of);
        tell_(as, control::SnapshotStep::ready);
    }
    // Changes begin again, in the new epoch; where the hold has run out, or never was, the cut
    // can't be whole.
    void go(Time now, VolumeId of, VolumeId as, std::uint32_t epoch) {
        auto &v = volumes_[of];
        bool held = v.hold && v.hold->as == as && now < v.hold->until;
        if (!held && (v.lapsed == as || epoch > v.epoch)) {
            lapse(of, v, as);
            return tell_(as, control::SnapshotStep::lapsed);
        }
        if (held) {
            end_hold(of, v);
            v.epoch = epoch, v.draining = as;
            tell_(as, control::SnapshotStep::moved);
        } else {
            tell_(as, control::SnapshotStep::moved);
            if (v.draining != as)
                return tell_(as, control::SnapshotStep::drained);
        }
        look(v);
    }
    void release(VolumeId of, VolumeId as) {
        if (auto it = volumes_.find(of); it != volumes_.end())
            lapse(of, it->second, as);
    }
    // The word with the planner is lost: nobody will say go, and it takes this edge for one that
    // has not stopped.
    void alone() {
        for (auto of : std::set<VolumeId>(held_))
            lapse(of, volumes_.at(of), volumes_.at(of).hold->as);
    }

    // ---- Of changes.
    bool holding(VolumeId volume) const { return held_.contains(volume); }
    std::uint32_t epoch(VolumeId volume) const {
        auto it = volumes_.find(volume);
        return it == volumes_.end() ? 0 : it->second.epoch;
    }
    // One begins; gives its epoch. Not while holding.
    std::uint32_t begins(VolumeId volume) {
        auto &v = volumes_[volume];
        ++v.at_work[v.epoch];
        return v.epoch;
    }
    // One is over: its client has its answer or is gone. What is still under way of it is of one
    // that failed.
    void over(VolumeId volume, std::uint32_t epoch) {
        auto &v = volumes_.at(volume);
        auto it = v.at_work.find(epoch);
        if (--it->second == 0)
            v.at_work.erase(it);
        look(v);
    }
    // A later epoch is in force: facts say so, or a store that has sealed its cut.
    void learn(VolumeId volume, std::uint32_t epoch) {
        auto &v = volumes_[volume];
        if (epoch <= v.epoch)
            return;
        v.epoch = epoch;
        if (v.hold && v.hold->epoch <= epoch)
            end_hold(volume, v);
    }

    // ---- Time.
    Time next_due() const {
        Time due = std::numeric_limits<Time>::max();
        for (auto of : held_)
            due = std::min(due, volumes_.at(of).hold->until);
        return due;
    }
    void tick(Time now) {
        for (auto of : std::set<VolumeId>(held_)) {
            auto &v = volumes_.at(of);
            if (now < v.hold->until)
                continue;
            auto as = v.hold->as;
            lapse(of, v, as);
            tell_(as, control::SnapshotStep::lapsed);
        }
    }
    // Volumes whose hold has ended since this was last asked.
    std::set<VolumeId> take_released() { return std::exchange(released_, {}); }

private:
    struct Hold {
        VolumeId as;
        std::uint32_t epoch;
        Time until;
    };
    struct Volume {
        std::uint32_t epoch = 0;
        std::optional<Hold> hold;
        VolumeId lapsed{}, draining{}; // the last cut that went without this edge; one to tell of
        std::map<std::uint32_t, std::size_t> at_work; // changes, by the epoch they began in
    };
    void end_hold(VolumeId of, Volume &v) {
        v.hold.reset();
        held_.erase(of);
        released_.insert(of);
    }
    void lapse(VolumeId of, Volume &v, VolumeId as) {
        v.lapsed = as;
        if (v.hold && v.hold->as == as)
            end_hold(of, v);
    }
    void look(Volume &v) {
        if (v.draining == VolumeId{} || (!v.at_work.empty() && v.at_work.begin()->first < v.epoch))
            return;
        tell_(std::exchange(v.draining, VolumeId{}), control::SnapshotStep::drained);
    }

    Tell tell_;
    std::map<VolumeId, Volume> volumes_;
    std::set<VolumeId> held_, released_;
};

} // namespace knotvane::edge
