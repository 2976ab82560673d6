#include "edge/settings.hpp"

#include <limits>
#include <map>
#include <set>

#include "settings/fleet_sections.hpp"

namespace knotvane::edge {
namespace {

constexpr double any = std::numeric_limits<double>::max();

// What is told of a plan or a volume by its name elsewhere in the file.
struct Named {
    std::map<std::string, PlanId> plans;
    std::set<std::string> volumes;
    bool by_planner = false;
};

// Plans and volumes of an edge that has no planner.
void read_fleet(settings::File &file, Core *core, Named &named) {
    std::uint32_t next = 0;
    settings::read_plans(file, [&](const std::string &name, double weight, double usual,
                                   double reserve, double price, double rate, double burst) {
        PlanId id{next++};
        named.plans[name] = id;
        if (core)
            core->set_plan(id, {weight, usual, reserve, price, rate, burst});
    });
    std::map<std::string, std::uint32_t> hosts;
    for (auto *s : file.all("volume"))
        hosts[s->name()] = static_cast<std::uint32_t>(s->count("hosts", 1, 100000, 1));
    settings::read_volumes(
        file, named.plans,
        [&](VolumeId id, const std::string &name, std::uint64_t size, std::uint32_t least,
            const std::string &plan, int) {
            named.volumes.insert(name);
            if (core)
                core->add_volume(id, {name, size, least, named.plans.at(plan), hosts[name]});
        });
}

void read_workloads(settings::File &file, Core *core, Named &named) {
    std::uint32_t next = 0;
    bool all_of[5] = {};
    for (auto *s : file.all("workload")) {
        WorkloadId id{next++};
        auto command = s->choice("command", {"read", "write", "zero", "flush", "status"}, 0);
        bool writes = command == 1 || command == 2;
        auto up_to = s->bytes("up_to", std::numeric_limits<std::uint32_t>::max());
        std::string volume = s->text("volume", "");
        Time due = s->time("due"), timeout = s->time("client_timeout");
        double value = s->number("value", 0, 1e9, 1), late = s->number("late_part", 0, 1, 0);
        auto repeat = static_cast<Idempotency>(
            s->choice("repeat", {"reissuable", "numbered", "at_most_once"}, 0));
        Time window = s->time("window", 0), rest = s->time("key_rest", 0);
        if (due <= 0 || due > timeout)
            s->fault("due", "expected above 0 and at most client_timeout");
        if ((repeat == Idempotency::deduplicated) != (window > 0))
            s->fault("window", "numbered workloads have a window, and no others");
        if (repeat == Idempotency::deduplicated && !writes)
            s->fault("repeat", "only writes and zeroes are numbered");
        // A copy that may still run must not meet a later write to the same bytes
        // (docs/design/gateway.md).
        Time longest = window > 0 ? window : timeout;
        if (writes && rest < longest)
            s->fault("key_rest", "expected at least how long a shot may still run, " +
                                     std::to_string(longest / ms) +
                                     "ms (window, or client_timeout without one)");
        if (!writes && rest > 0)
            s->fault("key_rest", "only writes and zeroes go by turns");
        if (!volume.empty() && !named.by_planner && !named.volumes.contains(volume))
            s->fault("volume", "no section [volume " + volume + "]");
        all_of[command] |= volume.empty() && !s->has("up_to");
        if (!core)
            continue;
        WorkloadConfig workload;
        workload.latency_objective = due;
        workload.value = value;
        workload.late_value_fraction = late;
        workload.idempotency = repeat;
        workload.deduplication_scope = DeduplicationScope::shard;
        workload.deduplication_window = window;
        workload.ordered_by_key = writes;
        workload.key_rest = rest;
        core->scheduler().set_workload(id, workload);
        core->add_workload({id, static_cast<Command>(command), static_cast<std::uint32_t>(up_to),
                            volume, timeout, repeat == Idempotency::deduplicated ? window : 0});
    }
    static constexpr const char *commands[] = {"read", "write", "zero", "flush", "status"};
    for (int i = 0; i < 5; ++i)
        if (!all_of[i])
            file.fault(0, std::string("no [workload NAME] is for every ") + commands[i] +
                              ": one without up_to and volume is needed");
}

} // namespace

void read_identity(settings::File &file,
                   const std::function<void(std::uint64_t, std::uint32_t, std::uint32_t,
                                            std::string, std::string, std::uint64_t)> &tell) {
    auto &s = file.one("edge", true);
    auto id = s.count("id", 0, 1 << 20);
    auto edges = s.count("edges", 1, 1 << 20, 1);
    if (id >= edges)
        s.fault("id",
                "expected below edges, " + std::to_string(edges) + ": they are counted from 0");
    tell(id, static_cast<std::uint32_t>(edges),
         static_cast<std::uint32_t>(s.count("zone", 0, 255, 0)),
         s.text("listen", "127.0.0.1:10809"),
         s.has("planner") ? s.text("nodes", "") : s.text("nodes"),
         s.count("seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
    if (s.has("planner") && s.has("nodes"))
        s.fault("nodes", "goes with no planner: nodes are told by it");
}

void read_planner(settings::File &file,
                  const std::function<void(std::string, std::string, Time, Time)> &tell) {
    auto &s = file.one("edge", true);
    auto planner = s.text("planner", ""), plan = s.text("plan_file", "");
    Time renew = s.time("renew_every", sec), trust = s.time("trust", 24 * 3600 * sec);
    if (renew <= 0)
        s.fault("renew_every", "expected above 0");
    if (planner.empty() && s.has("plan_file"))
        s.fault("plan_file", "goes with a planner");
    tell(planner, plan, renew, trust);
}

void read_layout(settings::File &file,
                 const std::function<void(std::uint64_t, std::uint64_t, std::uint64_t,
                                          std::vector<ShardId>)> &tell) {
    auto &s = file.one("layout", true);
    auto extent = s.bytes("extent"), span = s.bytes("span"), unit = s.bytes("unit");
    auto shards = s.count("shards", 1, 65535);
    if (span < 4096 || (span & (span - 1)) != 0)
        s.fault("span", "expected a power of two from 4KiB");
    if (span == 0 || extent % std::max<std::uint64_t>(span, 1) != 0 || extent == 0)
        s.fault("extent", "expected a multiple of span");
    if (extent > 8 << 20)
        s.fault("extent", "expected at most 8MiB: a task is not larger than one");
    if (unit == 0)
        s.fault("unit", "expected above 0");
    std::vector<ShardId> all;
    for (std::uint64_t i = 0; i < shards; ++i)
        all.emplace_back(static_cast<std::int32_t>(i));
    tell(extent, span, unit, std::move(all));
}

void read_service(settings::File &file, Core *core) {
    SchedulerConfig config;
    auto &edge = file.one("edge", true);
    auto &layout = file.one("layout", true);
    config.self = PeerId{static_cast<std::uint32_t>(edge.count("id", 0, 1 << 20))};
    config.scheduler_count = static_cast<std::uint32_t>(edge.count("edges", 1, 1 << 20, 1));
    edge.count("zone", 0, 255, 0); // checked; the decisions don't use it
    auto &units = file.one("units", false);
    double largest =
        1 + static_cast<double>(layout.bytes("extent", 1)) /
                static_cast<double>(std::max<std::uint64_t>(1, layout.bytes("unit", 1)));
    double mean = units.number("mean", 0, any, 2), share = units.number("share_worth", 0, 1, 0.35),
           spare = units.number("spare_worth", 0, 1, 0.08);
    double copy = units.number("copy", 0, any, 0);
    config.units = {mean, largest + copy, share, spare};
    if (core)
        core->set_copy_on_write_units(copy);
    Named named;
    // With a planner these come from it, and sections here would only contradict it.
    named.by_planner = edge.has("planner");
    if (!named.by_planner)
        read_fleet(file, core, named);
    read_workloads(file, core, named);
    auto &shots = file.one("shots", false);
    auto most = shots.count("most", 1, 16, 3);
    bool parallel = shots.flag("parallel", false), off = shots.flag("call_off", true);
    double each = shots.number("further_each", 0, 16, 0),
           free = shots.number("further_free", 0, 1e9, 0);
    Time span = shots.time("further_span", 0), denial = shots.time("longest_wait", sec);
    bool marked = shots.flag("clients_mark_repeats", false);
    if ((each > 0 || free > 0) != (span > 0))
        shots.fault("further_span", "goes with further_each or further_free");
    auto &nodes = file.one("nodes", false);
    nodes.time("drain_grace", 250 * ms); // checked; the decisions don't use it
    double cold_units = nodes.number("cold_units", 0, any, 0),
           start = nodes.number("start_part", 0, 1, 1);
    Time cold_span = nodes.time("cold_span", 0), warm = nodes.time("warm_after", 0);
    if ((cold_units > 0) != (cold_span > 0) || (cold_units > 0) != (warm > 0))
        nodes.fault("cold_units", "cold_units, cold_span and warm_after go together");
    auto each_links = nodes.count("connections", 1, 64, 2);
    Time connect = nodes.time("connect_timeout", 250 * ms), stall = nodes.time("stall", 300 * ms),
         idle = nodes.time("idle_close", 60 * sec);
    auto most_out = nodes.bytes("most_unsent", 1 << 20);
    auto &door = file.one("door", false);
    auto flying = door.count("requests_each", 1, 4096, 128);
    auto request = door.bytes("largest_request", 4 << 20),
         bytes = door.bytes("most_bytes", 512 << 20);
    auto tasks = door.count("most_tasks", 16, 10000000, 16384);
    if (request < 64 << 10 || request > 32 << 20)
        door.fault("largest_request", "expected 64KiB to 32MiB");
    if (bytes < 2 * request)
        door.fault("most_bytes", "expected at least twice the largest request");
    if (!core)
        return;
    config.max_retry_after = denial;
    config.clients_mark_repeats = marked;
    config.attempts = {static_cast<std::uint32_t>(most), parallel, off};
    config.retry_budget = {each, free, span};
    config.slow_start = {cold_units, cold_span, warm, start};
    core->scheduler().configure(config);
    core->set_node_connections({each_links, connect, stall, idle, most_out});
    core->set_admission_limits(
        {static_cast<std::uint32_t>(flying), static_cast<std::uint32_t>(request), tasks, bytes});
}

void check(settings::File &file) {
    read_identity(file, [](auto...) {});
    read_planner(file, [](auto...) {});
    read_layout(file, [](auto...) {});
    read_service(file, nullptr);
}

} // namespace knotvane::edge
