// A day of planner's deaths: it is killed again and again while a node drains, and service in time
// while it is dead is held against service before.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "day/day.hpp"

namespace knotvane::day {

struct Outages {
    std::string script; // the day's text
    // When the planner lives and nothing drains, and when it is dead; from the day's start.
    std::vector<std::pair<Time, Time>> before, dead;
};

// `times` deaths at points drawn from the seed, before, at and after the drain's arrival at the
// edges. Loads named "steady" ask for extents that the drained node does not hold, "drained" for
// those that it does.
Outages make_outages(std::uint32_t times, std::uint64_t seed);

// Of the steady loads' requests within the spans, how many came well and in time, and how many
// there were.
std::pair<std::uint64_t, std::uint64_t> in_time(const std::map<std::string, Tally> &tallies,
                                                const std::vector<std::pair<Time, Time>> &spans);

} // namespace knotvane::day
