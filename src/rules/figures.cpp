#include "rules/figures.hpp"

#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "record/recording.hpp"
#include "settings/ini.hpp"

namespace knotvane::rules {

using json = nlohmann::ordered_json;

std::string rule_settings_json(const std::string &scheduling, const std::string &service,
                               std::uint64_t read_cut, std::uint64_t write_cut) {
    settings::File s("scheduling", scheduling), n("service", service);
    json j;
    j["read_cut"] = read_cut, j["write_cut"] = write_cut;
    for (auto *w : s.all("workload"))
        j["workloads"].push_back(
            {{"command", w->choice("command", {"read", "write", "zero", "flush", "status"}, 0)},
             {"client_timeout", w->time("client_timeout")},
             {"repeat", w->choice("repeat", {"reissuable", "numbered", "at_most_once"}, 0)},
             {"window", w->time("window", 0)},
             {"key_rest", w->time("key_rest", 0)}});
    std::map<std::string, std::pair<double, double>> limits;
    for (auto *p : s.all("plan"))
        limits[p->name()] = {p->number("limit", 0, 1e18, 0), p->number("burst", 0, 1e18, 0)};
    for (auto *v : s.all("volume")) {
        auto id = v->count("id", 0, ~0ull >> 1, XXH3_64bits(v->name().data(), v->name().size()));
        auto [rate, burst] = limits[v->text("plan")];
        j["volumes"].push_back(
            {{"name", v->name()}, {"id", id}, {"limit", rate}, {"burst", burst}});
    }
    auto &shots = s.one("shots", false);
    j["most_shots"] = shots.count("most", 1, 16, 3), j["parallel"] = shots.flag("parallel", false);
    j["further_each"] = shots.number("further_each", 0, 16, 0);
    j["further_free"] = shots.number("further_free", 0, 1e9, 0);
    j["further_span"] = shots.time("further_span", 0);
    auto &nodes = s.one("nodes", false);
    j["drain_grace"] = nodes.time("drain_grace", 250 * ms);
    j["hold"] = nodes.time("connect_timeout", 250 * ms);
    auto &speed = n.one("speed", false);
    Time unit = speed.time("unit_time", 0);
    j["capacity"] =
        unit > 0 ? static_cast<double>(speed.count("cores", 1, 1024, 1)) / seconds(unit) : 0;
    auto &cold = n.one("cold", false);
    j["start_part"] = cold.number("start_part", 0, 1, 1),
    j["warm_after"] = cold.time("warm_after", 0);
    j["cold_span"] = cold.time("span", 0),
    j["cold_multiple"] = unit > 0 ? cold.number("multiple", 0, 1e9, 0) : 0;
    return j.dump();
}

void configure(RuleChecker &rule_checker, const std::string &figures) {
    try {
        auto j = json::parse(figures);
        rule_checker.set_split_sizes(j.at("read_cut"), j.at("write_cut"));
        for (auto &w : j.at("workloads"))
            rule_checker.set_workload(w.at("command"), w.at("client_timeout"),
                                      static_cast<Idempotency>(w.at("repeat").get<int>()),
                                      w.at("window"), w.at("key_rest"));
        for (auto &v : j.at("volumes")) {
            rule_checker.set_volume(v.at("name"), VolumeId{v.at("id")});
            // The slack of a tenth of the burst is the bench's.
            if (double rate = v.at("limit"); rate > 0)
                rule_checker.set_limit(VolumeId{v.at("id")}, rate, v.at("burst"),
                                       v.at("burst").get<double>() / 10);
        }
        rule_checker.set_attempts(j.at("most_shots"), j.at("parallel"));
        if (Time span = j.at("further_span"); span > 0)
            rule_checker.set_retry_budget(j.at("further_each"), j.at("further_free"), span);
        rule_checker.set_drain_grace(j.at("drain_grace"));
        rule_checker.set_connect_timeout(j.at("hold"));
        rule_checker.set_cold(j.at("capacity"), j.at("start_part"), j.at("warm_after"),
                              j.at("cold_span"), j.at("cold_multiple"));
    } catch (const json::exception &e) {
        throw std::runtime_error(std::string("the rules' figures can't be read: ") + e.what());
    }
}

std::string check_recording(const std::string &path, RuleChecker &rule_checker) {
    Time last = 0;
    bool figures = false;
    auto fault = record::read(path, [&](Time at, record::Kind kind, std::uint64_t a,
                                        std::uint64_t b, std::uint64_t c, std::string_view text) {
        using record::Kind;
        last = std::max(last, at);
        switch (kind) {
        case Kind::rule_settings:
            configure(rule_checker, std::string(text)), figures = true;
            break;
        case Kind::client_connected:
            rule_checker.client_connected(at, ConnectionId{a}, EdgeId{b}, VolumeId{});
            break;
        case Kind::node_connected:
            rule_checker.node_connected(at, ConnectionId{a}, EdgeId{b}, NodeId{c});
            break;
        case Kind::bytes:
            rule_checker.bytes_seen(at, ConnectionId{a}, b != 0, text);
            break;
        case Kind::connection_closed:
            rule_checker.connection_closed(at, ConnectionId{a}, b != 0);
            break;
        case Kind::node_state_learned:
            rule_checker.node_state_learned(at, EdgeId{a}, NodeId{b},
                                            static_cast<NodeState>(std::min<std::uint64_t>(c, 2)));
            break;
        case Kind::node_started:
            rule_checker.node_started(at, NodeId{a});
            break;
        case Kind::unflushed_data_lost:
            rule_checker.unflushed_data_lost(at, NodeId{a});
            break;
        case Kind::edge_killed:
            rule_checker.edge_killed(at, EdgeId{a});
            break;
        case Kind::note:
        case Kind::end:
            break;
        }
    });
    if (fault.empty() && !figures)
        fault = path + ": the recording has no figures to judge by";
    rule_checker.finish(last);
    return fault;
}

std::string format_report(const RuleChecker &rule_checker) {
    static constexpr const char *names[] = {
        "1 one final answer", "2 no effect twice", "3 drains kept", "4 no cold node pushed over",
        "5 order per key",    "6 further shots",   "7 limits",      "  data as written"};
    std::ostringstream out;
    for (std::size_t i = 0; i < 8; ++i) {
        auto rule = static_cast<Rule>(i + 1);
        std::string name = names[i];
        name.resize(28, ' ');
        out << "  " << name
            << (rule_checker.breaches(rule) > 0
                    ? "BROKEN " + std::to_string(rule_checker.breaches(rule)) + " times of "
                : rule_checker.checks(rule) > 0 ? "kept, judged "
                                                : "not judged ")
            << rule_checker.checks(rule) << "\n";
    }
    for (auto &b : rule_checker.breach_lines())
        out << "  " << b << "\n";
    return out.str();
}

bool passed(const RuleChecker &rule_checker) {
    return rule_checker.breach_lines().empty() && rule_checker.checks(Rule::answers) > 0;
}

} // namespace knotvane::rules
