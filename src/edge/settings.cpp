#include "edge/settings.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <map>
#include <set>
#include <string_view>

#include "settings/fleet_sections.hpp"

namespace knotvane::edge {
namespace {

constexpr double unbounded = std::numeric_limits<double>::max();
constexpr std::uint64_t max_edges = 1 << 20;
constexpr std::uint64_t max_zone = 255;
constexpr Time hour = 3600 * sec;

constexpr std::uint64_t min_span_bytes = 4096;
/// A scheduled request is not larger than an extent, so this limits its size.
constexpr std::uint64_t max_extent_bytes = 8 << 20;

constexpr std::uint64_t min_largest_request = 64 << 10;
constexpr std::uint64_t max_largest_request = 32 << 20;

/// In the order of Command.
constexpr std::array<std::string_view, 5> command_names{"read", "write", "zero", "flush", "status"};

/// Plans and volumes of an edge without a planner, by the names that other sections refer to.
struct NamedSections {
    std::map<std::string, PlanId> plans;
    std::set<std::string> volumes;
    bool from_planner = false; // plans and volumes come from the planner; there are none here
};

void read_plans(settings::File &file, ServiceSettings &settings, NamedSections &named) {
    std::uint32_t next = 0;
    settings::read_plans(file, [&](const std::string &name, double weight, double usual,
                                   double reserve, double price, double rate, double burst) {
        PlanId id{next++};
        named.plans[name] = id;
        settings.plans.push_back({id, {weight, usual, reserve, price, rate, burst}});
    });
}

void read_volumes(settings::File &file, ServiceSettings &settings, NamedSections &named) {
    constexpr std::uint64_t max_sharers = 100000;
    std::map<std::string, std::uint32_t> sharers;
    for (auto *section : file.all("volume"))
        sharers[section->name()] =
            static_cast<std::uint32_t>(section->count("hosts", 1, max_sharers, 1));
    settings::read_volumes(
        file, named.plans,
        [&](VolumeId id, const std::string &name, std::uint64_t size, std::uint32_t least,
            const std::string &plan, int) {
            named.volumes.insert(name);
            // An unknown plan has been reported as a fault already.
            auto known = named.plans.find(plan);
            auto plan_id = known == named.plans.end() ? PlanId{} : known->second;
            settings.volumes.push_back({id, {name, size, least, plan_id, sharers[name]}});
        });
}

/// An attempt of a write that may still run must not overlap a later write to the same bytes
/// (docs/design/gateway.md), so key_rest must be at least as long.
void check_key_rest(settings::Section &section, const WorkloadConfig &workload,
                    const WorkloadRule &rule) {
    bool writes = is_change(rule.command);
    Time window = workload.deduplication_window;
    Time max_attempt_duration = window > 0 ? window : rule.client_timeout;
    if (writes && workload.key_cooldown < max_attempt_duration)
        section.fault("key_rest", "expected at least the time that an attempt may still run, " +
                                      std::to_string(max_attempt_duration / ms) +
                                      "ms (window, or client_timeout if there is no window)");
    if (!writes && workload.key_cooldown > 0)
        section.fault("key_rest",
                      "expected 0: only writes and zeroes wait for earlier ones to the same span");
}

void check_workload(settings::Section &section, const WorkloadConfig &workload,
                    const WorkloadRule &rule) {
    bool deduplicated = workload.idempotency == Idempotency::deduplicated;
    if (workload.latency_objective <= 0 || workload.latency_objective > rule.client_timeout)
        section.fault("due", "expected above 0 and at most client_timeout");
    if (deduplicated != (workload.deduplication_window > 0))
        section.fault("window",
                      "expected above 0 with repeat = numbered, and 0 or no window otherwise");
    if (deduplicated && !is_change(rule.command))
        section.fault("repeat", "expected numbered only for the commands write and zero");
    check_key_rest(section, workload, rule);
}

std::pair<WorkloadConfig, WorkloadRule> read_workload(settings::Section &section, WorkloadId id) {
    WorkloadRule rule;
    rule.workload = id;
    rule.command = static_cast<Command>(
        section.choice("command", {"read", "write", "zero", "flush", "status"}, 0));
    rule.max_bytes = static_cast<std::uint32_t>(
        section.bytes("up_to", std::numeric_limits<std::uint32_t>::max()));
    rule.volume = section.text("volume", "");

    WorkloadConfig workload;
    workload.latency_objective = section.time("due");
    rule.client_timeout = section.time("client_timeout");
    workload.value = section.number("value", 0, 1e9, 1);
    workload.late_value_fraction = section.number("late_part", 0, 1, 0);
    workload.idempotency = static_cast<Idempotency>(
        section.choice("repeat", {"reissuable", "numbered", "at_most_once"}, 0));
    workload.deduplication_scope = DeduplicationScope::shard;
    workload.deduplication_window = section.time("window", 0);
    workload.ordered_by_key = is_change(rule.command);
    workload.key_cooldown = section.time("key_rest", 0);
    if (workload.idempotency == Idempotency::deduplicated)
        rule.deduplication_window = workload.deduplication_window;
    return {workload, rule};
}

void read_workloads(settings::File &file, ServiceSettings &settings, const NamedSections &named) {
    std::uint32_t next = 0;
    std::set<Command> covered; // commands that have a workload for every request
    for (auto *section : file.all("workload")) {
        auto [workload, rule] = read_workload(*section, WorkloadId{next++});
        check_workload(*section, workload, rule);
        if (!rule.volume.empty() && !named.from_planner && !named.volumes.contains(rule.volume))
            section->fault("volume", "no section [volume " + rule.volume + "]");
        if (rule.volume.empty() && !section->has("up_to"))
            covered.insert(rule.command);
        settings.workloads.emplace_back(workload, rule);
    }
    for (std::size_t i = 0; i < command_names.size(); ++i)
        if (!covered.contains(static_cast<Command>(i)))
            file.fault(0, "no [workload NAME] applies to every " + std::string(command_names[i]) +
                              " request: expected one without up_to and volume");
}

void read_units(settings::File &file, ServiceSettings &settings) {
    auto &layout = file.one("layout", true);
    auto extent_bytes = layout.bytes("extent", 1);
    auto bytes_per_unit = std::max<std::uint64_t>(1, layout.bytes("unit", 1));
    double largest = 1 + static_cast<double>(extent_bytes) / static_cast<double>(bytes_per_unit);

    auto &section = file.one("units", false);
    auto &units = settings.scheduler.units;
    units.mean = section.number("mean", 0, unbounded, 2);
    units.usual_unit_value = section.number("share_worth", 0, 1, 0.35);
    units.excess_unit_value = section.number("spare_worth", 0, 1, 0.08);
    settings.copy_on_write_units = section.number("copy", 0, unbounded, 0);
    units.largest = largest + settings.copy_on_write_units;
}

void read_attempts(settings::File &file, SchedulerConfig &config) {
    auto &section = file.one("shots", false);
    config.attempts.max_attempts = static_cast<std::uint32_t>(section.count("most", 1, 16, 3));
    config.attempts.allow_parallel = section.flag("parallel", false);
    config.attempts.cancel_abandoned = section.flag("call_off", true);
    auto &budget = config.retry_budget;
    budget.retries_per_request = section.number("further_each", 0, 16, 0);
    budget.free_retries = section.number("further_free", 0, 1e9, 0);
    budget.window = section.time("further_span", 0);
    config.max_retry_after = section.time("longest_wait", sec);
    config.clients_mark_repeats = section.flag("clients_mark_repeats", false);
    bool has_budget = budget.retries_per_request > 0 || budget.free_retries > 0;
    if (has_budget != (budget.window > 0))
        section.fault("further_span",
                      "expected above 0 with further_each or further_free, and 0 without them");
}

void read_nodes(settings::File &file, ServiceSettings &settings) {
    auto &section = file.one("nodes", false);
    section.time("drain_grace", 250 * ms); // only checked
    auto &slow_start = settings.scheduler.slow_start;
    slow_start.units = section.number("cold_units", 0, unbounded, 0);
    slow_start.initial_capacity = section.number("start_part", 0, 1, 1);
    slow_start.window = section.time("cold_span", 0);
    slow_start.duration = section.time("warm_after", 0);
    bool has_units = slow_start.units > 0;
    if (has_units != (slow_start.window > 0) || has_units != (slow_start.duration > 0))
        section.fault("cold_units",
                      "expected all of cold_units, cold_span and warm_after above 0, or none");

    auto &connections = settings.node_connections;
    connections.max_per_node = section.count("connections", 1, 64, 2);
    connections.connect_timeout = section.time("connect_timeout", 250 * ms);
    connections.frame_stall_timeout = section.time("stall", 300 * ms);
    connections.idle_timeout = section.time("idle_close", 60 * sec);
    connections.max_unsent_bytes = section.bytes("most_unsent", 1 << 20);
}

AdmissionLimits read_admission(settings::File &file) {
    auto &section = file.one("door", false);
    auto requests_each = section.count("requests_each", 1, 4096, 128);
    auto largest_request = section.bytes("largest_request", 4 << 20);
    auto most_bytes = section.bytes("most_bytes", 512 << 20);
    auto max_scheduled_requests = section.count("most_tasks", 16, 10000000, 16384);
    if (largest_request < min_largest_request || largest_request > max_largest_request)
        section.fault("largest_request", "expected 64KiB to 32MiB");
    if (most_bytes < 2 * largest_request)
        section.fault("most_bytes", "expected at least twice largest_request, " +
                                        std::to_string(2 * largest_request) + " bytes");
    return {static_cast<std::uint32_t>(requests_each), static_cast<std::uint32_t>(largest_request),
            max_scheduled_requests, most_bytes};
}

} // namespace

IdentitySettings read_identity(settings::File &file) {
    auto &section = file.one("edge", true);
    auto edge_id = section.count("id", 0, max_edges);
    auto edges = section.count("edges", 1, max_edges, 1);
    if (edge_id >= edges)
        section.fault("id", "expected below edges, " + std::to_string(edges) +
                                ": ids are counted from 0");
    section.count("zone", 0, max_zone, 0); // only checked
    IdentitySettings identity;
    identity.edge_id = edge_id;
    identity.listen = section.text("listen", "127.0.0.1:10809");
    identity.endpoint_file =
        section.has("planner") ? section.text("nodes", "") : section.text("nodes");
    identity.seed = section.count("seed", 0, std::numeric_limits<std::int64_t>::max(), 1);
    if (section.has("planner") && section.has("nodes"))
        section.fault("nodes", "not allowed with a planner, which sends the nodes");
    return identity;
}

PlannerSettings read_planner(settings::File &file) {
    auto &section = file.one("edge", true);
    PlannerSettings planner;
    planner.address = section.text("planner", "");
    planner.plan_file = section.text("plan_file", "");
    planner.renew_every = section.time("renew_every", sec);
    planner.max_cache_age = section.time("trust", 24 * hour);
    if (planner.renew_every <= 0)
        section.fault("renew_every", "expected above 0");
    if (planner.address.empty() && section.has("plan_file"))
        section.fault("plan_file", "not allowed without a planner");
    return planner;
}

LayoutSettings read_layout(settings::File &file) {
    auto &section = file.one("layout", true);
    LayoutSettings layout;
    layout.extent_bytes = section.bytes("extent");
    layout.span_bytes = section.bytes("span");
    layout.bytes_per_unit = section.bytes("unit");
    auto shards = section.count("shards", 1, 65535);
    auto extent = layout.extent_bytes;
    auto span = layout.span_bytes;
    if (span < min_span_bytes || (span & (span - 1)) != 0)
        section.fault("span", "expected a power of two from 4KiB");
    if (span == 0 || extent % span != 0 || extent == 0)
        section.fault("extent", "expected a multiple of span");
    if (extent > max_extent_bytes)
        section.fault("extent", "expected at most 8MiB, the maximum size of a scheduled request");
    if (layout.bytes_per_unit == 0)
        section.fault("unit", "expected above 0");
    for (std::uint64_t shard = 0; shard < shards; ++shard)
        layout.shards.emplace_back(static_cast<std::int32_t>(shard));
    return layout;
}

ServiceSettings read_service(settings::File &file) {
    ServiceSettings settings;
    auto &edge = file.one("edge", true);
    settings.scheduler.self =
        SchedulerId{static_cast<std::uint32_t>(edge.count("id", 0, max_edges))};
    settings.scheduler.scheduler_count =
        static_cast<std::uint32_t>(edge.count("edges", 1, max_edges, 1));
    edge.count("zone", 0, max_zone, 0); // only checked
    read_units(file, settings);
    // With a planner, plans and volumes come from it; sections here could contradict it.
    NamedSections named;
    named.from_planner = edge.has("planner");
    if (!named.from_planner) {
        read_plans(file, settings, named);
        read_volumes(file, settings, named);
    }
    read_workloads(file, settings, named);
    read_attempts(file, settings.scheduler);
    read_nodes(file, settings);
    settings.admission = read_admission(file);
    return settings;
}

void check(settings::File &file) {
    read_identity(file);
    read_planner(file);
    read_layout(file);
    read_service(file);
}

void apply(const ServiceSettings &settings, Core &core) {
    core.set_copy_on_write_units(settings.copy_on_write_units);
    for (const auto &[id, plan] : settings.plans)
        core.set_plan(id, plan);
    for (const auto &[id, volume] : settings.volumes)
        core.add_volume(id, volume);
    for (const auto &[workload, rule] : settings.workloads) {
        core.scheduler().set_workload(rule.workload, workload);
        core.add_workload(rule);
    }
    core.scheduler().configure(settings.scheduler);
    core.set_node_connections(settings.node_connections);
    core.set_admission_limits(settings.admission);
}

} // namespace knotvane::edge
