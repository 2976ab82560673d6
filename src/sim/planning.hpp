// Planner, edges' subscriptions and nodes' registrations in virtual time: the real cores, a network
// between them that delays, loses, repeats and reorders, clocks that run unlike, and deaths of
// everything. One thread, one seed. After every event it is checked that no limit is parted past
// its whole, that no two edges hold one version with different content, that none goes back, and
// that no drain ends unsaid.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace knotvane::sim {

struct PlanDay {
    std::uint64_t seed = 1;
    Time length = 60 * sec; // of trouble; then it is quiet until all agree
    std::uint32_t edges = 5, nodes = 4, volumes = 6;
    std::uint32_t served = 3;     // volumes an edge has clients of, at most
    Time trouble_every = 2 * sec; // of the fleet: joins, leaves, drains, halls, deaths
    bool planner_dies = true, halls = true;
    double loss = 0.02, repeats = 0.02;
    Time delay = 50 * ms, late = 0; // of a message at most; late: of the planner's own, at most
    Time lease = 6 * sec, fade = 20 * sec;
    // Guards left out on purpose, to prove that the checks would notice.
    bool edges_never_lapse = false, planner_forgets = false;
};

struct PlanResult {
    std::vector<std::string> broken;
    // How long a change took from being durable to the last edge that is up and reached, and to the
    // middle one.
    std::vector<Time> last, middle;
    std::uint64_t planner_bytes_out = 0, planner_bytes_in = 0, events = 0, versions = 0, terms = 0;
    Time settled_after = 0; // from the end of trouble until all agree
    Time length = 0;
    std::map<std::string, std::uint64_t> met;
};

PlanResult play(const PlanDay &day);

} // namespace knotvane::sim
