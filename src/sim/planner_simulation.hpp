// Simulates the planner, the edges' planner clients and the nodes' registrations in virtual time:
// real cores, a network that delays, loses, duplicates and reorders messages, drifting clocks, and
// crashes of every process. It is single-threaded and driven by one seed. After every event it
// checks that the quota shares of a volume do not exceed its limit, that a version has the same
// content on all edges, that no edge returns to an older version, and that no drain ends without an
// operator's request.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace knotvane::sim {

struct PlannerScenario {
    std::uint64_t seed = 1;
    Time length =
        60 * sec; // of the phase with faults; a phase without faults follows until all agree
    std::uint32_t edges = 5, nodes = 4, volumes = 6;
    std::uint32_t served = 3;      // maximum number of volumes per edge that have clients
    Time fault_interval = 2 * sec; // mean interval of faults and changes in the cluster
    bool planner_dies = true, group_restarts = true;
    double loss = 0.02, repeats = 0.02;
    Time delay = 50 * ms,
         late = 0; // maximum message delay; late: maximum extra delay of the planner's messages
    Time lease = 6 * sec, fade = 20 * sec;
    // Disable safeguards to verify that the checks detect the violation.
    bool edges_ignore_lease_expiry = false, planner_loses_quota_shares = false;
};

struct PlannerSimulationResult {
    std::vector<std::string> violations;
    // Times from the commit of a version until the last edge and the median edge applied it.
    std::vector<Time> last_edge_delays, median_edge_delays;
    std::uint64_t planner_bytes_out = 0, planner_bytes_in = 0, events = 0, versions = 0, terms = 0;
    Time settled_after = 0; // from the end of the faults until all agree
    Time length = 0;
    std::map<std::string, std::uint64_t> event_counts;
};

PlannerSimulationResult simulate(const PlannerScenario &scenario);

} // namespace knotvane::sim
