// Snapshots in virtual time with everything dying in the middle, and the guards without which they
// would be wrong.
#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <string>

#include "sim/cutting.hpp"

using namespace knotvane;

namespace {
// Plays so many seeds, from the first on; how many days were broken.
int broken_days(int first, int seeds, const std::function<void(sim::CutDay &)> &change,
                std::map<std::string, std::uint64_t> *met = nullptr) {
    int out = 0;
    for (int seed = first; seed < first + seeds; ++seed) {
        sim::CutDay day;
        day.seed = static_cast<std::uint64_t>(seed);
        change(day);
        auto r = sim::play(day);
        out += !r.broken.empty();
        if (!met)
            continue;
        for (auto &[what, n] : r.met)
            (*met)[what] += n;
        (*met)["taken"] += r.taken, (*met)["refused"] += r.refused,
            (*met)["answered"] += r.answered, (*met)["clones"] += r.clones,
            (*met)["writes"] += r.writes;
        for (auto &line : r.broken)
            MESSAGE(line);
    }
    return out;
}
// More days by hand: KNOTVANE_DAYS=1000.
int days(int usual) {
    auto *given = std::getenv("KNOTVANE_DAYS");
    return given ? std::atoi(given) : usual;
}
} // namespace

TEST_SUITE("snapshots in virtual time") {
    TEST_CASE("any trouble: a snapshot is exact, or there is nothing of it") {
        std::map<std::string, std::uint64_t> met;
        CHECK(broken_days(
                  1, days(20), [](auto &) {}, &met) == 0);
        for (auto &[what, n] : met)
            MESSAGE(what << ": " << n);
        CHECK(met["taken"] > met["refused"] / 4);
        for (auto what :
             {"node restarts with loss", "planner deaths", "edges cut off", "planner's word late",
              "edges paused", "edge restarts", "shots held", "links severed", "node faults"})
            CHECK_MESSAGE(met[what] > 0, what);
    }
    TEST_CASE("each guard left out is noticed") {
        // From seeds at which it shows soon.
        CHECK(broken_days(17, 4, [](auto &d) { d.edges_begin_on = true; }) > 0);
        CHECK(broken_days(1, 2, [](auto &d) { d.nodes_let_in = true; }) > 0);
        CHECK(broken_days(1, 2, [](auto &d) { d.nodes_cut_once = true; }) > 0);
        // No guard of exactness: who is not waited for is refused, and its change errored where a
        // part was done.
        CHECK(broken_days(5, 4, [](auto &d) { d.nobody_waits = true; }) == 0);
    }
}
