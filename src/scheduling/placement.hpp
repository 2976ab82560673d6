/// \file
/// Which node a request goes to.
#pragma once

#include <map>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/random.hpp"

namespace knotvane::scheduling {

/// The nodes that are ready. A request for data that exists goes to the node that holds its shard;
/// one for a new object goes to the better of two nodes drawn at random: so schedulers that know
/// nothing of each other's choices don't all choose the same node.
class Placement {
public:
    void clear();

    /// Adds a node that is ready; the caller keeps it alive until the next clear. Of nodes with one
    /// shard the one that started last holds it: it replaces the others.
    void add(NodeRecord &node);

    /// @param shard no_shard for a new object.
    /// @return nullptr if no node is ready for it.
    NodeRecord *choose_node(ShardId shard, Time now, RandomGenerator &random) const;

private:
    std::vector<NodeRecord *> ready_;
    std::map<ShardId, NodeRecord *> shard_holders_;
};

/// @return the seconds that the scheduler's own requests take at the node, with one more; much more
///     for a node in slow start, and more still for an unresponsive one.
double placement_cost(const NodeRecord &node, Time now);

} // namespace knotvane::scheduling
