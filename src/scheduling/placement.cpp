#include "scheduling/placement.hpp"

namespace knotvane::scheduling {
namespace {

// In seconds: longer than any queue, so that these nodes are chosen last, and unresponsive ones
// after those in slow start.
constexpr double unresponsive_cost = 1e9;
constexpr double slow_start_cost = 1e6;

} // namespace

void Placement::clear() {
    ready_.clear();
    shard_holders_.clear();
}

void Placement::add(NodeRecord &node) {
    ready_.push_back(&node);
    NodeRecord *&holder = shard_holders_[node.location.shard];
    if (!holder || holder->started_at <= node.started_at)
        holder = &node;
}

NodeRecord *Placement::choose_node(ShardId shard, Time now, RandomGenerator &random) const {
    if (shard != no_shard) {
        auto it = shard_holders_.find(shard);
        return it == shard_holders_.end() ? nullptr : it->second;
    }
    if (ready_.empty())
        return nullptr;
    NodeRecord *first = ready_[random() % ready_.size()];
    NodeRecord *second = ready_[random() % ready_.size()];
    return placement_cost(*second, now) < placement_cost(*first, now) ? second : first;
}

double placement_cost(const NodeRecord &node, Time now) {
    double units = 1 + node.units_waiting + node.units_in_flight;
    return node.latency.wait_seconds() + units * node.latency.seconds_per_unit() +
           (node.health.unresponsive() ? unresponsive_cost : 0) +
           (node.slow_start.active(now) ? slow_start_cost : 0);
}

} // namespace knotvane::scheduling
