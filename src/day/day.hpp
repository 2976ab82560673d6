// A scripted day: loads and faults at given times against a complete gateway on loopback. A relay
// records the traffic, and the rules are judged from the recording.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"
#include "load/driver.hpp"
#include "rules/rule_checker.hpp"

namespace knotvane::day {

// A [trouble] section: a fault or an operator's action; `at` counts from the day's start.
struct Trouble {
    Time at, length;
    std::string kind;
    std::size_t node, edge; // indices; edge ~0: all edges
    std::uint64_t count;
    double size;
    bool lose;
    std::string volume{}; // source volume of kind "snapshot"
};

// A [load] section: a stream, the latency objectives of its reads and writes, and the value of each
// reply in time.
struct Load {
    std::string name, plan;
    std::size_t edge;
    Time due, write_due;
    double value, write_value;
    load::Shape shape;
};

struct Script {
    std::string scheduling, service; // settings texts for edges and nodes
    std::uint64_t nodes = 3, edges = 1, seed = 1;
    bool planner = false; // a planner process announces nodes and volumes
    Time length = 10 * sec;
    std::vector<Load> loads;
    std::vector<Trouble> troubles;
};

// Parses a day file; `name` stands in fault messages. The script must not be played if any fault
// was appended to `faults`.
Script read_script(const std::string &name, const std::string &text,
                   std::vector<std::string> &faults);

// Request counts and values of one load. `good` counts all successes, `in_time` those within their
// objective; `took` has the latencies of the successes.
struct Tally {
    std::uint64_t asked = 0, good = 0, in_time = 0, denied = 0, errored = 0, lost = 0, missed = 0;
    double value = 0, value_due = 0;
    std::vector<Time> took;
    std::vector<std::pair<Time, bool>>
        samples; // intended send time since the day's start; succeeded in time
    std::vector<std::pair<double, double>>
        course; // per second: value served in time, value requested
};

inline constexpr const char *snapshots = "@snapshots"; // can't clash with a load's name
// Plays a script with `dir` as the gateway's folder, writes the recording to the file `recording`
// and returns a tally per load. Snapshots have their own tally under the name `snapshots`: how long
// each took, with failed ones counted as denied. Throws std::runtime_error.
std::map<std::string, Tally> play(const Script &script, const std::string &dir,
                                  const std::string &recording, const fleet::MakeScheduler &make);

} // namespace knotvane::day
