/// \file
/// Whether this edge reaches each node, by what became of its attempts. No I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

/// Counts failures in a row for each node. One node that only the planner, or only some edges,
/// can't reach must not leave the cluster; so the planner asks the edges.
class NodeReachability {
public:
    /// \return what to report to the planner: the node became unreachable (false) or reachable
    ///         again (true); nothing where it is as before
    std::optional<bool> attempt_completed(Time now, NodeId node, AttemptOutcome outcome);

    /// The answer to the planner's question; nothing where this edge has not heard of the node
    /// lately.
    std::optional<bool> is_reachable(Time now, NodeId node) const;

    std::vector<NodeId> unreachable() const;

    /// Forgets the nodes for which `keep` is false.
    template <class Predicate>
    void retain(Predicate keep) {
        std::erase_if(nodes_, [&](const auto &entry) { return !keep(entry.first); });
    }

private:
    struct Entry {
        std::uint32_t failures = 0; // in a row
        Time first_failure = 0;
        // Never: far enough back that it is too old at any time, and subtracts without overflow.
        Time last_answer = -std::numeric_limits<Time>::max() / 2;
        bool unreachable = false;
    };

    std::map<NodeId, Entry> nodes_;
};

} // namespace knotvane::edge
