// Short scripted days on loopback sockets with one fault pattern each, recorded and judged.
#include <doctest/doctest.h>

#include <filesystem>

#include "day/day.hpp"
#include "day/outage.hpp"
#include "day/passthrough.hpp"
#include "rules/figures.hpp"

using namespace knotvane;

namespace {

std::string script(const std::string &troubles, const std::string &load = "") {
    auto scheduling = fleet::default_scheduling();
    // Shorter deduplication windows and timeouts keep the tests short.
    auto replace_all = [&](const std::string &from, const std::string &to) {
        for (auto at = scheduling.find(from); at != std::string::npos;
             at = scheduling.find(from, at + to.size()))
            scheduling.replace(at, from.size(), to);
    };
    replace_all("window = 2500ms", "window = 600ms");
    replace_all("key_rest = 2600ms", "key_rest = 700ms");
    replace_all("client_timeout = 3s", "client_timeout = 1500ms");
    replace_all("client_timeout = 5s", "client_timeout = 2s");
    return "[day]\nlength = 2500ms\nnodes = 2\nedges = 1\n\n[speed]\nunit_time = 2ms\ncores = "
           "2\nslots = 4\nroom = 32\n\n" +
           scheduling +
           (load.empty() ? "\n[load a]\nvolume = members\nconnections = 3\nflying = 4\nrate = "
                           "120\nreads = 0.5\n"
                           "flushes = 0.03\nleast = 512\nmost = 48KiB\nregion = 512KiB\n"
                         : load) +
           troubles;
}

struct PlayedDay {
    std::map<std::string, day::Tally> tallies;
    rules::RuleChecker rule_checker{60 * ms};
    std::string fault;
    explicit PlayedDay(const std::string &text, bool pass_through = false) {
        std::vector<std::string> faults;
        auto s = day::read_script("test", text, faults);
        REQUIRE_MESSAGE(faults.empty(), faults[0]);
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-test-XXXXXX").string();
        std::string dir = mkdtemp(pattern.data());
        tallies = day::play(s, dir, dir + "/r", [&](SchedulerActions &a, std::uint64_t seed) {
            return pass_through ? day::make_passthrough(a) : make_scheduler(a, seed);
        });
        fault = rules::check_recording(dir + "/r", rule_checker);
        std::filesystem::remove_all(dir);
    }
    void check_rules_kept() {
        CHECK(fault == "");
        for (auto &b : rule_checker.breach_lines())
            FAIL_CHECK(b);
        CHECK(rules::passed(rule_checker));
        CHECK(tallies["a"].good > 0);
    }
};

// The script with two edges and a planner process.
std::string script_with_planner(const std::string &troubles) {
    auto text = script(troubles);
    return text.replace(text.find("edges = 1"), 9, "edges = 2\nplanner = yes");
}

std::string trouble_section(const std::string &text, const std::string &name = "x") {
    return "\n[trouble " + name + "]\n" + text;
}

} // namespace

TEST_SUITE("days on sockets") {
    TEST_CASE(
        "a node that falls silent within a reply: one answer per request, no parallel attempts") {
        PlayedDay played(script(trouble_section("at = 500ms\nkind = mute\nnode = 0\ncount = 3\n")));
        played.check_rules_kept();
    }
    TEST_CASE(
        "a write whose first attempt is delayed past its deduplication window breaks no rule") {
        PlayedDay played(
            script(trouble_section("at = 500ms\nkind = hold\nnode = 1\nlength = 900ms\n")));
        played.check_rules_kept();
    }
    TEST_CASE("nodes that restart cold and lose unflushed data break no rule") {
        PlayedDay played(script(
            trouble_section("at = 500ms\nkind = restart\nnode = 0\nlength = 300ms\nlose = yes\n") +
            "\n[trouble y]\nat = 600ms\nkind = restart\nnode = 1\nlength = 300ms\nlose = yes\n"));
        played.check_rules_kept();
    }
    TEST_CASE("a drained node that is replaced under a new id breaks no rule") {
        PlayedDay played(
            script(trouble_section("at = 400ms\nkind = drain\nnode = 0\nlength = 600ms\n")));
        played.check_rules_kept();
        CHECK(played.rule_checker.checks(rules::Rule::drains) > 0);
    }
    TEST_CASE("garbled, cut, swallowed and split replies break no rule") {
        PlayedDay played(
            script(trouble_section("at = 300ms\nkind = garble\nnode = 0\ncount = 2\n") +
                   "\n[trouble y]\nat = 700ms\nkind = cut\nnode = 1\ncount = 2\n"
                   "\n[trouble z]\nat = 1100ms\nkind = swallow\nnode = 0\nlength = 400ms\n"
                   "\n[trouble s]\nat = 200ms\nkind = split\nnode = 1\nlength = 400ms\n"));
        played.check_rules_kept();
    }
    TEST_CASE("the judge reports order breaches of a pass-through scheduler") {
        PlayedDay played(
            script(trouble_section("at = 300ms\nkind = hang\nnode = 0\nlength = 900ms\n"),
                   "\n[load a]\nvolume = members\nconnections = 3\nflying = 8\nrate = "
                   "300\nreads = 0.1\n"
                   "least = 512\nmost = 48KiB\nregion = 64KiB\n"),
            true);
        CHECK(played.rule_checker.breaches(rules::Rule::order) > 0);
    }
    TEST_CASE("faults of a script are reported with file and line") {
        std::vector<std::string> faults;
        day::read_script(
            "d.ini", "[day]\nlength = 5\n[trouble a]\nat = 1s\nkind = flood\nnode = 9\n", faults);
        CHECK(faults.size() == 3);
        CHECK(faults[0] ==
              "d.ini:2: [day] length = 5: expected a time like 250ms or 4s (ns, us, ms, s)");
    }
}

TEST_SUITE("days with a planner") {
    TEST_CASE("a planner killed during a drain and restarted after the undrain request loses no "
              "request") {
        PlayedDay played(script_with_planner(
            trouble_section("at = 500ms\nkind = drain\nnode = 0") +
            trouble_section("at = 560ms\nkind = planner_kill\nlength = 700ms", "y") +
            trouble_section("at = 800ms\nkind = undrain\nnode = 0", "z")));
        played.check_rules_kept();
        CHECK(played.rule_checker.checks(rules::Rule::drains) > 50);
        CHECK(played.tallies["a"].lost == 0);
    }
    TEST_CASE(
        "no rule breaks when the planner is killed and paused around a node's replacement and one "
        "edge hears late") {
        PlayedDay played(script_with_planner(
            trouble_section("at = 300ms\nkind = drain\nnode = 1\nlength = 600ms\ncount = 1") +
            trouble_section("at = 700ms\nkind = planner_kill\nlength = 500ms", "y") +
            trouble_section("at = 200ms\nkind = late_list\nedge = 1\nlength = 900ms", "z") +
            trouble_section("at = 1500ms\nkind = planner_pause\nlength = 600ms", "w")));
        played.check_rules_kept();
    }
    TEST_CASE("a node that restarts, announced by a planner that is killed, breaks no rule") {
        PlayedDay played(script_with_planner(
            trouble_section("at = 500ms\nkind = restart\nnode = 0\nlength = 200ms\nlose = yes") +
            trouble_section("at = 650ms\nkind = planner_kill\nlength = 300ms", "y")));
        played.check_rules_kept();
    }
    TEST_CASE("snapshots break no rule while a node hangs, a connection is held and the planner "
              "is killed") {
        std::string troubles =
            trouble_section("at = 600ms\nkind = hang\nnode = 0\nlength = 300ms") +
            trouble_section("at = 1s\nkind = hold\nnode = 1\nedge = 0\nlength = 500ms", "y") +
            trouble_section("at = 1800ms\nkind = planner_kill\nlength = 200ms", "z");
        for (int i = 0; i < 8; ++i)
            troubles += trouble_section("at = " + std::to_string(200 + 250 * i) +
                                            "ms\nkind = snapshot\nvolume = members\nlength = 200ms",
                                        "s" + std::to_string(i));
        PlayedDay played(script_with_planner(troubles));
        played.check_rules_kept();
        CHECK(played.tallies[day::snapshots].good > 0);
        CHECK(played.tallies["a"].errored < played.tallies["a"].good / 10);
    }
    TEST_CASE("planner kills at seeded times: requests are served in time and none is lost") {
        auto outages = day::make_outages(2, 3);
        PlayedDay played(outages.script);
        CHECK(played.fault == "");
        for (auto &b : played.rule_checker.breach_lines())
            FAIL_CHECK(b);
        auto [good, all] = day::in_time(played.tallies, outages.before);
        auto [dead_good, dead_all] = day::in_time(played.tallies, outages.dead);
        CHECK(all > 20);
        CHECK(dead_all > 20);
        // The long run allows a loss of 2%. This short run has few requests, and some may be late
        // on a busy machine for reasons other than the kill.
        CHECK(static_cast<double>(dead_good) / static_cast<double>(dead_all) > 0.9);
        for (auto &[name, t] : played.tallies)
            CHECK(t.lost == 0);
    }
}
