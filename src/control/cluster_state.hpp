/// \file
/// What the planner knows of the cluster: nodes, plans, volumes, and quota shares as one edge sees
/// them. Plain data, no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"
#include "control/ids.hpp"
#include "control/snapshot_types.hpp"

namespace knotvane::control {

/// The full rate limit of a volume, in millionths. Quota shares are integer millionths so that the
/// shares of all edges add up exactly, without rounding.
inline constexpr std::uint32_t full_limit_millionths = 1'000'000;

/// A storage node.
struct Node {
    std::string address;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    Time started = 0;              ///< start of its process, by the planner's clock
    std::uint64_t incarnation = 0; ///< of its process; another with each start
    bool operator==(const Node &) const = default;
};

/// What a tenant has booked. Rates are in units per second, `burst` in units.
struct Plan {
    std::string name;
    double weight = 1;        ///< of its unreserved work, relative to other plans
    double expected_rate = 0; ///< rate expected in normal operation
    double reserved_rate = 0; ///< rate guaranteed ahead of all other plans
    double price = 1;         ///< value of one unit served
    double rate_limit = 0;    ///< 0: unlimited
    double burst = 0;         ///< units that may arrive at once in excess of the limit
    bool operator==(const Plan &) const = default;
};

/// A volume, a snapshot or a clone.
struct Volume {
    std::string name;
    std::uint64_t size = 0;              ///< bytes
    std::uint32_t alignment_bytes = 512; ///< requests start and end at multiples of it
    PlanId plan;
    VolumeId layout_volume{}; ///< the volume whose data layout it uses; 0: itself
    VolumeId quota_volume{};  ///< the volume whose quota its requests count against; 0: itself
    VolumeId source{};        ///< of a snapshot or clone; 0: it is neither
    std::uint32_t epoch = 0;  ///< increases with every snapshot of it
    bool frozen = false;      ///< read-only, as every snapshot is
    Time created_at = 0;      ///< of a snapshot or clone, by the planner's clock
    bool operator==(const Volume &) const = default;

    /// The volume whose data layout this one uses.
    /// \param self  the id of this volume
    VolumeId resolve_layout_volume(VolumeId self) const {
        return layout_volume.value ? layout_volume : self;
    }

    /// The volume whose quota share requests of this one use.
    /// \param self  the id of this volume
    VolumeId resolve_quota_volume(VolumeId self) const {
        return quota_volume.value ? quota_volume : self;
    }

    bool is_snapshot_or_clone() const { return source.value != 0; }
};

/// One edge's share of a volume's limit.
struct QuotaShare {
    std::uint32_t millionths = 0; ///< of the limit
    std::uint32_t sharers = 0;    ///< edges that serve the volume; 0 where this edge does not
    bool operator==(const QuotaShare &) const = default;
};

/// The cluster as one edge sees it.
struct ClusterState {
    std::map<NodeId, Node> nodes;
    std::map<PlanId, Plan> plans;
    std::map<VolumeId, Volume> volumes;
    std::map<std::string, VolumeId, std::less<>> names; ///< of volumes
    std::map<VolumeId, QuotaShare> quota_shares;        ///< of this edge

    void put(NodeId id, Node node) { nodes[id] = std::move(node); }
    void put(PlanId id, Plan plan) { plans[id] = std::move(plan); }
    void put(VolumeId id, Volume volume);
    void put(VolumeId id, QuotaShare share) { quota_shares[id] = share; }
    void drop(NodeId id) { nodes.erase(id); }
    void drop(PlanId id) { plans.erase(id); }
    void drop_volume(VolumeId id);
    void drop_quota_share(VolumeId id) { quota_shares.erase(id); }
};

/// The millionths of a quota share that may be used once its lease has run out: all of them up to
/// then, a quarter for `fade`, then none. Edges use it for what they serve, the planner for what
/// it may give to others; both must count the same.
/// \param past_lease  time since the lease ran out; 0 or less while it holds
/// \param fade        how long a quarter stays usable
std::uint32_t usable_millionths(std::uint32_t millionths, Time past_lease, Time fade);

/// What is left of a quota share while it fades.
inline std::uint32_t faded_millionths(std::uint32_t millionths) {
    return usable_millionths(millionths, 1, 1);
}

} // namespace knotvane::control
