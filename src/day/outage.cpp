#include "day/outage.hpp"

#include <random>
#include <sstream>

#include "edge/layout.hpp"

namespace knotvane::day {
namespace {

// One death's turn: quiet, drain and death, quiet again until the drain has ended everywhere.
constexpr Time quiet = 700 * ms, turn = 2600 * ms;
constexpr std::uint64_t extent = 256 << 10, span = 64 << 10; // those of fleet::edge_settings
constexpr std::uint64_t nodes = 3;

} // namespace

Outages make_outages(std::uint32_t times, std::uint64_t seed) {
    std::ranlux24_base chance(static_cast<std::ranlux24_base::result_type>(seed));
    auto under = [&](Time most) {
        return static_cast<Time>(chance() % static_cast<std::uint64_t>(most / ms)) * ms;
    };
    std::vector<ShardId> shards;
    for (std::uint64_t i = 0; i < nodes; ++i)
        shards.emplace_back(static_cast<std::int32_t>(i));
    edge::Layout layout(extent, span, shards);
    // The first extents of the volume on the drained node's shard, and on others.
    std::uint64_t held = 0, other = 0;
    while (layout.shard_of(VolumeId{1}, held) != ShardId{0})
        held += extent;
    while (layout.shard_of(VolumeId{1}, other) == ShardId{0})
        other += extent;
    Outages out;
    std::ostringstream s;
    auto msec = [](Time t) { return std::to_string(t / ms) + "ms"; };
    s << "[day]\nplanner = yes\nnodes = " << nodes << "\nedges = 2\nseed = " << seed
      << "\nlength = " << msec(quiet + times * turn)
      << "\n\n[speed]\nunit_time = 1ms\ncores = 2\nslots = 4\nroom = 64\n"
      << "\n[plan p]\nweight = 1\nusual = 200\nlimit = 600\nburst = 300\n\n[volume v]\nid = "
         "1\nsize = 64MiB\nplan = p\n\n"
      << fleet::sections(fleet::default_scheduling(), {"workload", "shots"});
    int n = 0;
    for (int edge : {0, 1})
        for (bool drained : {false, true})
            s << "\n[load " << (drained ? "drained-" : "steady-") << edge
              << "]\nvolume = v\nedge = " << edge
              << "\nconnections = 2\nflying = 8\nrate = " << (drained ? 30 : 80)
              << "\nreads = 0.7\nleast = 512\nmost = 8KiB\nfrom = "
              << (drained ? held : other) + static_cast<std::uint64_t>(edge) * 128 * 1024
              << "\nregion = 128KiB\n";
    auto trouble = [&](Time at, const char *kind, Time length) {
        s << "\n[trouble t" << ++n << "]\nat = " << msec(at) << "\nkind = " << kind
          << "\nlength = " << msec(length) << "\nnode = 0\n";
    };
    for (std::uint32_t i = 0; i < times; ++i) {
        Time begins = quiet + i * turn;
        Time drain = begins + 100 * ms, dies = begins + under(500 * ms),
             dead = 300 * ms + under(700 * ms);
        trouble(drain, "drain", 0);
        trouble(dies, "planner_kill", dead);
        trouble(begins + 1600 * ms, "undrain", 0);
        out.before.emplace_back(begins - 500 * ms, begins);
        out.dead.emplace_back(dies, dies + dead);
    }
    out.script = s.str();
    return out;
}

std::pair<std::uint64_t, std::uint64_t> in_time(const std::map<std::string, Tally> &tallies,
                                                const std::vector<std::pair<Time, Time>> &spans) {
    std::uint64_t good = 0, all = 0;
    for (auto &[name, t] : tallies) {
        if (!name.starts_with("steady"))
            continue;
        for (auto &[at, well] : t.samples)
            for (auto &[from, to] : spans)
                if (at >= from && at < to)
                    ++all, good += well;
    }
    return {good, all};
}

} // namespace knotvane::day
