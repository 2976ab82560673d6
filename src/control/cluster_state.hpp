/// \file
/// The state of the cluster that the planner distributes: nodes, plans, volumes and one edge's
/// quota shares. Plain data, no I/O.
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
    Time started = 0;              ///< start time of its process, by the planner's clock
    std::uint64_t incarnation = 0; ///< identifies its process; differs after each restart
    bool operator==(const Node &) const = default;
};

/// The service level that a tenant has booked. Rates are in units per second, `burst` in units.
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
    std::uint32_t millionths = 0; ///< of the volume's full limit
    std::uint32_t sharers = 0; ///< number of edges that serve the volume; 0 if this edge does not
    bool operator==(const QuotaShare &) const = default;
};

/// The cluster as one edge sees it.
struct ClusterState {
    std::map<NodeId, Node> nodes;
    std::map<PlanId, Plan> plans;
    std::map<VolumeId, Volume> volumes;
    std::map<std::string, VolumeId, std::less<>> names; ///< volume ids by name
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

/// The part of a quota share that an edge may use: all of it while its lease holds, a quarter for a
/// time of `fade` after the lease has expired, then nothing. Edges limit their own use by it, and
/// the planner computes from it how much it may assign to other edges, so both must get the same
/// result.
/// \param millionths  the quota share
/// \param past_lease  time since the lease expired; 0 or less while it holds
/// \param fade        how long after the lease a quarter of the share stays usable
std::uint32_t usable_millionths(std::uint32_t millionths, Time past_lease, Time fade);

/// The part of a quota share that stays usable for the fade time after its lease has expired.
inline std::uint32_t faded_millionths(std::uint32_t millionths) {
    return usable_millionths(millionths, 1, 1);
}

} // namespace knotvane::control
