#include "scheduling/plan_table.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

PlanTable table_with_excess_value() {
    UnitConfig units;
    units.usual_unit_value = 0.5;
    units.excess_unit_value = 0.1;
    PlanTable plans;
    plans.configure(units);
    return plans;
}

TEST_CASE("a plan's queue weight is its own weight plus that of its reserved rate") {
    PlanTable plans = table_with_excess_value();
    PlanConfig without_reserve;
    without_reserve.weight = 1;
    without_reserve.usual_rate = 100;
    PlanConfig with_reserve = without_reserve;
    with_reserve.weight = 3;
    with_reserve.reserved_rate = 50;
    plans.set(PlanId{0}, without_reserve);
    plans.set(PlanId{1}, with_reserve);
    CHECK(plans.queue_weight(plans.get(PlanId{0})) == doctest::Approx(1));
    // The total weight of 4 belongs to 200 usual units per second. The 50 reserved units per second
    // are worth as much as 100 usual ones and so weigh 2.
    CHECK(plans.queue_weight(plans.get(PlanId{1})) == doctest::Approx(3 + 50 / 0.5 * 4 / 200));
}

TEST_CASE("a volume's unit value is the mean over its reserved, usual and excess units") {
    PlanTable plans = table_with_excess_value();
    PlanConfig plan;
    plan.usual_rate = 20;
    plan.reserved_rate = 10;
    plan.price = 2;
    CHECK(plans.unit_value(plan, 5) == doctest::Approx(2));
    CHECK(plans.unit_value(plan, 20) == doctest::Approx(2 * (10 + 0.5 * 10) / 20));
    CHECK(plans.unit_value(plan, 100) == doctest::Approx(2 * (10 + 0.5 * 10 + 0.1 * 80) / 100));
}

TEST_CASE("a plan with zero weight and zero rates causes no division by zero") {
    PlanTable plans = table_with_excess_value();
    PlanConfig empty;
    empty.weight = 0;
    plans.set(PlanId{0}, empty);
    CHECK(plans.queue_weight(plans.get(PlanId{0})) == min_weight);
    CHECK(plans.total_usual_value() == doctest::Approx(0.1));
}

} // namespace
} // namespace knotvane::scheduling
