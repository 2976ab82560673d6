// How the limit of each volume is parted among the edges that serve it, and handed over so that
// what edges may use never adds past the whole: parts shrink first, and what a shrunk part set free
// is given out once its edge has said that it goes by less, or its right to more has run out. No
// I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Version;

class QuotaAllocation {
public:
    // An edge's part, and what it may still go by: never less than the part.
    struct Hold {
        std::uint32_t part = 0, bound = 0;
        Version since;       // the version that told the part
        bool serves = false; // has a client of the volume
    };

    // A hold as the store has it.
    void restore(VolumeId volume, EdgeId edge, std::uint32_t part, std::uint32_t bound,
                 Version since, bool serves, bool lapsed);
    // What others than the known holders may go by in every volume, after a store was lost.
    void unknown(std::uint32_t bound);

    void serve(VolumeId volume, EdgeId edge, bool on);
    std::vector<VolumeId> served_by(EdgeId edge) const;
    // The edge goes by this version.
    void acked(EdgeId edge, Version version);
    // The edge's right to its parts has run out for all but a piece. With an answer of true a part
    // falls, which the next version tells. It must not have the whole of any part again before it
    // goes by all told until then.
    bool lapsed(EdgeId edge);
    void back(EdgeId edge);
    // ... for all of them.
    void forgotten(EdgeId edge);

    // Parts out what is due; `version` tells it. Calls for each part that changes, and for each
    // hold to be kept. Volumes' cost only where something changed.
    void allocate(Version version,
                  const std::function<void(VolumeId, EdgeId, const control::QuotaShare &)> &tell,
                  const std::function<void(VolumeId, EdgeId, const Hold *)> &keep);
    // What all edges together may go by.
    std::uint64_t bound(VolumeId volume) const;
    std::uint32_t sharers(VolumeId volume) const;
    // The edge's right ran out; it has a piece of what it had.
    bool is_lapsed(EdgeId edge) const { return lapsed_.contains(edge); }
    const std::map<VolumeId, std::map<EdgeId, Hold>> &all() const { return volumes_; }

private:
    void share(VolumeId volume, std::map<EdgeId, Hold> &holds, Version version);

    std::map<VolumeId, std::map<EdgeId, Hold>> volumes_;
    std::map<EdgeId, std::set<VolumeId>> of_edge_;
    std::map<EdgeId, std::set<VolumeId>> unsettled_; // holds whose bound is past the part
    std::set<VolumeId> dirty_;
    std::set<EdgeId> lapsed_;
    std::map<std::pair<VolumeId, EdgeId>, control::QuotaShare> told_;
    std::uint32_t unknown_ = 0;
};

} // namespace knotvane::planner
