// Runs seeded simulations of planner, edges and nodes in virtual time.
#include <doctest/doctest.h>

#include "sim/planner_simulation.hpp"

using namespace knotvane;

namespace {
std::uint64_t count_failed_runs(sim::PlannerScenario scenario, std::uint64_t from,
                                std::uint64_t days, std::string &first,
                                std::map<std::string, std::uint64_t> *met = nullptr) {
    std::uint64_t broken = 0;
    for (scenario.seed = from; scenario.seed < from + days; ++scenario.seed) {
        auto result = sim::simulate(scenario);
        broken += !result.violations.empty();
        if (first.empty() && !result.violations.empty())
            first = result.violations[0];
        if (met)
            for (auto &[what, n] : result.event_counts)
                (*met)[what] += n;
    }
    return broken;
}
} // namespace

TEST_SUITE("planner and edges in virtual time") {
    TEST_CASE("lost, duplicated and reordered messages and crashes break no limit or version") {
        std::string first;
        std::map<std::string, std::uint64_t> met;
        sim::PlannerScenario scenario;
        scenario.fault_interval = 300 * ms;
        CHECK(count_failed_runs(scenario, 1, 30, first, &met) == 0);
        CHECK(first == "");
        for (auto what : {"planner deaths", "planner pauses", "edge pauses", "edge restarts",
                          "drains", "undrains", "halls", "volumes taken up", "volumes left"})
            CHECK(met[what] > 5);
    }
    TEST_CASE("limits and versions hold when planner messages are up to 30 s late") {
        std::string first;
        sim::PlannerScenario scenario;
        scenario.late = 30 * sec, scenario.fault_interval = 500 * ms;
        CHECK(count_failed_runs(scenario, 100, 10, first) == 0);
        CHECK(first == "");
    }
    TEST_CASE("many edges agree again after group restarts and planner crashes") {
        std::string first;
        sim::PlannerScenario scenario;
        scenario.edges = 60, scenario.nodes = 20, scenario.volumes = 30, scenario.length = 8 * sec,
        scenario.fault_interval = 200 * ms;
        CHECK(count_failed_runs(scenario, 7, 2, first) == 0);
        CHECK(first == "");
    }
    TEST_CASE(
        "the checks detect edges that ignore their lease and a planner that loses quota shares") {
        std::string first;
        sim::PlannerScenario scenario;
        scenario.fault_interval = 300 * ms, scenario.edges_ignore_lease_expiry = true;
        CHECK(count_failed_runs(scenario, 1, 8, first) > 0);
        CHECK(first.find("limit") != std::string::npos);
        first.clear();
        scenario.edges_ignore_lease_expiry = false, scenario.planner_loses_quota_shares = true;
        CHECK(count_failed_runs(scenario, 1, 8, first) > 0);
        CHECK(first.find("limit") != std::string::npos);
    }
}
