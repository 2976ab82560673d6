/// \file
/// Bounds the state that is kept for volumes which have no requests.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <utility>

#include "common/ids.hpp"
#include "scheduling/least_recently_used.hpp"
#include "scheduling/node_table.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// Clients may name any number of volumes. The state of those that were used last is kept: their
/// budgets and tags at each node and the units that were requested of them. What is forgotten of an
/// idle volume it learns again.
class VolumeRetention {
public:
    /// The most pairs of a volume and a node, and the most volumes, that are kept while idle.
    static constexpr std::size_t max_idle = 4096;

    /// A request of the volume was queued at the node. Forgets what was used longest ago if too
    /// much is kept; a volume that waits or has attempts in flight keeps its state.
    void used(NodeId node, VolumeId volume, NodeTable &nodes,
              std::map<VolumeId, WindowedSum> &requested_units);

private:
    using QueuedVolume = std::pair<NodeId, VolumeId>;

    LeastRecentlyUsed<QueuedVolume> queued_volumes_;
    LeastRecentlyUsed<VolumeId> volumes_;
};

} // namespace knotvane::scheduling
