// Simulates snapshots in virtual time with crashes of every process, and checks that disabling a
// safeguard is detected.
#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <string>

#include "sim/snapshot_simulation.hpp"

using namespace knotvane;

namespace {
// Runs `seeds` simulations starting at seed `first`; returns how many reported violations.
int count_failed_runs(int first, int seeds,
                      const std::function<void(sim::SnapshotScenario &)> &change,
                      std::map<std::string, std::uint64_t> *met = nullptr) {
    int out = 0;
    for (int seed = first; seed < first + seeds; ++seed) {
        sim::SnapshotScenario scenario;
        scenario.seed = static_cast<std::uint64_t>(seed);
        change(scenario);
        auto result = sim::simulate(scenario);
        out += !result.violations.empty();
        if (!met)
            continue;
        for (auto &[what, n] : result.event_counts)
            (*met)[what] += n;
        (*met)["taken"] += result.snapshots_taken, (*met)["refused"] += result.snapshots_refused,
            (*met)["answered"] += result.answered, (*met)["clones"] += result.clones,
            (*met)["writes"] += result.writes;
        for (auto &line : result.violations)
            MESSAGE(line);
    }
    return out;
}
// KNOTVANE_DAYS=1000 runs more seeds.
int days(int usual) {
    auto *given = std::getenv("KNOTVANE_DAYS");
    return given ? std::atoi(given) : usual;
}
} // namespace

TEST_SUITE("snapshots in virtual time") {
    TEST_CASE("under any fault a snapshot is exact or leaves nothing behind") {
        std::map<std::string, std::uint64_t> met;
        CHECK(count_failed_runs(
                  1, days(20), [](auto &) {}, &met) == 0);
        for (auto &[what, n] : met)
            MESSAGE(what << ": " << n);
        CHECK(met["taken"] > met["refused"] / 4);
        for (auto what :
             {"node restarts with loss", "planner deaths", "edges cut off", "planner's word late",
              "edges paused", "edge restarts", "shots held", "links severed", "node faults"})
            CHECK_MESSAGE(met[what] > 0, what);
    }
    TEST_CASE("each disabled safeguard is detected") {
        // Starts at seeds that show the violation early.
        CHECK(count_failed_runs(17, 4, [](auto &scenario) { scenario.edges_skip_hold = true; }) >
              0);
        CHECK(count_failed_runs(1, 2,
                                [](auto &scenario) { scenario.nodes_admit_all_edges = true; }) > 0);
        CHECK(count_failed_runs(1, 2, [](auto &scenario) { scenario.nodes_seal_at_once = true; }) >
              0);
        // This safeguard is not needed for exactness: without waiting, nodes reject the late
        // writes, and a partially applied write ends with an error.
        CHECK(count_failed_runs(
                  5, 4, [](auto &scenario) { scenario.edges_report_drained_at_once = true; }) == 0);
    }
}
