// Snapshots in virtual time: the real cores of planner, edges, nodes, their stores and clients,
// joined by a network that delays, holds and cuts, with deaths of everything in the middle of a
// cut. One thread, one seed. Each snapshot is judged by rules::History from what the clients saw
// and what the stores hold.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace knotvane::sim {

struct CutDay {
    std::uint64_t seed = 1;
    Time length = 6 * sec;
    std::uint32_t nodes = 3, edges = 3, clients = 6;
    double trouble = 1; // times the usual number
    // Guards left out on purpose, to prove that the check would notice.
    bool edges_begin_on = false; // edges say that they hold changes back, and do not
    bool nodes_let_in = false;   // nodes take changes of before the cut from any edge
    bool nodes_cut_once = false; // changes of before that come late go to the volume alone
    bool nobody_waits = false;   // edges say at once that all that began before has ended
};

struct CutResult {
    std::vector<std::string> broken;
    std::uint64_t writes = 0, answered = 0, taken = 0, refused = 0, clones = 0, events = 0;
    std::vector<Time> took; // writes answered well
    std::map<std::string, std::uint64_t> met;
};

CutResult play(const CutDay &day);

} // namespace knotvane::sim
