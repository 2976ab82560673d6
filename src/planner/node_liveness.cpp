#include "planner/node_liveness.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::planner {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();
// A node that no edge reports as reachable is removed after this many times the configured silence,
// also without a majority that reports it as unreachable.
constexpr Time silences_without_reports = 5;
// Edges are asked again this often.
constexpr Time report_interval = sec;
// Removals in this time lengthen the delay of the node's return.
constexpr Time removal_memory = 60 * sec;

} // namespace

void NodeLiveness::registered(Time now, const std::string &address, std::uint64_t incarnation,
                              Time started) {
    bool is_new = incarnation != incarnation_ || !has_registered();
    last_heartbeat_ = now;
    address_ = address;
    // The start time reported first for an incarnation stays: a later report differs by the
    // message's delay, and edges would mistake that for a restart.
    if (!is_new)
        return;
    incarnation_ = incarnation;
    started_ = started;
    is_member_ = true;
    was_lost_ = false;
    is_steady_ = false;
    // The edges' reports are about the previous incarnation.
    unreachable_.clear();
    reachable_.clear();
}

void NodeLiveness::restore(Time now, const std::string &address, std::uint64_t incarnation,
                           Time started) {
    last_heartbeat_ = now;
    address_ = address;
    incarnation_ = incarnation;
    started_ = started;
    is_member_ = true;
}

void NodeLiveness::report(EdgeId edge, bool reachable) {
    (reachable ? unreachable_ : reachable_).erase(edge);
    (reachable ? reachable_ : unreachable_).insert(edge);
}

void NodeLiveness::drop_reports(EdgeId edge) {
    unreachable_.erase(edge);
    reachable_.erase(edge);
}

bool NodeLiveness::is_lost(Time now, std::size_t edges) const {
    auto silence = now - last_heartbeat_;
    if (silence <= silence_)
        return false;
    // If no edge reports that it reaches the node, a long silence is enough.
    bool most_edges_lost_it = unreachable_.size() * 2 > edges;
    bool nobody_reaches_it = reachable_.empty() && silence > silences_without_reports * silence_;
    return edges == 0 || most_edges_lost_it || nobody_reaches_it;
}

// Guards against flapping: with each recent removal the node has to be steady for longer.
Time NodeLiveness::required_steadiness() const {
    return return_delay_ * static_cast<Time>(std::max<std::size_t>(1, removals_.size()));
}

bool NodeLiveness::update(Time now, std::size_t edges) {
    if (!has_registered())
        return false;
    bool silent = now - last_heartbeat_ > silence_;
    if (!silent)
        reachable_.clear(); // reports are valid only for the silence that they were requested in

    bool lost = is_lost(now, edges);
    if (lost && !was_lost_)
        lost_since_ = now;
    was_lost_ = lost;
    if (!silent && !is_steady_)
        steady_since_ = now;
    is_steady_ = !silent;
    while (!removals_.empty() && now - removals_.front() > removal_memory)
        removals_.pop_front();

    if (is_member_ && was_lost_ && now - lost_since_ >= removal_delay_) {
        is_member_ = false;
        removals_.push_back(now);
    } else if (!is_member_ && is_steady_ && now - steady_since_ >= required_steadiness()) {
        is_member_ = true;
    }
    return is_member_;
}

bool NodeLiveness::should_request_reports(Time now) {
    if (!is_member_ || is_steady_ || !has_registered() ||
        now - last_report_request_ < report_interval)
        return false;
    last_report_request_ = now;
    return true;
}

Time NodeLiveness::next_due() const {
    if (!has_registered())
        return never;
    if (!is_member_)
        return is_steady_ ? steady_since_ + required_steadiness() : never;
    if (was_lost_)
        return lost_since_ + removal_delay_;
    if (is_steady_)
        return last_heartbeat_ + silence_ + 1;
    return std::min(
        std::max(last_report_request_, last_heartbeat_ + silences_without_reports * silence_ + 1),
        last_report_request_ + report_interval);
}

} // namespace knotvane::planner
