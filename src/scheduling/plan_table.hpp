/// \file
/// The plans, with the fair-queue weights and the unit values of their volumes.
#pragma once

#include <map>

#include "common/ids.hpp"
#include "scheduling/config.hpp"

namespace knotvane::scheduling {

/// The smallest weight of a plan and the smallest rate of a volume. Both are used as divisors and
/// must not be 0.
inline constexpr double min_weight = 1e-6;
inline constexpr double min_rate = 1e-6;

/// Plans by id. Values are relative to a reserved unit of a plan with price 1.
class PlanTable {
public:
    /// @param units settings in which defaults are already filled in.
    void configure(const UnitConfig &units) { units_ = units; }

    /// Sets or changes a plan.
    void set(PlanId id, const PlanConfig &config);

    /// @return the plan, with PlanConfig's defaults if it was never set.
    const PlanConfig &get(PlanId id) { return plans_[id]; }

    /// @return the weight of the plan's volumes in fair queues: the plan's weight, plus a weight
    ///     for its reserved rate in which a reserved unit counts by its value relative to a usual
    ///     one. With the plan's weight alone a volume with a large reserved rate would be served no
    ///     better than one with none.
    double queue_weight(const PlanConfig &plan) const;

    /// @param requested rate of the volume in units per second, over all schedulers; above 0.
    /// @return the mean value of a unit of the volume: units within the reserved rate count in
    ///     full, those up to the usual rate as usual units and the rest as excess units. So the
    ///     mean value drops during a surge.
    double unit_value(const PlanConfig &plan, double requested) const;

    /// @return the sum over all plans of the unit value at the plan's usual rate.
    double total_usual_value() const;

    /// @return the number of plans.
    double size() const { return static_cast<double>(plans_.size()); }

private:
    std::map<PlanId, PlanConfig> plans_;
    UnitConfig units_;
    // Sums over all plans.
    double total_weight_ = 0;
    double total_usual_rate_ = 0;
};

} // namespace knotvane::scheduling
