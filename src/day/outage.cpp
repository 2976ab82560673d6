#include "day/outage.hpp"

#include <random>
#include <sstream>

#include "edge/layout.hpp"

namespace knotvane::day {
namespace {

// Each cycle: an undisturbed time, the drain and the planner's kill, then enough undisturbed time
// for the drain to end on all edges.
constexpr Time undisturbed_time = 700 * ms, cycle_time = 2600 * ms;
constexpr std::uint64_t extent = 256 << 10, span = 64 << 10; // those of fleet::edge_settings
constexpr std::uint64_t nodes = 3;

} // namespace

Outages make_outages(std::uint32_t times, std::uint64_t seed) {
    std::ranlux24_base random(static_cast<std::ranlux24_base::result_type>(seed));
    auto random_time_under = [&](Time most) {
        return static_cast<Time>(random() % static_cast<std::uint64_t>(most / ms)) * ms;
    };
    std::vector<ShardId> shards;
    for (std::uint64_t i = 0; i < nodes; ++i)
        shards.emplace_back(static_cast<std::int32_t>(i));
    edge::Layout layout(extent, span, shards);
    // Offset of the volume's first extent on the drained node's shard, and of the first on another.
    std::uint64_t drained_offset = 0, other_offset = 0;
    while (layout.shard_of(VolumeId{1}, drained_offset) != ShardId{0})
        drained_offset += extent;
    while (layout.shard_of(VolumeId{1}, other_offset) == ShardId{0})
        other_offset += extent;
    Outages out;
    std::ostringstream s;
    auto format_ms = [](Time t) { return std::to_string(t / ms) + "ms"; };
    s << "[day]\nplanner = yes\nnodes = " << nodes << "\nedges = 2\nseed = " << seed
      << "\nlength = " << format_ms(undisturbed_time + times * cycle_time)
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
              << (drained ? drained_offset : other_offset) +
                     static_cast<std::uint64_t>(edge) * 128 * 1024
              << "\nregion = 128KiB\n";
    auto trouble = [&](Time at, const char *kind, Time length) {
        s << "\n[trouble t" << ++n << "]\nat = " << format_ms(at) << "\nkind = " << kind
          << "\nlength = " << format_ms(length) << "\nnode = 0\n";
    };
    for (std::uint32_t i = 0; i < times; ++i) {
        Time cycle_start = undisturbed_time + i * cycle_time;
        Time drain = cycle_start + 100 * ms, kill_at = cycle_start + random_time_under(500 * ms),
             outage_length = 300 * ms + random_time_under(700 * ms);
        trouble(drain, "drain", 0);
        trouble(kill_at, "planner_kill", outage_length);
        trouble(cycle_start + 1600 * ms, "undrain", 0);
        out.before.emplace_back(cycle_start - 500 * ms, cycle_start);
        out.dead.emplace_back(kill_at, kill_at + outage_length);
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
        for (auto &[at, served] : t.samples)
            for (auto &[from, to] : spans)
                if (at >= from && at < to)
                    ++all, good += served;
    }
    return {good, all};
}

} // namespace knotvane::day
