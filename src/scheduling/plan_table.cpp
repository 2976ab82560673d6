#include "scheduling/plan_table.hpp"

#include <algorithm>

namespace knotvane::scheduling {
namespace {

// Avoids a division by zero if no plan has a usual rate.
constexpr double min_total_rate = 1e-9;

} // namespace

void PlanTable::set(PlanId id, const PlanConfig &config) {
    PlanConfig &changed = plans_[id];
    changed = config;
    changed.weight = std::max(config.weight, min_weight);
    total_weight_ = 0;
    total_usual_rate_ = 0;
    for (const auto &[_, plan] : plans_) {
        total_weight_ += plan.weight;
        total_usual_rate_ += plan.usual_rate;
    }
}

double PlanTable::queue_weight(const PlanConfig &plan) const {
    return plan.weight + plan.reserved_rate / units_.usual_unit_value * total_weight_ /
                             std::max(total_usual_rate_, min_total_rate);
}

double PlanTable::unit_value(const PlanConfig &plan, double requested) const {
    double reserved = std::min(requested, plan.reserved_rate);
    double usual = std::min(requested, std::max(plan.usual_rate, plan.reserved_rate)) - reserved;
    double excess = requested - reserved - usual;
    return plan.price *
           (reserved + units_.usual_unit_value * usual + units_.excess_unit_value * excess) /
           requested;
}

double PlanTable::total_usual_value() const {
    double total = 0;
    for (const auto &[_, plan] : plans_)
        total += unit_value(plan, std::max(plan.usual_rate, min_rate));
    return total;
}

} // namespace knotvane::scheduling
