#include "scheduling/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace knotvane::scheduling {
namespace {

// The time over which requested units are averaged: long enough that a volume with one request in
// ten seconds always shows.
constexpr Time demand_window = 20 * sec;

// The part of its share that a scheduler deals out by lot. The sum of lots swings: of N it leaves
// three and a half standard deviations up to the bound, from N of 30 to 150, where units swing
// twice as much as numbers of requests.
constexpr double lot_fraction = 0.7;

} // namespace

bool slow_start_admits(const SlowStartLoad &load) {
    if (load.share >= load.largest_request)
        return load.sent + load.units <= load.share;
    return load.sent == 0 && load.lot * load.requested <= load.share;
}

void SlowStart::node_started(NodeSlowStart &node, Time started_at) const {
    node.until = std::max(node.until, started_at + config_.slow_start.duration);
}

void SlowStart::request_enqueued(NodeSlowStart &node, Time now, double units) {
    node.requested.add(now, units);
    node.requested.sum_since(now - demand_window);
}

void SlowStart::attempt_started(NodeSlowStart &node, Time now, double units) const {
    node.sent.add(now, units);
    node.sent.sum_since(now - window());
}

bool SlowStart::admits(NodeSlowStart &node, Time now, bool unresponsive, double units,
                       double lot) const {
    // What an earlier process of this scheduler sent isn't known: nothing is sent until its window
    // has passed. Nothing of this process could arrive a step later yet.
    if (now < started_at_ + config_.slow_start.window)
        return false;
    Time averaged = std::min(demand_window, now - started_at_);
    double requested =
        node.requested.sum_since(now - averaged) * seconds(window()) / seconds(averaged);
    if (config_.slow_start.units <= 0)
        return true;
    SlowStartLoad load;
    load.sent = node.sent.sum_since(now - window());
    load.units = units;
    load.share = share(node, now, unresponsive);
    load.largest_request = config_.units.largest;
    load.requested = requested;
    load.lot = lot;
    return slow_start_admits(load);
}

Time SlowStart::window() const {
    // What leaves a step later may arrive in the node's window of before.
    return config_.slow_start.window + config_.time_step;
}

double SlowStart::share(const NodeSlowStart &node, Time now, bool unresponsive) const {
    const SlowStartConfig &settings = config_.slow_start;
    Time node_started_at = node.until - settings.duration;
    double age = unresponsive ? 0 : seconds(now - node_started_at) / seconds(settings.duration);
    double initial = settings.initial_capacity;
    double growth = std::clamp(1 + age * (1 - initial) / initial, 1.0, 1 / initial);
    double node_bears = settings.units * growth;
    double mean = config_.units.mean;
    double with_half_margin = node_bears + mean * (std::sqrt(node_bears / mean) + 1);
    double exact = with_half_margin / config_.scheduler_count;
    if (exact >= config_.units.largest)
        return exact;
    return lot_fraction * node_bears / config_.scheduler_count;
}

} // namespace knotvane::scheduling
