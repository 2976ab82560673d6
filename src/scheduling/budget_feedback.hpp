/// \file
/// Budgets of a node's volumes: the BFQ paper's feedback rule, which sets the next budget from the
/// use of the last one, and the estimate of the service rate that bounds budgets. The paper is
/// named in fair_queue.hpp.
#pragma once

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// Why a volume's service ended.
enum class ServiceEnd {
    emptied,   ///< The volume has no waiting request left.
    exhausted, ///< The volume's next request doesn't fit in its budget.
    timed_out  ///< The volume was in service for a whole slice.
};

/// The longest time for which a volume is served without a break; value from the BFQ paper.
inline constexpr Time service_slice = 125 * ms;

/// The BFQ paper's estimator of a node's service rate: a low-pass filter in which a new sample has
/// a weight of 1/8.
class ServiceRateEstimator {
public:
    /// Adds the service of one volume as a sample.
    /// @param units that were sent, not weighted as charges.
    /// @param duration of the service. One under 20 ms is ignored: it is too short to measure a
    ///     rate.
    /// @param exhausted whether the service ended because its budget was used up; such a service
    ///     never lowers the rate.
    void add_service(double units, Time duration, bool exhausted);

    /// @return units per second; 0 before the first sample.
    double rate() const;

private:
    struct Sample {
        double rate;
        bool exhausted;
    };

    // 32 samples are enough: the oldest has less than 1/50 of the filter's weight.
    RecentSamples<Sample, 32, GrowingStorage> samples_;
};

/// @param largest_request units of the largest request.
/// @param rate of the node's service in units per second.
/// @return the largest budget, in charged units: what the node serves in one slice, but at least
///     the largest request.
double maximum_budget(double largest_request, double rate);

/// The BFQ paper's feedback rule: raises the budget of a volume that could have used more and
/// lowers the budget of one that left some unused.
/// @param attempts_in_flight whether the volume has attempts in flight. If so, an emptied volume
///     may send more requests once these are answered, so its budget is raised.
/// @return the next budget in charged units, not yet limited to the allowed range.
double next_budget(ServiceEnd end, bool attempts_in_flight, double budget, double maximum);

} // namespace knotvane::scheduling
