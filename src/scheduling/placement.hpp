/// \file
/// Chooses the node for a request.
#pragma once

#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/random.hpp"

namespace knotvane::scheduling {

/// Places requests on the nodes that are ready. A request for existing data goes to the node that
/// holds its shard. A request for a new object goes to the cheaper of two nodes drawn at random:
/// schedulers don't know each other's choices, and would all choose the cheapest node otherwise.
class Placement {
public:
    /// Removes all nodes.
    void clear();

    /// Adds a node that is ready. Of several nodes with the same shard, the one that started last
    /// holds it.
    /// @param node which the caller keeps alive until the next clear.
    void add(NodeRecord &node);

    /// @param shard no_shard for a new object.
    /// @return the node; nullptr if none is ready, or none that holds the shard.
    NodeRecord *choose_node(ShardId shard, Time now, RandomGenerator &random) const;

private:
    std::vector<NodeRecord *> ready_;
    std::map<ShardId, NodeRecord *> shard_holders_;
};

/// @return the expected seconds until the node has served this scheduler's requests, queued and in
///     flight, and one unit more. Nodes in slow start cost more than any others, and unresponsive
///     nodes cost still more.
double placement_cost(const NodeRecord &node, Time now);

} // namespace knotvane::scheduling
