#include "scheduling/plan_table.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

PlanTable table_with_spare_value() {
    UnitConfig units;
    units.usual_unit_value = 0.5;
    units.excess_unit_value = 0.1;
    PlanTable plans;
    plans.configure(units);
    return plans;
}

TEST_CASE("a plan's queue weight holds its reserve at its worth against a share") {
    PlanTable plans = table_with_spare_value();
    PlanConfig plain;
    plain.weight = 1;
    plain.usual_rate = 100;
    PlanConfig reserved = plain;
    reserved.weight = 3;
    reserved.reserved_rate = 50;
    plans.set(PlanId{0}, plain);
    plans.set(PlanId{1}, reserved);
    CHECK(plans.queue_weight(plans.get(PlanId{0})) == doctest::Approx(1));
    // Four shares for 200 units a second: 100 units at the worth of two each weigh as two shares.
    CHECK(plans.queue_weight(plans.get(PlanId{1})) == doctest::Approx(3 + 50 / 0.5 * 4 / 200));
}

TEST_CASE("a unit is worth the mean of reserve, share and spare") {
    PlanTable plans = table_with_spare_value();
    PlanConfig plan;
    plan.usual_rate = 20;
    plan.reserved_rate = 10;
    plan.price = 2;
    CHECK(plans.unit_value(plan, 5) == doctest::Approx(2));
    CHECK(plans.unit_value(plan, 20) == doctest::Approx(2 * (10 + 0.5 * 10) / 20));
    CHECK(plans.unit_value(plan, 100) == doctest::Approx(2 * (10 + 0.5 * 10 + 0.1 * 80) / 100));
}

TEST_CASE("a plan without weight or rate keeps divisions defined") {
    PlanTable plans = table_with_spare_value();
    PlanConfig empty;
    empty.weight = 0;
    plans.set(PlanId{0}, empty);
    CHECK(plans.queue_weight(plans.get(PlanId{0})) == min_weight);
    CHECK(plans.total_usual_value() == doctest::Approx(0.1));
}

} // namespace
} // namespace knotvane::scheduling
