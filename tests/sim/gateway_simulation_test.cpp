// Runs short seeded simulations with every kind of fault; no rule may be violated and no wrong data
// returned. A failure names its seed. KNOTVANE_SEED=n runs only that seed, KNOTVANE_DAYS=n sets the
// number of seeds.
#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

#include "sim/gateway_simulation.hpp"

using namespace knotvane;

namespace {
sim::Scenario scenario_for_seed(std::uint64_t seed) {
    sim::Scenario scenario;
    scenario.seed = seed;
    scenario.edges = 1 + seed % 2;
    scenario.at_most_once = seed % 5 == 4;
    scenario.limits = seed % 7 == 3;
    // Some seeds have only one kind of fault, so that its effects are not hidden by others.
    if (seed % 4 == 1)
        scenario.restarts = scenario.drains = scenario.cuts = 0;
    if (seed % 4 == 2)
        scenario.restarts = scenario.drains = scenario.faults = 0;
    if (seed % 4 == 3)
        scenario.cuts = scenario.faults = 0;
    return scenario;
}
std::uint64_t environment_number(const char *name, std::uint64_t fallback) {
    const char *v = std::getenv(name);
    return v ? std::strtoull(v, nullptr, 10) : fallback;
}
} // namespace

TEST_CASE("no simulation with random faults violates a rule or returns wrong data") {
    std::uint64_t first = environment_number("KNOTVANE_SEED", 1);
    std::uint64_t days = std::getenv("KNOTVANE_SEED") ? 1 : environment_number("KNOTVANE_DAYS", 40);
    std::map<std::string, std::uint64_t> met;
    std::uint64_t requests = 0, delivered = 0, bad = 0;
    for (auto seed = first; seed < first + days; ++seed) {
        auto result = sim::simulate(scenario_for_seed(seed));
        for (auto &b : result.violations) {
            INFO("seed " << seed);
            FAIL_CHECK(b);
        }
        bad += !result.violations.empty();
        requests += result.requests, delivered += result.delivered;
        for (auto &[name, n] : result.event_counts)
            met[name] += n;
    }
    std::cout << days << " days, " << requests << " requests, " << delivered << " delivered, "
              << bad << " bad days\n";
    for (auto &[name, n] : met)
        std::cout << "  " << name << ": " << n << "\n";
    CHECK(delivered > requests / 10); // immediate retries of clients count as requests
}

TEST_CASE("the rule checker detects each disabled safeguard") {
    auto broken = [](auto disable_safeguard) {
        std::string all;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            auto scenario = scenario_for_seed(
                4 * seed + 2); // connections are delayed, so duplicates arrive late
            scenario.at_most_once = false;
            disable_safeguard(scenario);
            for (auto &b : sim::simulate(scenario).violations)
                all += b + "\n";
        }
        return all;
    };
    CHECK(broken([](sim::Scenario &scenario) {
              scenario.without_key_order = true;
          }).find("rule 5") != std::string::npos);
    CHECK(broken([](sim::Scenario &scenario) {
              scenario.without_key_order = scenario.without_repeat_detection = true;
          }).find("rule data") != std::string::npos);
}
