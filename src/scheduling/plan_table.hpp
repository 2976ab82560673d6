/// \file
/// The plans, and what the units of their volumes weigh and are worth.
#pragma once

#include <map>

#include "common/ids.hpp"
#include "scheduling/config.hpp"

namespace knotvane::scheduling {

/// The least weight of a plan and the least rate of a volume: they are divided by.
inline constexpr double min_weight = 1e-6;
inline constexpr double min_rate = 1e-6;

/// Plans by id. Values are relative to a reserved unit of a plan with the price 1.
class PlanTable {
public:
    /// @param units with defaults filled in.
    void configure(const UnitConfig &units) { units_ = units; }

    /// Sets or changes a plan; counts for what comes after.
    void set(PlanId id, const PlanConfig &config);

    /// @return the plan; one with PlanConfig's defaults if it was never set.
    const PlanConfig &get(PlanId id) { return plans_[id]; }

    /// @return the weight of the plan's volumes in fair queues: its share, and its reserve at what
    ///     a reserved unit earns over one inside the share. By shares alone a large reserve would
    ///     be served no better than none.
    double queue_weight(const PlanConfig &plan) const;

    /// @param requested units per second of the volume, over all schedulers.
    /// @return what a unit of the volume is worth in the mean: the reserve in full, up to the size
    ///     that the plan was made for as share, the rest as spare. So a surge is worth little.
    double unit_value(const PlanConfig &plan, double requested) const;

    /// @return the sum of all plans' unit values at their usual rates.
    double total_usual_value() const;

    /// The number of plans.
    double size() const { return static_cast<double>(plans_.size()); }

private:
    std::map<PlanId, PlanConfig> plans_;
    UnitConfig units_;
    // Of all plans that were set.
    double total_weight_ = 0;
    double total_usual_rate_ = 0;
};

} // namespace knotvane::scheduling
