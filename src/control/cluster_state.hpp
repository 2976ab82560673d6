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

/// A volume's whole limit in millionths. Shares are whole numbers of them, so that what is handed
/// out adds up without rounding.
inline constexpr std::uint32_t whole_limit = 1'000'000;

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
    double weight = 1;  ///< of its unreserved work against other plans'
    double usual = 0;   ///< rate that is expected of it
    double reserve = 0; ///< rate that it has before all others
    double price = 1;   ///< value of one unit served
    double rate = 0;    ///< limit; 0: none
    double burst = 0;   ///< units that may come at once, above the limit
    bool operator==(const Plan &) const = default;
};

/// A volume, a snapshot or a clone.
struct Volume {
    std::string name;
    std::uint64_t size = 0;    ///< bytes
    std::uint32_t least = 512; ///< bytes that requests are aligned to
    PlanId plan;
    VolumeId place{};        ///< whose layout it is stored by; 0: its own
    VolumeId charge{};       ///< whose quota share its requests count against; 0: its own
    VolumeId of{};           ///< what a snapshot or clone was taken from; 0: it is neither
    std::uint32_t epoch = 0; ///< goes up with every snapshot of it
    bool frozen = false;     ///< read-only: a snapshot
    Time taken = 0;          ///< when a snapshot or clone was taken, by the planner's clock
    bool operator==(const Volume &) const = default;

    /// The volume by whose layout this one, of id `self`, is stored.
    VolumeId lies_as(VolumeId self) const { return place.value ? place : self; }

    /// The volume whose quota share this one, of id `self`, uses.
    VolumeId charged_to(VolumeId self) const { return charge.value ? charge : self; }

    /// True for snapshots and for clones.
    bool is_snapshot() const { return of.value != 0; }
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
