// Simulates the gateway in virtual time: real edge and node cores, load clients, a network that
// delays, splits and disconnects, and the rule checker that observes the edges' traffic. It is
// single-threaded and driven by one seed, so a failed run can be reproduced.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "rules/rule_checker.hpp"

namespace knotvane::sim {

// Configures a simulation run. Fault fields are relative rates: 1 is the usual rate, 0 is none.
struct Scenario {
    std::uint64_t seed = 1;
    Time length = 4 * sec;
    std::uint32_t nodes = 3, edges = 1, clients = 3;
    double faults = 1;   // node faults
    double cuts = 1;     // connections delayed or disconnected by the network
    double restarts = 1; // node restarts, some losing unflushed data
    double drains = 1;   // nodes drained and replaced; edges receive the changed endpoint list late
    bool at_most_once = false;
    bool limits = false;
    // Disable safeguards to verify that the rule checker detects the violation.
    bool without_key_order = false, without_repeat_detection = false;
};

struct Result {
    std::vector<std::string> violations;
    std::uint64_t requests = 0, delivered = 0, shots = 0, events = 0;
    std::map<std::string, std::uint64_t>
        event_counts; // faults by name, and the number of checks per rule
};

// Runs the scenario to its end and returns all rule violations.
Result simulate(const Scenario &scenario);

} // namespace knotvane::sim
