// The gateway in virtual time: the real cores of edges and nodes, clients that drive them, a
// network between them that delays, splits and cuts, and the judge of the rules beside the edges.
// One thread, one seed: a day that fails replays.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "rules/judge.hpp"

namespace knotvane::sim {

// What a day brings, each as the chance that it is in it (0 to 1) or a number.
struct Day {
    std::uint64_t seed = 1;
    Time length = 4 * sec;
    std::uint32_t nodes = 3, edges = 1, clients = 3;
    double faults = 1;   // times the usual number of node faults
    double cuts = 1;     // connections held or reset on the way
    double restarts = 1; // of nodes, some losing what was not flushed
    double drains = 1;   // nodes replaced, their list told late
    bool at_most_once = false;
    bool limits = false;
    // Guards left out on purpose, to prove that the judge would notice.
    bool without_turns = false, without_marks = false;
};

struct Result {
    std::vector<std::string> broken;
    std::uint64_t requests = 0, delivered = 0, shots = 0, events = 0;
    std::map<std::string, std::uint64_t> met; // faults by name, and how often each rule was judged
};

// Plays one day to its end and judges it.
Result play(const Day &day);

} // namespace knotvane::sim
