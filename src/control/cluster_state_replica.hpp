/// \file
/// An edge's copy of the cluster state, to which each update is applied atomically. No I/O.
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

/// Applies the planner's updates, each of which is a begin, entries and an end. An update becomes
/// visible only once its end has been received and matches the begin and the entries.
class ClusterStateReplica {
public:
    /// Starts an update and discards an unfinished one.
    void begin(const UpdateBegin &update);

    /// Adds an entry to the update that was begun; ignored if there is none.
    void apply(const NodeUpdate &entry) { put(entry.id, entry.node); }
    void apply(const PlanUpdate &entry) { put(entry.id, entry.plan); }
    void apply(const VolumeUpdate &entry) { put(entry.id, entry.volume); }
    void apply(const QuotaShareUpdate &entry) { put(entry.volume, entry.share); }
    void apply(const NodeRemoval &entry);
    void apply(const PlanRemoval &entry);
    void apply(const VolumeRemoval &entry);
    void apply(const QuotaShareRemoval &entry);

    /// Ends the update and applies all of it or nothing. A full state of any size replaces the
    /// current one in about the time that a few changes take, because the old state is freed later
    /// by free_replaced_state.
    UpdateResult end(const UpdateEnd &update);

    const ClusterState &cluster_state() const { return current_; }
    Term term() const { return update_.term; }
    std::uint64_t instance() const { return update_.instance; }
    std::uint64_t lineage() const { return update_.lineage; }
    Version version() const { return update_.version; }

    /// Whether the last applied update changed any node.
    bool nodes_changed() const { return nodes_changed_; }

    /// Whether the last applied update changed any plan.
    bool plans_changed() const { return plans_changed_; }

    /// Frees a bounded part of the replaced state, so that no single call takes long.
    /// \return false once all of it is freed
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
    UpdateResult classify(const UpdateEnd &update) const;
    void replace_state();
    void apply_changes();

    ClusterState current_;
    ClusterState incoming_; // a full state that is still being received
    std::vector<ClusterState> replaced_;
    std::vector<Change> changes_;
    UpdateBegin update_;      // the last applied update
    UpdateBegin next_update_; // the update being received, while open_
    std::uint64_t received_entries_ = 0;
    bool open_ = false;
    bool nodes_changed_ = false;
    bool plans_changed_ = false;
};

} // namespace knotvane::control
