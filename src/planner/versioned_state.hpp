// The fleet's facts as the planner holds them, each stamped with the version that it last changed
// in: what an edge has missed is found without a look at the rest. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Version;

class VersionedState {
public:
    // A fact's kind and id; of parts the edge, too. Its order is that in which facts are told: what
    // others name comes first.
    enum class Kind : std::uint8_t { plan, volume, node, part };
    struct Key {
        Kind kind;
        std::uint64_t edge, id;
        auto operator<=>(const Key &) const = default;
    };

    Version version() const { return version_; }
    // The version that changes made now will have.
    Version next() const { return Version{version_.value + 1}; }
    // Changes nothing where the fact stands already.
    template <class I, class F>
    void put(I id, const F &fact) {
        auto &to = map_of(id, fact);
        if (auto it = to.find(id); it != to.end() && it->second == fact)
            return;
        cluster_state_.put(id, fact);
        stamp(key_of(id, fact));
    }
    void put_quota_share(EdgeId edge, VolumeId volume, const control::QuotaShare &part);
    void drop(NodeId id);
    void drop(PlanId id);
    void drop_volume(VolumeId id);
    // Ends a version if anything changed in it. True if it did.
    bool close();

    // As the store has it: each fact after the version that it last changed in, then where all
    // stand. `oldest`: the last version that dropped a fact, which edges from before it could not
    // be told of.
    void restoring(Version stamp) { version_ = Version{stamp.value - 1}; }
    void restore(Version version, Version oldest) {
        version_ = version, oldest_ = oldest, changed_.clear();
    }
    Version oldest_told() const { return std::max(oldest_, dropped_); }

    // What an edge that goes by `from` has missed, in messages; the count of them. Version 0 or one
    // from before what is remembered: the whole, and `from` becomes 0.
    std::uint64_t news(EdgeId edge, Version &from, std::string &out) const;

    const control::ClusterState &cluster_state() const { return cluster_state_; }
    const control::QuotaShare *part(EdgeId edge, VolumeId volume) const;
    // Keys changed in the version that is open.
    const std::set<Key> &changed() const { return changed_; }
    bool has(const Key &key) const;

private:
    std::map<NodeId, control::Node> &map_of(NodeId, const control::Node &) {
        return cluster_state_.nodes;
    }
    std::map<PlanId, control::Plan> &map_of(PlanId, const control::Plan &) {
        return cluster_state_.plans;
    }
    std::map<VolumeId, control::Volume> &map_of(VolumeId, const control::Volume &) {
        return cluster_state_.volumes;
    }
    static Key key_of(NodeId id, const control::Node &) { return {Kind::node, 0, id.value}; }
    static Key key_of(PlanId id, const control::Plan &) { return {Kind::plan, 0, id.value}; }
    static Key key_of(VolumeId id, const control::Volume &) { return {Kind::volume, 0, id.value}; }
    void stamp(const Key &key);
    void tell(const Key &key, std::string &out) const;

    control::ClusterState cluster_state_; // parts are not in it
    std::map<EdgeId, std::map<VolumeId, control::QuotaShare>> allocation_;
    Version version_;
    // For all edges, and for each: by version, a key once, with the last.
    struct Changes {
        std::set<std::pair<Version, Key>> order;
        std::map<Key, Version> at;
    };
    Changes common_;
    std::map<EdgeId, Changes> own_;
    std::set<Key> changed_;
    Version oldest_;  // changes after this one are remembered
    Version dropped_; // a fact went with this one
};

} // namespace knotvane::planner
