/// \file
/// How the limit of each volume is shared among the edges that serve it. No I/O, no clock.
///
/// What edges may use never adds up to more than the whole limit: shares shrink first, and what a
/// shrunk share set free is given out once its edge has acknowledged the version that told it of
/// less, or its lease on more has run out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Version;

/// Shares and bounds are millionths of a volume's limit.
class QuotaAllocation {
public:
    /// What one edge has of one volume's limit.
    struct Holding {
        std::uint32_t share = 0; ///< what it is told
        std::uint32_t bound = 0; ///< what it may still go by: never less than the share
        Version since;           ///< the version that told the share
        bool serves = false;     ///< has a client of the volume
    };

    /// \param edge_lapsed  the edge's lease had run out
    void restore(VolumeId volume, EdgeId edge, const Holding &holding, bool edge_lapsed);

    /// After the store was lost: what edges may go by that are not known here, in every volume.
    void set_unknown_bound(std::uint32_t bound);

    /// The volume's first client came to the edge, or its last one left.
    void serve(VolumeId volume, EdgeId edge, bool serves);
    std::vector<VolumeId> served_by(EdgeId edge) const;

    /// The edge goes by this version.
    void acknowledged(EdgeId edge, Version version);

    /// The edge's lease has run out; a quarter of its shares is left to it.
    /// \return true where a share falls, which the next version tells. The edge must not have the
    ///         whole of any share again before it goes by all that was told until then.
    bool lapsed(EdgeId edge);

    /// The edge's lease was renewed.
    void renewed(EdgeId edge);

    /// The edge may use none of its shares any more.
    void forgotten(EdgeId edge);

    /// Shares out what is due. Costs by the volumes in which something changed.
    /// \param version  the version that tells the new shares
    /// \param tell     called for each share that changes
    /// \param keep     called for each holding to be stored, or with null to be dropped
    void allocate(
        Version version,
        const std::function<void(VolumeId, EdgeId, const control::QuotaShare &)> &on_share_changed,
        const std::function<void(VolumeId, EdgeId, const Holding *)> &keep);

    /// What all edges together may go by.
    std::uint64_t bound(VolumeId volume) const;

    /// How many edges with a lease serve the volume.
    std::uint32_t sharers(VolumeId volume) const;
    bool is_lapsed(EdgeId edge) const { return lapsed_.contains(edge); }
    const std::map<VolumeId, std::map<EdgeId, Holding>> &all() const { return volumes_; }

private:
    using Holdings = std::map<EdgeId, Holding>;

    bool shares(EdgeId edge, const Holding &holding) const {
        return holding.serves && !is_lapsed(edge);
    }
    std::uint32_t shrink(Holdings &holdings, std::uint32_t sharers, Version version) const;
    void grow(Holdings &holdings, std::uint32_t even_share, Version version) const;
    void forget(VolumeId volume, EdgeId edge);

    std::map<VolumeId, Holdings> volumes_;
    std::map<EdgeId, std::set<VolumeId>> of_edge_;
    std::map<EdgeId, std::set<VolumeId>> unacknowledged_; // holdings whose bound is past the share
    std::set<VolumeId> changed_;
    std::set<EdgeId> lapsed_;
    std::map<std::pair<VolumeId, EdgeId>, control::QuotaShare> last_sent_;
    std::uint32_t unknown_bound_ = 0;
};

} // namespace knotvane::planner
