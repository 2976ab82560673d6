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

// Tolerance of the time rules. The times recorded on the connections differ from the edge's own by
// the delays of threads and sockets on a busy machine.
constexpr Time time_tolerance = 60 * ms;

double to_ms(Time time) {
    return static_cast<double>(time) / 1e6;
}

// Judges a recording, prints the verdict and returns the exit code.
int judge_recording(const std::string &path) {
    rules::RuleChecker judge(time_tolerance);
    auto fault = rules::check_recording(path, judge);
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return 2;
    }
    std::printf("rules, judged from the recorded socket traffic: %llu requests, %llu shots\n%s",
                static_cast<unsigned long long>(judge.requests()),
                static_cast<unsigned long long>(judge.attempts()),
                rules::format_report(judge).c_str());
    std::printf(rules::passed(judge) ? "every rule held\n" : "RULES WERE BROKEN\n");
    return rules::passed(judge) ? 0 : 1;
}

// Plays a script, prints the results of its loads and judges its recording. `on_loads_done`, if
// set, is called with the results of the loads. Returns the exit code.
int play_script(
    const std::string &path, const std::string &text, std::string fault, const std::string &record,
    const std::string &policy,
    const std::function<void(const std::map<std::string, day::Tally> &)> &on_loads_done) {
    std::vector<std::string> faults;
    if (!fault.empty())
        faults.push_back(fault);
    day::Script script;
    if (faults.empty())
        script = day::read_script(path, text, faults);
    for (auto &message : faults)
        std::fprintf(stderr, "%s\n", message.c_str());
    if (!faults.empty())
        return 2;
    auto folder = (std::filesystem::temp_directory_path() / "knotvane-day-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("can't create a temporary folder at " + folder);
    auto recording = record.empty() ? folder + "/day.recording" : record;
    auto tallies =
        day::play(script, folder, recording, [&](SchedulerActions &actions, std::uint64_t seed) {
            return policy == "none" ? day::make_passthrough(actions)
                                    : make_scheduler(actions, seed);
        });
    if (auto it = tallies.find(day::snapshots); it != tallies.end()) {
        auto &tally = it->second;
        std::printf("snapshots: %llu taken, %llu failed; median %.1f ms, max %.1f ms\n",
                    static_cast<unsigned long long>(tally.good),
                    static_cast<unsigned long long>(tally.denied),
                    to_ms(load::quantile(tally.took, 0.5)), to_ms(load::quantile(tally.took, 1)));
        tallies.erase(it);
    }
    if (on_loads_done)
        on_loads_done(tallies);
    std::printf("%-18s %8s %8s %8s %8s %8s %8s %9s %9s %8s\n", "load", "asked", "good", "in time",
                "denied", "errored", "lost", "p50 ms", "p99 ms", "value");
    double value = 0, due = 0;
    for (auto &[name, tally] : tallies) {
        auto to_printable = [](std::uint64_t count) {
            return static_cast<unsigned long long>(count);
        };
        std::printf("%-18s %8llu %8llu %8llu %8llu %8llu %8llu %9.2f %9.2f %7.1f%%\n", name.c_str(),
                    to_printable(tally.asked), to_printable(tally.good),
                    to_printable(tally.in_time), to_printable(tally.denied),
                    to_printable(tally.errored), to_printable(tally.lost),
                    to_ms(load::quantile(tally.took, 0.5)), to_ms(load::quantile(tally.took, 0.99)),
                    tally.value_due > 0 ? 100 * tally.value / tally.value_due : 0);
        value += tally.value, due += tally.value_due;
    }
    std::printf("value delivered in time, by second, in percent:\n");
    for (auto &[name, tally] : tallies) {
        std::printf("%-18s", name.c_str());
        for (auto [delivered, requested] : tally.course)
            requested > 0 ? std::printf(" %3.0f", 100 * delivered / requested)
                          : std::printf("   .");
        std::printf("\n");
    }
    std::printf("value delivered in time: %.1f%% of the requested value\n",
                due > 0 ? 100 * value / due : 0);
    int exit_code = judge_recording(recording);
    if (!record.empty())
        std::printf("recording: %s\n", record.c_str());
    std::filesystem::remove_all(folder);
    return exit_code;
}

int play_file(const std::string &path, const std::string &record, const std::string &policy) {
    std::string fault;
    auto text = settings::File::read_text(path, fault);
    return play_script(path, text, fault, record, policy, nullptr);
}

int run_outages(std::uint32_t times, std::uint64_t seed, const std::string &record) {
    auto outages = day::make_outages(times, seed);
    double ratio = 0;
    std::uint64_t lost = 0;
    int exit_code =
        play_script("outage", outages.script, "", record, "knotvane", [&](auto &tallies) {
            auto [good_before, all_before] = day::in_time(tallies, outages.before);
            auto [good_down, all_down] = day::in_time(tallies, outages.dead);
            double before =
                all_before ? static_cast<double>(good_before) / static_cast<double>(all_before) : 0;
            double down =
                all_down ? static_cast<double>(good_down) / static_cast<double>(all_down) : 0;
            ratio = before > 0 ? down / before : 0;
            for (auto &[name, tally] : tallies)
                lost += tally.lost;
            std::printf(
                "planner killed %u times while a node drains: served in time %.2f%% of "
                "%llu requests before and %.2f%% of %llu while the planner was down, ratio %.4f; "
                "requests lost: %llu\n",
                times, 100 * before, static_cast<unsigned long long>(all_before), 100 * down,
                static_cast<unsigned long long>(all_down), ratio,
                static_cast<unsigned long long>(lost));
        });
    return exit_code != 0 ? exit_code : ratio < 0.98 || lost > 0 ? 1 : 0;
}

} // namespace

void add_days(CLI::App &app, int &exit_code) {
    struct DayOptions {
        std::string file, record, policy = "knotvane";
        std::vector<std::string> recordings;
    };
    auto day_options = std::make_shared<DayOptions>();
    auto *day_command = app.add_subcommand(
        "day", "run a scripted day on loopback and check the rules from its recording");
    day_command->add_option("FILE", day_options->file, "the day's script (INI)")->required();
    day_command->add_option("--record", day_options->record, "file to keep the recording in");
    day_command
        ->add_option("--policy", day_options->policy,
                     "none: send every request at once, as a baseline")
        ->check(CLI::IsMember({"knotvane", "none"}));
    day_command->footer(
        "Exit code 0 only if every rule held.\nExample: knotvane day days/bad-day.ini "
        "--record /tmp/bad.recording");
    day_command->callback([day_options, &exit_code] {
        exit_code = play_file(day_options->file, day_options->record, day_options->policy);
    });
    struct OutageOptions {
        std::uint32_t times = 5;
        std::uint64_t seed = 1;
        std::string record;
    };
    auto outage_options = std::make_shared<OutageOptions>();
    auto *outage_command =
        app.add_subcommand("outage", "kill the planner repeatedly while a node drains under load");
    outage_command
        ->add_option("--times", outage_options->times, "number of kills; each takes 2.6 seconds")
        ->check(CLI::Range(1, 1000));
    outage_command->add_option("--seed", outage_options->seed, "seed of the times and durations");
    outage_command->add_option("--record", outage_options->record, "file to keep the recording in");
    outage_command->footer(
        "Exit code 0 only if every rule held, no request was lost, and the share of requests "
        "served in time\nwhile the planner was down was at least 98% of the share before.\n"
        "Example: knotvane outage --times 50 --seed 1");
    outage_command->callback([outage_options, &exit_code] {
        exit_code =
            run_outages(outage_options->times, outage_options->seed, outage_options->record);
    });
    auto *rules_command =
        app.add_subcommand("rules", "check the seven rules from recordings alone");
    rules_command
        ->add_option("RECORDING", day_options->recordings, "files that `day --record` wrote")
        ->required();
    rules_command->footer("Example: knotvane rules /tmp/bad.recording");
    rules_command->callback([day_options, &exit_code] {
        exit_code = 0;
        for (auto &path : day_options->recordings)
            exit_code = std::max(exit_code, judge_recording(path));
    });
}

} // namespace knotvane::cli
