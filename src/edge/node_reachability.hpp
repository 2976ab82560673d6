/// \file
/// Determines from the outcomes of attempts whether this edge can reach each node. No I/O.
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

/// Counts consecutive failures of attempts for each node. The planner asks the edges for the
/// result, because a node that only the planner or only some edges can't reach must stay in the
/// cluster.
class NodeReachability {
public:
    /// \return what to report to the planner: false if the node became unreachable, true if it
    ///         became reachable again, nothing if there is no change
    std::optional<bool> attempt_completed(Time now, NodeId node, AttemptOutcome outcome);

    /// \return whether the node is reachable; nothing if it is not known to be unreachable and has
    ///         not answered this edge recently
    std::optional<bool> is_reachable(Time now, NodeId node) const;

    std::vector<NodeId> unreachable() const;

    /// Removes the nodes for which `keep` returns false.
    template <class Predicate>
    void retain(Predicate keep) {
        std::erase_if(nodes_, [&](const auto &entry) { return !keep(entry.first); });
    }

private:
    struct Entry {
        std::uint32_t failures = 0; // consecutive
        Time first_failure = 0;
        // The initial value means never. It is too old at any time, and subtracting it from a time
        // does not overflow.
        Time last_answer = -std::numeric_limits<Time>::max() / 2;
        bool unreachable = false;
    };

    std::map<NodeId, Entry> nodes_;
};

} // namespace knotvane::edge
