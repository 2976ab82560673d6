#include "scheduling/budget_feedback.hpp"

#include <algorithm>

namespace knotvane::scheduling {
namespace {

// Value from the BFQ paper.
constexpr Time min_measured_service = 20 * ms;

} // namespace

void ServiceRateEstimator::add_service(double units, Time duration, bool exhausted) {
    if (duration >= min_measured_service)
        samples_.add({units / seconds(duration), exhausted});
}

// The filter's weights, 7/8 and 1/8, are those of the BFQ paper.
double ServiceRateEstimator::rate() const {
    double filtered = 0;
    for (const auto &[rate, exhausted] : samples_) {
        if (filtered == 0)
            filtered = rate;
        else if (filtered < rate || !exhausted)
            filtered = filtered * 7 / 8 + rate / 8;
    }
    return filtered;
}

double maximum_budget(double largest_request, double rate) {
    return std::max(largest_request, seconds(service_slice) * rate);
}

// The factors are those of the BFQ paper.
double next_budget(ServiceEnd end, bool attempts_in_flight, double budget, double maximum) {
    if (end == ServiceEnd::exhausted)
        return budget * 4;
    if (end == ServiceEnd::timed_out || attempts_in_flight)
        return budget * 2;
    return budget - maximum / 8;
}

} // namespace knotvane::scheduling
