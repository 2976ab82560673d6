/// \file
/// The nodes that a scheduler knows from endpoint lists.
#pragma once

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/events.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/slow_start.hpp"

namespace knotvane::scheduling {

/// Node records by id. The record of a removed node is kept for a while and as long as it is in
/// use. References to a record stay valid until it is erased.
class NodeTable {
public:
    /// Begins an endpoint list; apply_endpoint follows for each of its entries, then end_list.
    void begin_list(EndpointListKind kind);

    /// Adds or updates the node of an entry of the list.
    /// @param config settings for a new node, with defaults filled in.
    void apply_endpoint(const Endpoint &endpoint, Time now, const SchedulerConfig &config,
                        const SlowStart &slow_start);

    /// Ends the list. After a full one, nodes that it doesn't name are removed.
    /// @return the nodes that are draining or removed, in the order of ids.
    std::vector<NodeRecord *> end_list(Time now);

    /// Erases the records of nodes that were removed at `removed_until` or before, are still
    /// removed, and have no request waiting and no attempt in flight.
    void erase_removed(Time removed_until);

    /// @param id of a node that the table holds.
    NodeRecord &at(NodeId id) { return nodes_.at(id); }
    const NodeRecord &at(NodeId id) const { return nodes_.at(id); }

    /// @return nullptr if the table doesn't hold the node.
    NodeRecord *find(NodeId id) {
        auto it = nodes_.find(id);
        return it == nodes_.end() ? nullptr : &it->second;
    }

    /// @return the number of records.
    std::size_t size() const { return nodes_.size(); }

    /// @return the placement over the nodes that are ready.
    const Placement &placement() const { return placement_; }

private:
    std::map<NodeId, NodeRecord> nodes_;
    // Nodes by when they were removed. Those that are listed again stay here until that time is
    // due.
    std::deque<std::pair<Time, NodeId>> removals_;
    EndpointListKind list_kind_ = EndpointListKind::delta;
    Placement placement_;
};

} // namespace knotvane::scheduling
