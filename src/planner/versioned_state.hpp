/// \file
/// The cluster state as the planner holds it, each entry stamped with the version that it last
/// changed in: what an edge has missed is found without a look at the rest. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/cluster_state.hpp"

namespace knotvane::planner {

using control::EdgeId;
using control::Version;

/// Changes gather in an open version until `close`.
class VersionedState {
public:
    /// Kinds of entries, in the order in which they are told: what others name comes first.
    enum class Kind : std::uint8_t { plan, volume, node, quota_share };

    struct Key {
        Kind kind;
        std::uint64_t edge; ///< of quota shares; else 0
        std::uint64_t id;
        auto operator<=>(const Key &) const = default;
    };

    Version version() const { return version_; }

    /// The version that changes made now will have.
    Version next() const { return Version{version_.value + 1}; }

    /// Changes nothing where the entry stands already.
    template <class Id, class Entry>
    void put(Id id, const Entry &entry) {
        auto &entries = map_of(entry);
        if (auto it = entries.find(id); it != entries.end() && it->second == entry)
            return;
        cluster_state_.put(id, entry);
        stamp({kind_of(entry), 0, id.value});
    }

    /// An empty share is none.
    void put_quota_share(EdgeId edge, VolumeId volume, const control::QuotaShare &share);
    void drop(NodeId id);
    void drop(PlanId id);
    void drop_volume(VolumeId id);

    /// Ends a version if anything changed in it.
    /// \return true if it did
    bool close();

    /// Restoring: each entry is put after a call with the version that it last changed in...
    void restoring(Version stamp) { version_ = Version{stamp.value - 1}; }

    /// ...then this says where all stand.
    /// \param oldest  changes are known from this version on: edges that hold an older one can't be
    ///                told of that by changes
    void restore(Version version, Version oldest);
    Version oldest_sent() const { return std::max(oldest_, last_drop_); }

    /// What an edge that holds `from` has missed, as messages.
    /// \param from  becomes 0 where the full state is told: it was 0, or from before what is
    ///              remembered
    /// \return how many messages
    std::uint64_t update_since(EdgeId edge, Version &from, std::string &out) const;

    /// Without quota shares, which are each edge's own.
    const control::ClusterState &cluster_state() const { return cluster_state_; }

    /// Null where the edge has none.
    const control::QuotaShare *quota_share(EdgeId edge, VolumeId volume) const;

    /// What changed in the version that is open.
    const std::set<Key> &changed() const { return changed_; }
    bool has(const Key &key) const;

private:
    // By version, each key once, with its last change.
    struct Changes {
        std::set<std::pair<Version, Key>> order;
        std::map<Key, Version> last;
    };

    std::map<NodeId, control::Node> &map_of(const control::Node &) { return cluster_state_.nodes; }
    std::map<PlanId, control::Plan> &map_of(const control::Plan &) { return cluster_state_.plans; }
    std::map<VolumeId, control::Volume> &map_of(const control::Volume &) {
        return cluster_state_.volumes;
    }
    static Kind kind_of(const control::Node &) { return Kind::node; }
    static Kind kind_of(const control::Plan &) { return Kind::plan; }
    static Kind kind_of(const control::Volume &) { return Kind::volume; }
    void stamp(const Key &key);
    std::vector<Key> changed_since(EdgeId edge, Version from) const;
    std::string encode_entry(const Key &key) const;
    std::uint64_t encode_all(EdgeId edge, std::string &out) const;

    control::ClusterState cluster_state_;
    std::map<EdgeId, std::map<VolumeId, control::QuotaShare>> quota_shares_;
    Version version_;
    Changes common_;                     // for all edges
    std::map<EdgeId, Changes> per_edge_; // quota shares
    std::set<Key> changed_;
    Version oldest_;    // changes after this one are remembered
    Version last_drop_; // an entry was dropped with this one
};

} // namespace knotvane::planner
