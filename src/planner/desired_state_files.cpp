#include "planner/desired_state_files.hpp"

#include <limits>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "settings/fleet_sections.hpp"

namespace knotvane::planner {
namespace {

constexpr std::uint64_t any = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_nodes = 100'000;
constexpr std::uint64_t max_plans = 100'000;
constexpr std::uint64_t max_volumes = 10'000'000;
constexpr std::uint64_t max_shard = 65'535;
constexpr std::uint64_t max_zone = 255;
constexpr Time min_lease = 100 * ms;
// The margin is at least this fraction of the lease; the rates of clocks differ by less.
constexpr Time min_margin_divisor = 20;
// Enough digits to read a double back unchanged.
constexpr int double_digits = 17;

std::optional<std::uint64_t> parse_id(const std::string &text) {
    try {
        std::size_t used = 0;
        auto id = std::stoull(text, &used);
        return used == text.size() ? std::optional<std::uint64_t>(id) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void read_nodes(settings::File &file, DesiredState &desired) {
    for (auto *section : file.all("node")) {
        const auto id = parse_id(section->name());
        if (!id)
            section->fault("", "expected a section like [node 7]");
        DesiredState::Node node;
        node.shard = ShardId{static_cast<std::int32_t>(section->count("shard", 0, max_shard))};
        node.zone = ZoneId{static_cast<std::uint32_t>(section->count("zone", 0, max_zone, 0))};
        node.draining = section->choice("state", {"ready", "draining"}, 0) == 1;
        node.address = section->text("address", "");
        node.line = section->line();
        if (!desired.nodes.try_emplace(NodeId{id.value_or(0)}, node).second)
            section->fault("", "node " + section->name() + " is listed twice");
    }
}

void read_plans_and_volumes(settings::File &file, DesiredState &desired) {
    settings::read_plans(file, [&](const std::string &name, double weight, double usual,
                                   double reserve, double price, double rate, double burst) {
        desired.plans[name] = {name, weight, usual, reserve, price, rate, burst};
    });
    // Plans get their ids when the settings are applied.
    std::map<std::string, PlanId> plans;
    for (const auto &[name, plan] : desired.plans)
        plans[name] = PlanId{};
    settings::read_volumes(file, plans,
                           [&](VolumeId id, const std::string &name, std::uint64_t size,
                               std::uint32_t alignment, const std::string &plan, int line) {
                               DesiredState::Volume volume;
                               volume.volume.name = name;
                               volume.volume.size = size;
                               volume.volume.alignment_bytes = alignment;
                               volume.plan = plan;
                               volume.line = line;
                               desired.volumes[id] = std::move(volume);
                           });
}

} // namespace

PlannerSettings read_planner_settings(settings::File &file) {
    PlannerSettings out;
    auto &planner = file.one("planner", true);
    out.listen_address = planner.text("listen", "127.0.0.1:10810");
    out.store_path = planner.text("store");
    out.fleet_path = planner.text("fleet");
    out.seed = planner.count("seed", 0, any, 1);

    auto &times = file.one("times", false);
    auto &config = out.config;
    const PlannerConfig defaults;
    config.lease = times.time("lease", defaults.lease);
    config.lease_margin = times.time("margin", defaults.lease_margin);
    config.fade = times.time("fade", defaults.fade);
    config.node_silence = times.time("node_silent", defaults.node_silence);
    config.node_removal_delay = times.time("out_after", defaults.node_removal_delay);
    config.node_return_delay = times.time("back_after", defaults.node_return_delay);
    config.drain_time = times.time("drain_time", defaults.drain_time);
    if (config.lease < min_lease)
        times.fault("lease", "expected at least 100ms");
    if (config.lease_margin < config.lease / min_margin_divisor)
        times.fault("margin", "expected at least a twentieth of lease, because clock rates differ");
    if (config.node_silence <= 0 || config.node_removal_delay < 0 || config.node_return_delay < 0)
        times.fault("node_silent", "expected above 0");
    return out;
}

DesiredState read_fleet(const std::string &name, const std::string &text,
                        std::vector<std::string> &faults) {
    settings::File file(name, text);
    DesiredState desired;
    auto &head = file.one("fleet", true);
    desired.version = head.count("version", 1, any);
    const auto nodes = head.count("nodes", 0, max_nodes);
    const auto plans = head.count("plans", 1, max_plans);
    const auto volumes = head.count("volumes", 1, max_volumes);
    read_plans_and_volumes(file, desired);
    read_nodes(file, desired);

    auto check_count = [&](const std::string &key, const std::string &section,
                           std::uint64_t expected, std::size_t found) {
        if (found != expected)
            head.fault(key, "expected as many as there are [" + section + "] sections, " +
                                std::to_string(found));
    };
    check_count("nodes", "node", nodes, desired.nodes.size());
    check_count("plans", "plan", plans, desired.plans.size());
    check_count("volumes", "volume", volumes, desired.volumes.size());
    // The [end] section marks a complete file: a truncated file lacks it, and a file that was only
    // partly overwritten has another version there.
    auto &end = file.one("end", true);
    if (end.count("version", 1, any) != desired.version)
        end.fault("version", "expected that of [fleet], " + std::to_string(desired.version));
    for (const auto &fault : file.faults())
        faults.push_back(fault);
    return desired;
}

std::string write_fleet(const DesiredState &desired) {
    std::ostringstream out;
    out.precision(double_digits);
    out << "[fleet]\nversion = " << desired.version << "\nnodes = " << desired.nodes.size()
        << "\nplans = " << desired.plans.size() << "\nvolumes = " << desired.volumes.size() << "\n";
    for (const auto &[name, plan] : desired.plans) {
        out << "\n[plan " << name << "]\nweight = " << plan.weight
            << "\nusual = " << plan.expected_rate << "\nreserve = " << plan.reserved_rate
            << "\nprice = " << plan.price << "\n";
        if (plan.rate_limit > 0)
            out << "limit = " << plan.rate_limit << "\nburst = " << plan.burst << "\n";
    }
    for (const auto &[id, entry] : desired.volumes)
        out << "\n[volume " << entry.volume.name << "]\nid = " << id.value
            << "\nsize = " << entry.volume.size << "\nalign = " << entry.volume.alignment_bytes
            << "\nplan = " << entry.plan << "\n";
    for (const auto &[id, node] : desired.nodes) {
        out << "\n[node " << id.value << "]\nshard = " << node.shard.value
            << "\nzone = " << node.zone.value
            << "\nstate = " << (node.draining ? "draining" : "ready") << "\n";
        if (!node.address.empty())
            out << "address = " << node.address << "\n";
    }
    out << "\n[end]\nversion = " << desired.version << "\n";
    return out.str();
}

} // namespace knotvane::planner
