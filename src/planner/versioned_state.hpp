/// \file
/// The planner's copy of the cluster state. Each entry is stamped with the version that last
/// changed it, so that the changes an edge has missed are found without a scan of all entries. No
/// I/O.
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

/// Changes are collected in an open version until `close`.
class VersionedState {
public:
    /// Kinds of entries, in the order in which they are sent: entries that others refer to come
    /// first.
    enum class Kind : std::uint8_t { plan, volume, node, quota_share };

    struct Key {
        Kind kind;
        std::uint64_t edge; ///< of quota shares; else 0
        std::uint64_t id;
        auto operator<=>(const Key &) const = default;
    };

    Version version() const { return version_; }

    /// The version that changes made now will have.
    Version open_version() const { return Version{version_.value + 1}; }

    /// Has no effect if the same entry is present already.
    template <class Id, class Entry>
    void put(Id id, const Entry &entry) {
        auto &entries = map_of(entry);
        if (auto it = entries.find(id); it != entries.end() && it->second == entry)
            return;
        cluster_state_.put(id, entry);
        stamp({kind_of(entry), 0, id.value});
    }

    /// Sets an edge's share; an empty share removes it.
    void put_quota_share(EdgeId edge, VolumeId volume, const control::QuotaShare &share);
    void drop(NodeId id);
    void drop(PlanId id);
    void drop_volume(VolumeId id);

    /// Closes the open version if it has changes.
    /// \return true if it had
    bool close();

    /// For restoring: sets the version that the entries put next are stamped with.
    void set_restored_version(Version stamp) { version_ = Version{stamp.value - 1}; }

    /// Ends restoring: sets the current version.
    /// \param oldest  changes are known since this version; edges with an older one need the full
    ///                state
    void restore(Version version, Version oldest);
    Version oldest_sendable_version() const { return std::max(oldest_, last_drop_); }

    /// Appends the messages that bring an edge from version `from` to the current one.
    /// \param from  set to 0 if the full state is sent: because it was 0, because the changes since
    ///              it are not known, or because the full state is shorter
    /// \return the number of messages
    std::uint64_t append_update_since(EdgeId edge, Version &from, std::string &out) const;

    /// Without quota shares, which are each edge's own.
    const control::ClusterState &cluster_state() const { return cluster_state_; }

    /// Null if the edge has none.
    const control::QuotaShare *quota_share(EdgeId edge, VolumeId volume) const;

    /// The entries changed in the open version.
    const std::set<Key> &changed() const { return changed_; }
    bool has(const Key &key) const;

private:
    // Keys ordered by the version of their last change; each key occurs once.
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
    Version last_drop_; // the last version in which an entry was dropped
};

} // namespace knotvane::planner
