/// \file
/// An edge's copy of the cluster state, which takes each update whole or not at all. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "control/cluster_state.hpp"
#include "control/messages.hpp"

namespace knotvane::control {

/// The result of an update. Unless it was applied, the replica is unchanged.
enum class UpdateResult {
    full_state_applied, ///< it replaced the whole state
    changes_applied,    ///< it changed some entries
    outdated,           ///< the replica has this version or a later one
    wrong_planner,      ///< sent under an older term, or by a second planner with the same term
    version_gap,        ///< changes to a version the replica does not have; needs the full state
    malformed,          ///< its end does not match its begin or entries; needs the full state
};

/// Follows a planner by its updates: a beginning, entries, an end. Nothing of an update shows
/// before its end has come and fits.
class ClusterStateReplica {
public:
    /// Starts an update. What was begun and not ended is dropped.
    void begin(const UpdateBegin &update);

    /// Entries of the update that was begun; ignored where none is.
    void apply(const NodeUpdate &entry) { put(entry.id, entry.node); }
    void apply(const PlanUpdate &entry) { put(entry.id, entry.plan); }
    void apply(const VolumeUpdate &entry) { put(entry.id, entry.volume); }
    void apply(const QuotaShareUpdate &entry) { put(entry.volume, entry.share); }
    void apply(const NodeRemoval &entry);
    void apply(const PlanRemoval &entry);
    void apply(const VolumeRemoval &entry);
    void apply(const QuotaShareRemoval &entry);

    /// Ends the update: all of it shows from here on, or nothing. The full state replaces what is
    /// held in the time of a few changes, however long it is.
    UpdateResult end(const UpdateEnd &update);

    const ClusterState &cluster_state() const { return current_; }
    Term term() const { return update_.term; }
    std::uint64_t instance() const { return update_.instance; }
    std::uint64_t lineage() const { return update_.lineage; }
    Version version() const { return update_.version; }

    /// Whether the update that was taken last changed any node.
    bool nodes_changed() const { return nodes_changed_; }

    /// Whether the update that was taken last changed any plan.
    bool plans_changed() const { return plans_changed_; }

    /// Frees a piece of the state that was replaced, so that no single call takes long.
    /// \return false once nothing is left
    bool free_replaced_state();

private:
    using Change = std::function<void(ClusterState &)>;

    template <class Key, class Entry>
    void put(Key key, const Entry &entry) {
        if (!open_)
            return;
        ++received_entries_;
        if (is_full())
            incoming_.put(key, entry);
        else
            changes_.push_back([key, entry](ClusterState &state) { state.put(key, entry); });
    }
    void add_change(Change change);
    bool is_full() const { return next_update_.from_version == Version{0}; }
    UpdateResult judge(const UpdateEnd &update) const;
    void replace_state();
    void apply_changes();

    ClusterState current_;
    ClusterState incoming_; // a full state that is being received
    std::vector<ClusterState> replaced_;
    std::vector<Change> changes_;
    UpdateBegin update_;      // the last that was taken
    UpdateBegin next_update_; // the one that is being received, while open_
    std::uint64_t received_entries_ = 0;
    bool open_ = false;
    bool nodes_changed_ = false;
    bool plans_changed_ = false;
};

} // namespace knotvane::control
