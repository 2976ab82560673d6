/// \file
/// Divides the limit of each volume among the edges that serve it. No I/O, no clock.
///
/// What edges may use never adds up to more than the whole limit: shares shrink first, and what a
/// reduced share frees is granted to others only once its edge has acknowledged the version with
/// the reduced share, or its lease has run out.
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
    /// One edge's part of one volume's limit.
    struct Holding {
        std::uint32_t share = 0; ///< the share sent to the edge
        std::uint32_t bound =
            0;               ///< the most that the edge may still use; never less than the share
        Version since;       ///< the version that set the share
        bool serves = false; ///< has a client of the volume
    };

    /// \param edge_lapsed  the edge's lease had run out
    void restore(VolumeId volume, EdgeId edge, const Holding &holding, bool edge_lapsed);

    /// After the store was lost: sets what unknown edges may be using of every volume's limit.
    void set_unknown_bound(std::uint32_t bound);

    /// The volume's first client connected to the edge, or its last one left.
    void set_served(VolumeId volume, EdgeId edge, bool serves);
    std::vector<VolumeId> volumes_served_by(EdgeId edge) const;

    /// The edge has applied this version.
    void acknowledged(EdgeId edge, Version version);

    /// The edge's lease has run out; it keeps a quarter of its shares.
    /// \return true if a share falls, which the next version announces. The edge must not get the
    ///         whole of any share back before it has applied that version.
    bool lapsed(EdgeId edge);

    /// The edge's lease was renewed.
    void renewed(EdgeId edge);

    /// The edge may use none of its shares any more.
    void forgotten(EdgeId edge);

    /// Recomputes the shares of the volumes in which something changed; the cost depends on these.
    /// \param version           the version that announces the new shares
    /// \param on_share_changed  called for each share that changes
    /// \param keep              called for each holding to be stored, or with null to be deleted
    void allocate(
        Version version,
        const std::function<void(VolumeId, EdgeId, const control::QuotaShare &)> &on_share_changed,
        const std::function<void(VolumeId, EdgeId, const Holding *)> &keep);

    /// The sum of the bounds of all edges.
    std::uint64_t bound(VolumeId volume) const;

    /// How many edges with a lease serve the volume.
    std::uint32_t sharers(VolumeId volume) const;
    bool is_lapsed(EdgeId edge) const { return lapsed_.contains(edge); }
    const std::map<VolumeId, std::map<EdgeId, Holding>> &holdings() const { return volumes_; }

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
    std::map<EdgeId, std::set<VolumeId>> unacknowledged_; // holdings whose bound exceeds the share
    std::set<VolumeId> changed_;
    std::set<EdgeId> lapsed_;
    std::map<std::pair<VolumeId, EdgeId>, control::QuotaShare> last_sent_;
    std::uint32_t unknown_bound_ = 0;
};

} // namespace knotvane::planner
