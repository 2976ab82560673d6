// What is known of the fleet: one value with a version, and an edge's copy of it, which takes news
// whole or not at all. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"

namespace knotvane::control {

using EdgeId = Id<struct EdgeKind, std::uint64_t>;
// Of an edge's process: what nodes know it by.
using EdgeIncarnation = Id<struct EdgeIncarnationKind, std::uint64_t>;
// Counts a planner's lives; a later one outranks all before it.
using Term = Id<struct TermKind, std::uint64_t>;
using Version = Id<struct VersionKind, std::uint64_t>;

// Limits are parted in millionths, whole numbers, so that what is handed out adds up without
// rounding.
inline constexpr std::uint32_t whole_limit = 1'000'000;

struct Node {
    std::string address;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    Time started = 0;              // by the planner's clock
    std::uint64_t incarnation = 0; // of its process
    bool operator==(const Node &) const = default;
};
struct Plan {
    std::string name;
    double weight = 1, usual = 0, reserve = 0, price = 1, rate = 0, burst = 0;
    bool operator==(const Plan &) const = default;
};
struct Volume {
    std::string name;
    std::uint64_t size = 0;
    std::uint32_t least = 512; // bytes that requests are aligned to
    PlanId plan;
    // Of a snapshot or a clone: where its bytes lie, whose share its tasks are of, what it was
    // taken from; 0: itself, nothing. `epoch`: goes up with every snapshot of it.
    VolumeId place{}, charge{}, of{};
    std::uint32_t epoch = 0;
    bool frozen = false;
    Time taken = 0; // by the planner's clock
    bool operator==(const Volume &) const = default;

    VolumeId lies_as(VolumeId self) const { return place.value ? place : self; }
    VolumeId charged_to(VolumeId self) const { return charge.value ? charge : self; }
    bool is_snapshot() const { return of.value != 0; }
};
// How far a cut has come: at an edge, which holds back new changes, goes by the new epoch, has
// ended all of the old one, or stopped waiting; and at a node.
enum class SnapshotStep : std::uint8_t {
    ready,
    moved,
    drained,
    lapsed,
    opened,
    sealed,
    dropped,
    cloned
};
// One edge's part of a volume's limit, and how many edges serve the volume.
struct QuotaShare {
    std::uint32_t millionths = 0, sharers = 0;
    bool operator==(const QuotaShare &) const = default;
};

// As one edge sees it.
struct ClusterState {
    std::map<NodeId, Node> nodes;
    std::map<PlanId, Plan> plans;
    std::map<VolumeId, Volume> volumes;
    std::map<std::string, VolumeId, std::less<>> names; // of volumes
    std::map<VolumeId, QuotaShare> quota_shares;

    void put(NodeId id, Node n) { nodes[id] = std::move(n); }
    void put(PlanId id, Plan p) { plans[id] = std::move(p); }
    void put(VolumeId id, Volume v);
    void put(VolumeId id, QuotaShare p) { quota_shares[id] = p; }
    void drop(NodeId id) { nodes.erase(id); }
    void drop(PlanId id) { plans.erase(id); }
    void drop_volume(VolumeId id);
    void drop_quota_share(VolumeId id) { quota_shares.erase(id); }
};

// How news was taken: `old` and `alien` change nothing; after a `gap` or `broken` the whole has to
// be asked for. Alien is news of a planner that is not the one followed: an older life, or a second
// one under the same term.
enum class UpdateResult { whole, changes, old, foreign, gap, broken };

class ClusterStateReplica {
public:
    // News of a planner's life: `instance` tells two by mistake under one term apart. `from`: the
    // version that these are changes to; 0 where they are the whole. `lineage`: of the planner's
    // store; versions of another can't be compared.
    void begins(Term term, std::uint64_t instance, std::uint64_t lineage, Version version,
                Version from);
    template <class IdOf, class Fact>
    void put(IdOf id, Fact fact) {
        if (!open_)
            return;
        ++told_;
        if (whole_)
            fresh_.put(id, std::move(fact));
        else
            changes_.push_back([id, f = std::move(fact)](ClusterState &t) { t.put(id, f); });
    }
    void drop(NodeId id) {
        change([id](ClusterState &t) { t.drop(id); });
    }
    void drop(PlanId id) {
        change([id](ClusterState &t) { t.drop(id); });
    }
    void drop_volume(VolumeId id) {
        change([id](ClusterState &t) { t.drop_volume(id); });
    }
    void drop_quota_share(VolumeId id) {
        change([id](ClusterState &t) { t.drop_quota_share(id); });
    }
    // The news is complete: `count` entries were told. A whole list is taken in the time of a few
    // changes, however long it is.
    UpdateResult ends(Version version, std::uint64_t count);

    const ClusterState &cluster_state() const { return now_; }
    Term term() const { return term_; }
    std::uint64_t instance() const { return instance_; }
    std::uint64_t lineage() const { return lineage_; }
    Version version() const { return version_; }
    // The nodes have changed with what was taken last, or the plans.
    bool nodes_changed() const { return nodes_changed_; }
    bool plans_changed() const { return plans_changed_; }
    // Takes down a piece of what was replaced; false once nothing is left.
    bool clear_away();

private:
    using Change = std::function<void(ClusterState &)>;
    void change(Change c) {
        if (!open_)
            return;
        ++told_;
        changes_.push_back(std::move(c));
    }
    ClusterState now_, fresh_;
    std::vector<ClusterState> past_;
    std::vector<Change> changes_;
    Term term_, next_term_;
    Version version_, next_version_, from_;
    std::uint64_t instance_ = 0, next_instance_ = 0, lineage_ = 0, next_lineage_ = 0, told_ = 0;
    bool open_ = false, whole_ = false, nodes_changed_ = false, plans_changed_ = false;
};

// The millionths of a part that may be used by how long ago the right to it ran out: all before
// that, a quarter for `fade`, then none. The same at the edge, which uses it, and at the planner,
// which parts out the rest.
std::uint32_t usable_millionths(std::uint32_t millionths, Time past_lease, Time fade);

} // namespace knotvane::control
