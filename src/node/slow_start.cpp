#include "node/slow_start.hpp"

namespace knotvane::node {
namespace {

// Work units that may arrive beyond the limit: the size of the largest request. One such request
// is allowed as slack because arrivals are random.
constexpr double overload_slack_units = 8;

} // namespace

void SlowStart::restart(Time now) {
    started_at_ = now;
    arrivals_.clear();
}

double SlowStart::capacity(Time now) const {
    if (is_warm(now))
        return 1;
    return model_.initial_capacity +
           (1 - model_.initial_capacity) * seconds(now - started_at_) / seconds(model_.duration);
}

bool SlowStart::survives(Time now, double units, const ServiceModel &service) {
    if (model_.overload_factor <= 0 || service.unit_time <= 0 || is_warm(now))
        return true;

    arrivals_.push_back({now, units});
    while (arrivals_.front().at < now - model_.overload_window)
        arrivals_.pop_front();
    double arrived = 0;
    for (const Arrival &arrival : arrivals_)
        arrived += arrival.units;

    return arrived <= model_.overload_factor * capacity(now) * seconds(model_.overload_window) *
                              service.cores / seconds(service.unit_time) +
                          overload_slack_units;
}

} // namespace knotvane::node
