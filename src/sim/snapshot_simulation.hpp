// Simulates snapshots in virtual time: real planner, edge and node cores with their stores, and
// clients, connected by a network that delays and disconnects. Every process can crash while a
// snapshot is being taken. It is single-threaded and driven by one seed. rules::History checks each
// snapshot against the replies that clients received and the contents of the stores.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace knotvane::sim {

struct SnapshotScenario {
    std::uint64_t seed = 1;
    Time length = 6 * sec;
    std::uint32_t nodes = 3, edges = 3, clients = 6;
    double fault_rate = 1; // relative to the usual rate
    // Disable safeguards to verify that the check detects the violation.
    bool edges_skip_hold = false;       // edges report that they hold writes, but do not
    bool nodes_admit_all_edges = false; // nodes accept writes of the previous epoch from any edge
    bool nodes_seal_at_once = false;    // late writes of the previous epoch reach the volume only
    bool edges_report_drained_at_once =
        false; // edges report at once that earlier writes have ended
};

struct SnapshotSimulationResult {
    std::vector<std::string> violations;
    std::uint64_t writes = 0, answered = 0, snapshots_taken = 0, snapshots_refused = 0, clones = 0,
                  events = 0;
    std::vector<Time> write_latencies; // latencies of successful writes
    std::map<std::string, std::uint64_t> event_counts;
};

SnapshotSimulationResult simulate(const SnapshotScenario &scenario);

} // namespace knotvane::sim
