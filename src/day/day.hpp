// A scripted day: load and troubles at stated times against a whole gateway on loopback, recorded
// by a relay and judged from the recording.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"
#include "load/driver.hpp"
#include "rules/judge.hpp"

namespace knotvane::day {

struct Trouble {
    Time at, length;
    std::string kind;
    std::size_t node, edge; // edge ~0: all
    std::uint64_t count;
    double size;
    bool lose;
    std::string volume{}; // of a snapshot
};

struct Load {
    std::string name, plan;
    std::size_t edge;
    Time due, write_due;
    double value, write_value;
    load::Shape shape;
};

struct Script {
    std::string scheduling, service; // settings' text for edges and nodes
    std::uint64_t nodes = 3, edges = 1, seed = 1;
    bool planner = false; // a process of its own tells nodes, volumes and parts
    Time length = 10 * sec;
    std::vector<Load> loads;
    std::vector<Trouble> troubles;
};

// Reads a day's file; with any fault the script is not to be played.
Script read_script(const std::string &name, const std::string &text,
                   std::vector<std::string> &faults);

// What came of a stream, by command.
struct Tally {
    std::uint64_t asked = 0, good = 0, in_time = 0, denied = 0, errored = 0, lost = 0, missed = 0;
    double value = 0, value_due = 0;
    std::vector<Time> took;
    std::vector<std::pair<Time, bool>>
        samples; // when asked for, from the day's start, and whether well and in time
    std::vector<std::pair<double, double>>
        course; // value delivered in time and asked for, by second
};

inline constexpr const char *snapshots = "@snapshots"; // no load has such a name
// Snapshots are in a tally of their own, under this name: how long each took, and those that were
// not taken as denied. Plays a script in a folder, records to a file there, and tells of each
// stream. Throws std::runtime_error.
std::map<std::string, Tally> play(const Script &script, const std::string &dir,
                                  const std::string &recording, const fleet::MakeScheduler &make);

} // namespace knotvane::day
