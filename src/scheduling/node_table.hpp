/// \file
/// The nodes that a scheduler knows, by the endpoint lists.
#pragma once

#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/events.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/slow_start.hpp"

namespace knotvane::scheduling {

/// Nodes by id. A node that was removed is kept: attempts may be in flight there. References to
/// nodes hold as long as the table.
class NodeTable {
public:
    /// A list begins, whose lines follow.
    void begin_list(EndpointListKind kind);

    /// A line of the list.
    /// @param config for a node that is new, with defaults filled in.
    void apply_endpoint(const Endpoint &endpoint, Time now, const SchedulerConfig &config,
                        const SlowStart &slow_start);

    /// The list ends: a full one has removed the nodes that it doesn't name.
    /// @return the nodes that drain or are removed, in the order of ids.
    std::vector<NodeRecord *> end_list();

    /// There must be one.
    NodeRecord &at(NodeId id) { return nodes_.at(id); }
    const NodeRecord &at(NodeId id) const { return nodes_.at(id); }

    /// The nodes that are ready.
    const Placement &placement() const { return placement_; }

private:
    std::map<NodeId, NodeRecord> nodes_;
    EndpointListKind list_kind_ = EndpointListKind::delta;
    Placement placement_;
};

} // namespace knotvane::scheduling
