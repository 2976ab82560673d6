// Planner, edges and nodes in virtual time, from seeds.
#include <doctest/doctest.h>

#include "sim/planning.hpp"

using namespace knotvane;

namespace {
std::uint64_t broken_days(sim::PlanDay day, std::uint64_t from, std::uint64_t days,
                          std::string &first, std::map<std::string, std::uint64_t> *met = nullptr) {
    std::uint64_t broken = 0;
    for (day.seed = from; day.seed < from + days; ++day.seed) {
        auto r = sim::play(day);
        broken += !r.broken.empty();
        if (first.empty() && !r.broken.empty())
            first = r.broken[0];
        if (met)
            for (auto &[what, n] : r.met)
                (*met)[what] += n;
    }
    return broken;
}
} // namespace

TEST_SUITE("planner and edges in virtual time") {
    TEST_CASE("messages lost, repeated and reordered, deaths of everything: no limit passed, no "
              "version twofold") {
        std::string first;
        std::map<std::string, std::uint64_t> met;
        sim::PlanDay day;
        day.trouble_every = 300 * ms;
        CHECK(broken_days(day, 1, 30, first, &met) == 0);
        CHECK(first == "");
        for (auto what : {"planner deaths", "planner pauses", "edge pauses", "edge restarts",
                          "drains", "undrains", "halls", "volumes taken up", "volumes left"})
            CHECK(met[what] > 5);
    }
    TEST_CASE("a planner that is late by up to 30 s") {
        std::string first;
        sim::PlanDay day;
        day.late = 30 * sec, day.trouble_every = 500 * ms;
        CHECK(broken_days(day, 100, 10, first) == 0);
        CHECK(first == "");
    }
    TEST_CASE("many edges, a hall that restarts, a planner that dies: all agree again") {
        std::string first;
        sim::PlanDay day;
        day.edges = 60, day.nodes = 20, day.volumes = 30, day.length = 8 * sec,
        day.trouble_every = 200 * ms;
        CHECK(broken_days(day, 7, 2, first) == 0);
        CHECK(first == "");
    }
    TEST_CASE(
        "the checks notice: edges that never lapse, a planner that forgets what it gave out") {
        std::string first;
        sim::PlanDay day;
        day.trouble_every = 300 * ms, day.edges_never_lapse = true;
        CHECK(broken_days(day, 1, 8, first) > 0);
        CHECK(first.find("limit") != std::string::npos);
        first.clear();
        day.edges_never_lapse = false, day.planner_forgets = true;
        CHECK(broken_days(day, 1, 8, first) > 0);
        CHECK(first.find("limit") != std::string::npos);
    }
}
