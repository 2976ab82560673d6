#include "edge/node_reachability.hpp"

#include <utility>

namespace knotvane::edge {
namespace {

// A node becomes unreachable after this many consecutive failed attempts over at least this time.
// One answer makes it reachable again.
constexpr std::uint32_t min_failures = 3;
constexpr Time min_failing_time = 500 * ms;
// A node that answered within this time is reported as reachable; a few lease renewal intervals.
constexpr Time max_answer_age = 5 * sec;

bool is_answer(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::answered || outcome == AttemptOutcome::error ||
           outcome == AttemptOutcome::overloaded;
}

bool is_loss(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::reset ||
           outcome == AttemptOutcome::timed_out;
}

} // namespace

std::optional<bool> NodeReachability::attempt_completed(Time now, NodeId node,
                                                        AttemptOutcome outcome) {
    auto &entry = nodes_[node];
    if (is_answer(outcome)) {
        entry.failures = 0;
        entry.last_answer = now;
        return std::exchange(entry.unreachable, false) ? std::optional(true) : std::nullopt;
    }
    if (!is_loss(outcome))
        return std::nullopt;

    if (entry.failures++ == 0)
        entry.first_failure = now;
    bool enough = entry.failures >= min_failures && now - entry.first_failure >= min_failing_time;
    if (!enough || std::exchange(entry.unreachable, true))
        return std::nullopt;
    return false;
}

std::optional<bool> NodeReachability::is_reachable(Time now, NodeId node) const {
    auto it = nodes_.find(node);
    if (it == nodes_.end())
        return std::nullopt;
    if (it->second.unreachable)
        return false;
    return now - it->second.last_answer <= max_answer_age ? std::optional(true) : std::nullopt;
}

std::vector<NodeId> NodeReachability::unreachable() const {
    std::vector<NodeId> out;
    for (const auto &[node, entry] : nodes_)
        if (entry.unreachable)
            out.push_back(node);
    return out;
}

} // namespace knotvane::edge
