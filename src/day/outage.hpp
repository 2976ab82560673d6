// Generates a scripted day in which the planner is killed repeatedly while a node drains, to
// compare the share of requests served in time during planner outages with the share before them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "day/day.hpp"

namespace knotvane::day {

struct Outages {
    std::string script; // text of the day file
    // Time spans [from, to) since the day's start: planner running and no node draining (`before`),
    // and planner dead.
    std::vector<std::pair<Time, Time>> before, dead;
};

// Schedules `times` planner kills at times drawn from the seed: before, while and after the edges
// learn of the drain. Loads named "steady-" use extents that the drained node doesn't hold, loads
// named "drained-" use extents that it holds.
Outages make_outages(std::uint32_t times, std::uint64_t seed);

// Of the steady loads' requests within the spans: how many succeeded in time, and how many there
// were.
std::pair<std::uint64_t, std::uint64_t> in_time(const std::map<std::string, Tally> &tallies,
                                                const std::vector<std::pair<Time, Time>> &spans);

} // namespace knotvane::day
