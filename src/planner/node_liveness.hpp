/// \file
/// Whether one node is in the cluster, by what the planner hears of it and what edges say. No I/O.
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
/// is theirs to avoid: it is removed when both hold for a while. Time is given, in nanoseconds of
/// a clock that never goes back.
class NodeLiveness {
public:
    /// \param config  node_silence, node_removal_delay and node_return_delay are used
    explicit NodeLiveness(const PlannerConfig &config)
        : silence_(config.node_silence), removal_delay_(config.node_removal_delay),
          return_delay_(config.node_return_delay) {}

    /// The node registered. A new incarnation is in at once.
    /// \param started  when its process did
    void registered(Time now, const std::string &address, std::uint64_t incarnation, Time started);
    void renewed(Time now) { last_heartbeat_ = now; }

    /// It was in when an earlier planner wrote last, and has as long as any to register again.
    void restore(Time now, const std::string &address, std::uint64_t incarnation, Time started);

    /// An edge's report on whether it reaches the node.
    void report(EdgeId edge, bool reachable);

    /// The edge is gone, and so is what it said.
    void drop_reports(EdgeId edge);

    /// Whether the node is in by now.
    /// \param edges  that hold a lease, for the quorum
    bool update(Time now, std::size_t edges);

    /// Whether edges are to be asked (again) if they reach it. To be called after update.
    bool wants_reports(Time now);
    bool has_registered() const { return last_heartbeat_ != never_registered; }
    const std::string &address() const { return address_; }
    Time started() const { return started_; }
    std::uint64_t incarnation() const { return incarnation_; }
    Time silent_for(Time now) const { return now - last_heartbeat_; }

    /// How many edges say that they can't reach it.
    std::size_t unreachable_reports() const { return unreachable_.size(); }

    /// When update may answer otherwise with nothing heard; the maximum of Time if never.
    Time next_due() const;

private:
    // Longer ago than any patience.
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
    bool in_ = false;
    bool lost_ = false;
    Time lost_since_ = 0;
    bool steady_ = false; // heard all the time
    Time steady_since_ = 0;
    std::set<EdgeId> unreachable_; // edges that say so
    std::set<EdgeId> reachable_;
    std::deque<Time> removals_; // of late
};

} // namespace knotvane::planner
