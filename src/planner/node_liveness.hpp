/// \file
/// Decides whether one node is in the cluster, from its heartbeats to the planner and the reports
/// of edges. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

#include "common/time.hpp"
#include "control/ids.hpp"
#include "planner/config.hpp"

namespace knotvane::planner {

using control::EdgeId;

/// A node that only the planner can't hear still serves, and one that only some edges can't reach
/// is avoided by those edges. A node is therefore removed only when both the planner and the edges
/// have lost it for a while. Callers pass the time, in nanoseconds of a monotonic clock.
class NodeLiveness {
public:
    /// \param config  node_silence, node_removal_delay and node_return_delay are used
    explicit NodeLiveness(const PlannerConfig &config)
        : silence_(config.node_silence), removal_delay_(config.node_removal_delay),
          return_delay_(config.node_return_delay) {}

    /// Handles the node's registration. A new incarnation is a member at once.
    /// \param started  when the node's process started
    void registered(Time now, const std::string &address, std::uint64_t incarnation, Time started);
    void renewed(Time now) { last_heartbeat_ = now; }

    /// Restores a node that was a member when an earlier planner committed last. It gets the usual
    /// time to register again.
    void restore(Time now, const std::string &address, std::uint64_t incarnation, Time started);

    /// Records an edge's report on whether it reaches the node.
    void report(EdgeId edge, bool reachable);

    /// Discards the reports of an edge that disconnected.
    void drop_reports(EdgeId edge);

    /// Updates and returns whether the node is in the cluster.
    /// \param edges  the number of edges that hold a lease, for the majority
    bool update(Time now, std::size_t edges);

    /// Whether to ask edges (again) if they reach the node. To be called after update.
    bool should_request_reports(Time now);
    bool has_registered() const { return last_heartbeat_ != never_registered; }
    const std::string &address() const { return address_; }
    Time started() const { return started_; }
    std::uint64_t incarnation() const { return incarnation_; }
    Time silent_for(Time now) const { return now - last_heartbeat_; }

    /// How many edges report that they can't reach it.
    std::size_t unreachable_reports() const { return unreachable_.size(); }

    /// When the result of update may change without new messages; the maximum of Time if never.
    Time next_due() const;

private:
    // Longer ago than any configured time.
    static constexpr Time never_registered = -1'000'000 * sec;

    bool is_lost(Time now, std::size_t edges) const;
    Time required_steadiness() const;

    Time silence_;
    Time removal_delay_;
    Time return_delay_;
    std::string address_;
    std::uint64_t incarnation_ = 0;
    Time started_ = 0;
    Time last_heartbeat_ = never_registered;
    Time last_report_request_ = never_registered;
    bool is_member_ = false;
    bool was_lost_ = false;
    Time lost_since_ = 0;
    bool is_steady_ = false; // not silent since steady_since_
    Time steady_since_ = 0;
    std::set<EdgeId> unreachable_; // edges that report the node as unreachable
    std::set<EdgeId> reachable_;
    std::deque<Time> removals_; // times of recent removals
};

} // namespace knotvane::planner
