#include "planner/desired_state_files.hpp"

#include <limits>
#include <sstream>

#include "settings/fleet_sections.hpp"

namespace knotvane::planner {
namespace {
constexpr std::uint64_t any = std::numeric_limits<std::int64_t>::max();
} // namespace

void read_own(
    settings::File &file,
    const std::function<void(std::string, std::string, std::string, std::uint64_t)> &where,
    const std::function<void(Time, Time, Time, Time, Time, Time, Time)> &times) {
    auto &s = file.one("planner", true);
    where(s.text("listen", "127.0.0.1:10810"), s.text("store"), s.text("fleet"),
          s.count("seed", 0, any, 1));
    auto &t = file.one("times", false);
    Time lease = t.time("lease", 6 * sec), margin = t.time("margin", 500 * ms),
         fade = t.time("fade", 600 * sec);
    Time silent = t.time("node_silent", 2 * sec), out = t.time("out_after", sec),
         back = t.time("back_after", sec);
    Time drain = t.time("drain_time", 5 * sec);
    if (lease < 100 * ms)
        t.fault("lease", "expected at least 100ms");
    if (margin < lease / 20)
        t.fault("margin", "expected at least a twentieth of lease: clocks run unlike");
    if (silent <= 0 || out < 0 || back < 0)
        t.fault("node_silent", "expected above 0");
    times(lease, margin, fade, silent, out, back, drain);
}

DesiredState read_fleet(const std::string &name, const std::string &text,
                        std::vector<std::string> &faults) {
    settings::File file(name, text);
    DesiredState w;
    auto &head = file.one("fleet", true);
    w.version = head.count("version", 1, any);
    auto nodes = head.count("nodes", 0, 100000), plans = head.count("plans", 1, 100000),
         volumes = head.count("volumes", 1, 10000000);
    settings::read_plans(file, [&](const std::string &plan, double weight, double usual,
                                   double reserve, double price, double rate, double burst) {
        w.plans[plan] = {plan, weight, usual, reserve, price, rate, burst};
    });
    std::map<std::string, PlanId> none;
    for (auto &[plan, p] : w.plans)
        none[plan] = PlanId{};
    settings::read_volumes(file, none,
                           [&](VolumeId id, const std::string &volume, std::uint64_t size,
                               std::uint32_t least, const std::string &plan, int line) {
                               w.volumes[id] = {{volume, size, least, {}}, plan, line};
                           });
    for (auto *s : file.all("node")) {
        std::uint64_t id = 0;
        try {
            std::size_t used = 0;
            id = std::stoull(s->name(), &used);
            if (used != s->name().size())
                throw std::invalid_argument("");
        } catch (const std::exception &) {
            s->fault("", "expected a section like [node 7]");
        }
        DesiredState::Node n;
        n.shard = ShardId{static_cast<std::int32_t>(s->count("shard", 0, 65535))};
        n.zone = ZoneId{static_cast<std::uint32_t>(s->count("zone", 0, 255, 0))};
        n.draining = s->choice("state", {"ready", "draining"}, 0) == 1;
        n.address = s->text("address", ""), n.line = s->line();
        if (!w.nodes.try_emplace(NodeId{id}, n).second)
            s->fault("", "node " + s->name() + " is here twice");
    }
    if (w.nodes.size() != nodes)
        head.fault("nodes", "expected as many as there are [node] sections, " +
                                std::to_string(w.nodes.size()));
    if (w.plans.size() != plans)
        head.fault("plans", "expected as many as there are [plan] sections, " +
                                std::to_string(w.plans.size()));
    if (w.volumes.size() != volumes)
        head.fault("volumes", "expected as many as there are [volume] sections, " +
                                  std::to_string(w.volumes.size()));
    // The last line of a whole file: one that is cut short, or half of a new one over half of an
    // old, lacks it.
    auto &end = file.one("end", true);
    if (end.count("version", 1, any) != w.version)
        end.fault("version", "expected that of [fleet], " + std::to_string(w.version));
    for (auto &f : file.faults())
        faults.push_back(f);
    return w;
}

std::string write_fleet(const DesiredState &desired) {
    std::ostringstream out;
    out.precision(17);
    out << "[fleet]\nversion = " << desired.version << "\nnodes = " << desired.nodes.size()
        << "\nplans = " << desired.plans.size() << "\nvolumes = " << desired.volumes.size() << "\n";
    for (auto &[name, p] : desired.plans) {
        out << "\n[plan " << name << "]\nweight = " << p.weight << "\nusual = " << p.usual
            << "\nreserve = " << p.reserve << "\nprice = " << p.price << "\n";
        if (p.rate > 0)
            out << "limit = " << p.rate << "\nburst = " << p.burst << "\n";
    }
    for (auto &[id, v] : desired.volumes)
        out << "\n[volume " << v.fact.name << "]\nid = " << id.value << "\nsize = " << v.fact.size
            << "\nalign = " << v.fact.least << "\nplan = " << v.plan << "\n";
    for (auto &[id, n] : desired.nodes) {
        out << "\n[node " << id.value << "]\nshard = " << n.shard.value
            << "\nzone = " << n.zone.value << "\nstate = " << (n.draining ? "draining" : "ready")
            << "\n";
        if (!n.address.empty())
            out << "address = " << n.address << "\n";
    }
    out << "\n[end]\nversion = " << desired.version << "\n";
    return out.str();
}

} // namespace knotvane::planner
