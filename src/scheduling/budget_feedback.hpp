/// \file
/// Budgets of a node's volumes: how the paper's (fair_queue.hpp) feedback sets the next one from
/// how the last was used, and the service rate that bounds them.
#pragma once

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// Why a volume's service ended.
enum class ServiceEnd {
    emptied,   ///< No request of it waits.
    exhausted, ///< Its next request doesn't fit in the budget.
    timed_out  ///< It was in service for a whole slice.
};

/// The longest time for which a volume is served at a stretch (the paper's).
inline constexpr Time service_slice = 125 * ms;

/// The paper's rate estimator: a filter that a faster service raises at once and a slower one
/// lowers by an eighth.
class ServiceRateEstimator {
public:
    /// @param units sent in the service, in plain units, not charges.
    /// @param duration of the service. Short ones are ignored: they say nothing of the rate.
    /// @param exhausted whether it ended with its budget: such a service never lowers the rate.
    void add_service(double units, Time duration, bool exhausted);

    /// @return units per second; 0 before the first sample.
    double rate() const;

private:
    struct Sample {
        double rate;
        bool exhausted;
    };

    // The oldest of 32 has less than a fiftieth of the filter's weight.
    RecentSamples<Sample, 32> samples_;
};

/// The largest budget: what the node serves in a slice, and never less than the largest request.
/// @return units of charge.
double maximum_budget(double largest_request, double rate);

/// The paper's feedback: a volume that could use more gets more, one that leaves budget unused
/// gets less.
/// @param attempts_in_flight whether the volume has any: then it may only wait for their answers.
/// @return units of charge, not bounded yet.
double next_budget(ServiceEnd end, bool attempts_in_flight, double budget, double maximum);

} // namespace knotvane::scheduling
