#include "cli/commands.hpp"

#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>

#include <CLI/CLI.hpp>

#include "day/day.hpp"
#include "day/outage.hpp"
#include "day/passthrough.hpp"
#include "rules/figures.hpp"
#include "settings/ini.hpp"

namespace knotvane::cli {
namespace {

// Wires' times and the edge's own differ by what threads and sockets take on a busy machine.
constexpr Time slack = 60 * ms;

double msecs(Time t) {
    return static_cast<double>(t) / 1e6;
}

int judge(const std::string &path) {
    rules::Judge judge(slack);
    auto fault = rules::judge_file(path, judge);
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return 2;
    }
    std::printf("rules, judged from what passed on the sockets: %llu requests, %llu shots\n%s",
                static_cast<unsigned long long>(judge.requests()),
                static_cast<unsigned long long>(judge.shots()), rules::verdict(judge).c_str());
    std::printf(rules::kept(judge) ? "every rule held\n" : "RULES WERE BROKEN\n");
    return rules::kept(judge) ? 0 : 1;
}

// `then`: called with what came of the loads.
int play_text(const std::string &path, const std::string &text, std::string fault,
              const std::string &record, const std::string &policy,
              const std::function<void(const std::map<std::string, day::Tally> &)> &then) {
    std::vector<std::string> faults;
    if (!fault.empty())
        faults.push_back(fault);
    day::Script script;
    if (faults.empty())
        script = day::read_script(path, text, faults);
    for (auto &f : faults)
        std::fprintf(stderr, "%s\n", f.c_str());
    if (!faults.empty())
        return 2;
    auto pattern = (std::filesystem::temp_directory_path() / "knotvane-day-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no folder can be made at " + pattern);
    auto recording = record.empty() ? pattern + "/day.recording" : record;
    auto tallies =
        day::play(script, pattern, recording, [&](SchedulerActions &a, std::uint64_t seed) {
            return policy == "none" ? day::make_passthrough(a) : make_scheduler(a, seed);
        });
    if (auto it = tallies.find(day::snapshots); it != tallies.end()) {
        auto &t = it->second;
        std::printf("snapshots: %llu taken, %llu not; in %.1f ms, the slowest %.1f\n",
                    static_cast<unsigned long long>(t.good),
                    static_cast<unsigned long long>(t.denied), msecs(load::quantile(t.took, 0.5)),
                    msecs(load::quantile(t.took, 1)));
        tallies.erase(it);
    }
    if (then)
        then(tallies);
    std::printf("%-18s %8s %8s %8s %8s %8s %8s %9s %9s %8s\n", "load", "asked", "good", "in time",
                "denied", "errored", "lost", "p50 ms", "p99 ms", "value");
    double value = 0, due = 0;
    for (auto &[name, t] : tallies) {
        auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
        std::printf("%-18s %8llu %8llu %8llu %8llu %8llu %8llu %9.2f %9.2f %7.1f%%\n", name.c_str(),
                    n(t.asked), n(t.good), n(t.in_time), n(t.denied), n(t.errored), n(t.lost),
                    msecs(load::quantile(t.took, 0.5)), msecs(load::quantile(t.took, 0.99)),
                    t.value_due > 0 ? 100 * t.value / t.value_due : 0);
        value += t.value, due += t.value_due;
    }
    std::printf("value in time by second, percent:\n");
    for (auto &[name, t] : tallies) {
        std::printf("%-18s", name.c_str());
        for (auto [got, asked] : t.course)
            asked > 0 ? std::printf(" %3.0f", 100 * got / asked) : std::printf("   .");
        std::printf("\n");
    }
    std::printf("value delivered in time: %.1f%% of what was asked for\n",
                due > 0 ? 100 * value / due : 0);
    int code = judge(recording);
    if (!record.empty())
        std::printf("recording: %s\n", record.c_str());
    std::filesystem::remove_all(pattern);
    return code;
}

int play(const std::string &path, const std::string &record, const std::string &policy) {
    std::string fault;
    auto text = settings::File::read_text(path, fault);
    return play_text(path, text, fault, record, policy, nullptr);
}

int outage(std::uint32_t times, std::uint64_t seed, const std::string &record) {
    auto o = day::make_outages(times, seed);
    double ratio = 0;
    std::uint64_t lost = 0;
    int code = play_text("outage", o.script, "", record, "knotvane", [&](auto &tallies) {
        auto [good, all] = day::in_time(tallies, o.before);
        auto [dead_good, dead_all] = day::in_time(tallies, o.dead);
        double before = all ? static_cast<double>(good) / static_cast<double>(all) : 0;
        double dead = dead_all ? static_cast<double>(dead_good) / static_cast<double>(dead_all) : 0;
        ratio = before > 0 ? dead / before : 0;
        for (auto &[name, t] : tallies)
            lost += t.lost;
        std::printf("planner killed %u times while a node drains: in time before %.2f%% of %llu, "
                    "while it is dead "
                    "%.2f%% of %llu, ratio %.4f; requests lost %llu\n",
                    times, 100 * before, static_cast<unsigned long long>(all), 100 * dead,
                    static_cast<unsigned long long>(dead_all), ratio,
                    static_cast<unsigned long long>(lost));
    });
    return code != 0 ? code : ratio < 0.98 || lost > 0 ? 1 : 0;
}

} // namespace

void add_days(CLI::App &app, int &code) {
    struct Options {
        std::string file, record, policy = "knotvane";
        std::vector<std::string> recordings;
    };
    auto o = std::make_shared<Options>();
    auto *d = app.add_subcommand(
        "day", "play a scripted day on loopback and judge the rules from its recording");
    d->add_option("FILE", o->file, "the day's script (INI)")->required();
    d->add_option("--record", o->record, "keep the recording there");
    d->add_option("--policy", o->policy,
                  "none: send everything at once, the baseline to compare with")
        ->check(CLI::IsMember({"knotvane", "none"}));
    d->footer("Exit code 0 only if every rule held.\nExample: knotvane day days/bad-day.ini "
              "--record /tmp/bad.recording");
    d->callback([o, &code] { code = play(o->file, o->record, o->policy); });
    struct Deaths {
        std::uint32_t times = 5;
        std::uint64_t seed = 1;
        std::string record;
    };
    auto x = std::make_shared<Deaths>();
    auto *q = app.add_subcommand("outage",
                                 "kill the planner again and again while a node drains under load");
    q->add_option("--times", x->times, "how often; 2.6 seconds each")->check(CLI::Range(1, 1000));
    q->add_option("--seed", x->seed, "draws when and for how long");
    q->add_option("--record", x->record, "keep the recording there");
    q->footer("Exit code 0 only if every rule held, no request was lost and service in time while "
              "the planner was "
              "dead\nwas within 2% of before. Example: knotvane outage --times 50 --seed 1");
    q->callback([x, &code] { code = outage(x->times, x->seed, x->record); });
    auto *r = app.add_subcommand("rules", "judge the seven rules from recordings alone");
    r->add_option("RECORDING", o->recordings, "files that `day --record` wrote")->required();
    r->footer("Example: knotvane rules /tmp/bad.recording");
    r->callback([o, &code] {
        code = 0;
        for (auto &path : o->recordings)
            code = std::max(code, judge(path));
    });
}

} // namespace knotvane::cli
