#include "scheduling/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace knotvane::scheduling {
namespace {

// The time over which requested units are averaged: long enough that a volume with one request in
// ten seconds is always included.
constexpr Time demand_window = 20 * sec;

// The fraction of its share that a scheduler uses where it admits requests at random. The sum over
// all schedulers varies by chance. With this fraction, its mean stays about 3.5 standard deviations
// or more below the bound of N + 2 sqrt(N) + 2, for N from 30 to 150, if the sum in units has twice
// the variance of the number of requests.
constexpr double random_admission_fraction = 0.7;

} // namespace

bool slow_start_admits(const SlowStartAdmission &admission) {
    if (admission.share >= admission.largest_request_units)
        return admission.sent_units + admission.request_units <= admission.share;
    return admission.sent_units == 0 &&
           admission.draw * admission.requested_units <= admission.share;
}

void SlowStart::node_started(NodeSlowStart &node, Time started_at) const {
    node.ends_at = std::max(node.ends_at, started_at + config_.slow_start.duration);
}

void SlowStart::request_enqueued(NodeSlowStart &node, Time now, double units) {
    node.requested_units.add(now, units);
    node.requested_units.sum_since(now - demand_window);
}

void SlowStart::attempt_started(NodeSlowStart &node, Time now, double units) const {
    node.sent_units.add(now, units);
    node.sent_units.sum_since(now - window());
}

bool SlowStart::admits(NodeSlowStart &node, Time now, bool unresponsive, double units,
                       double draw) const {
    // After a restart this scheduler doesn't know what its previous process sent, so it sends
    // nothing until the window of that process has passed. The time step that window() adds isn't
    // needed, as this process has sent nothing yet.
    if (now < started_at_ + config_.slow_start.window)
        return false;
    Time averaging_time = std::min(demand_window, now - started_at_);
    double requested_units = node.requested_units.sum_since(now - averaging_time) *
                             seconds(window()) / seconds(averaging_time);
    if (config_.slow_start.units <= 0)
        return true;
    SlowStartAdmission admission;
    admission.sent_units = node.sent_units.sum_since(now - window());
    admission.request_units = units;
    admission.share = share(node, now, unresponsive);
    admission.largest_request_units = config_.units.largest;
    admission.requested_units = requested_units;
    admission.draw = draw;
    return slow_start_admits(admission);
}

Time SlowStart::window() const {
    // An attempt may leave up to one time step after it was counted here: two attempts that start
    // more than a window apart may arrive at the node within one window.
    return config_.slow_start.window + config_.time_step;
}

double SlowStart::share(const NodeSlowStart &node, Time now, bool unresponsive) const {
    const SlowStartConfig &settings = config_.slow_start;
    Time node_started_at = node.ends_at - settings.duration;
    // As a fraction of the slow start.
    double age = unresponsive ? 0 : seconds(now - node_started_at) / seconds(settings.duration);
    double initial = settings.initial_capacity;
    double growth = std::clamp(1 + age * (1 - initial) / initial, 1.0, 1 / initial);
    double node_capacity = settings.units * growth;
    double mean = config_.units.mean;
    double with_half_margin = node_capacity + mean * (std::sqrt(node_capacity / mean) + 1);
    double strict_share = with_half_margin / config_.scheduler_count;
    if (strict_share >= config_.units.largest)
        return strict_share;
    return random_admission_fraction * node_capacity / config_.scheduler_count;
}

} // namespace knotvane::scheduling
