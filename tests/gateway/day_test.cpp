// Short scripted days on loopback sockets, recorded and judged: the hard cases by name.
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
    // Shorter windows: what must wait for them does not make the tests wait.
    auto swap = [&](const std::string &from, const std::string &to) {
        for (auto at = scheduling.find(from); at != std::string::npos;
             at = scheduling.find(from, at + to.size()))
            scheduling.replace(at, from.size(), to);
    };
    swap("window = 2500ms", "window = 600ms");
    swap("key_rest = 2600ms", "key_rest = 700ms");
    swap("client_timeout = 3s", "client_timeout = 1500ms");
    swap("client_timeout = 5s", "client_timeout = 2s");
    return "[day]\nlength = 2500ms\nnodes = 2\nedges = 1\n\n[speed]\nunit_time = 2ms\ncores = "
           "2\nslots = 4\nroom = 32\n\n" +
           scheduling +
           (load.empty() ? "\n[load a]\nvolume = members\nconnections = 3\nflying = 4\nrate = "
                           "120\nreads = 0.5\n"
                           "flushes = 0.03\nleast = 512\nmost = 48KiB\nregion = 512KiB\n"
                         : load) +
           troubles;
}

struct Played {
    std::map<std::string, day::Tally> tallies;
    rules::Judge judge{60 * ms};
    std::string fault;
    explicit Played(const std::string &text, bool pass_through = false) {
        std::vector<std::string> faults;
        auto s = day::read_script("test", text, faults);
        REQUIRE_MESSAGE(faults.empty(), faults[0]);
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-test-XXXXXX").string();
        std::string dir = mkdtemp(pattern.data());
        tallies = day::play(s, dir, dir + "/r", [&](SchedulerActions &a, std::uint64_t seed) {
            return pass_through ? day::make_passthrough(a) : make_scheduler(a, seed);
        });
        fault = rules::judge_file(dir + "/r", judge);
        std::filesystem::remove_all(dir);
    }
    void check_kept() {
        CHECK(fault == "");
        for (auto &b : judge.broken())
            FAIL_CHECK(b);
        CHECK(rules::kept(judge));
        CHECK(tallies["a"].good > 0);
    }
};

// The same, with a planner's process beside it.
std::string planned(const std::string &troubles) {
    auto text = script(troubles);
    return text.replace(text.find("edges = 1"), 9, "edges = 2\nplanner = yes");
}

std::string trouble(const std::string &text, const std::string &name = "x") {
    return "\n[trouble " + name + "]\n" + text;
}

} // namespace

TEST_SUITE("days on sockets") {
    TEST_CASE("a node silent in the middle of a reply: one answer each, never two shots at once") {
        Played p(script(trouble("at = 500ms\nkind = mute\nnode = 0\ncount = 3\n")));
        p.check_kept();
    }
    TEST_CASE("a write whose first copy is held back past its window") {
        Played p(script(trouble("at = 500ms\nkind = hold\nnode = 1\nlength = 900ms\n")));
        p.check_kept();
    }
    TEST_CASE("nodes restart cold and lose what was not flushed") {
        Played p(script(
            trouble("at = 500ms\nkind = restart\nnode = 0\nlength = 300ms\nlose = yes\n") +
            "\n[trouble y]\nat = 600ms\nkind = restart\nnode = 1\nlength = 300ms\nlose = yes\n"));
        p.check_kept();
    }
    TEST_CASE("a drain, and a replacement under a new id") {
        Played p(script(trouble("at = 400ms\nkind = drain\nnode = 0\nlength = 600ms\n")));
        p.check_kept();
        CHECK(p.judge.judged(rules::Rule::drains) > 0);
    }
    TEST_CASE("garbled, cut, swallowed and split answers") {
        Played p(script(trouble("at = 300ms\nkind = garble\nnode = 0\ncount = 2\n") +
                        "\n[trouble y]\nat = 700ms\nkind = cut\nnode = 1\ncount = 2\n"
                        "\n[trouble z]\nat = 1100ms\nkind = swallow\nnode = 0\nlength = 400ms\n"
                        "\n[trouble s]\nat = 200ms\nkind = split\nnode = 1\nlength = 400ms\n"));
        p.check_kept();
    }
    TEST_CASE("the same day without scheduling breaks rules: the judge does see them") {
        Played p(script(trouble("at = 300ms\nkind = hang\nnode = 0\nlength = 900ms\n"),
                        "\n[load a]\nvolume = members\nconnections = 3\nflying = 8\nrate = "
                        "300\nreads = 0.1\n"
                        "least = 512\nmost = 48KiB\nregion = 64KiB\n"),
                 true);
        CHECK(p.judge.breaches(rules::Rule::order) > 0);
    }
    TEST_CASE("a script's faults are told with their line") {
        std::vector<std::string> faults;
        day::read_script(
            "d.ini", "[day]\nlength = 5\n[trouble a]\nat = 1s\nkind = flood\nnode = 9\n", faults);
        CHECK(faults.size() == 3);
        CHECK(faults[0] ==
              "d.ini:2: [day] length = 5: expected a time like 250ms or 4s (ns, us, ms, s)");
    }
}

TEST_SUITE("days with a planner") {
    TEST_CASE("killed while a node drains, and back after the drain's end was asked for") {
        Played p(planned(trouble("at = 500ms\nkind = drain\nnode = 0") +
                         trouble("at = 560ms\nkind = planner_kill\nlength = 700ms", "y") +
                         trouble("at = 800ms\nkind = undrain\nnode = 0", "z")));
        p.check_kept();
        CHECK(p.judge.judged(rules::Rule::drains) > 50);
        CHECK(p.tallies["a"].lost == 0);
    }
    TEST_CASE(
        "killed before a drained node is replaced; late news to one edge; stopped and woken") {
        Played p(planned(trouble("at = 300ms\nkind = drain\nnode = 1\nlength = 600ms\ncount = 1") +
                         trouble("at = 700ms\nkind = planner_kill\nlength = 500ms", "y") +
                         trouble("at = 200ms\nkind = late_list\nedge = 1\nlength = 900ms", "z") +
                         trouble("at = 1500ms\nkind = planner_pause\nlength = 600ms", "w")));
        p.check_kept();
    }
    TEST_CASE("a node that restarts is cold for every edge that hears of it from the planner") {
        Played p(
            planned(trouble("at = 500ms\nkind = restart\nnode = 0\nlength = 200ms\nlose = yes") +
                    trouble("at = 650ms\nkind = planner_kill\nlength = 300ms", "y")));
        p.check_kept();
    }
    TEST_CASE("snapshots through two edges while a node hangs, a link is held and the planner "
              "dies: every rule holds") {
        std::string troubles =
            trouble("at = 600ms\nkind = hang\nnode = 0\nlength = 300ms") +
            trouble("at = 1s\nkind = hold\nnode = 1\nedge = 0\nlength = 500ms", "y") +
            trouble("at = 1800ms\nkind = planner_kill\nlength = 200ms", "z");
        for (int i = 0; i < 8; ++i)
            troubles += trouble("at = " + std::to_string(200 + 250 * i) +
                                    "ms\nkind = snapshot\nvolume = members\nlength = 200ms",
                                "s" + std::to_string(i));
        Played p(planned(troubles));
        p.check_kept();
        CHECK(p.tallies[day::snapshots].good > 0);
        CHECK(p.tallies["a"].errored < p.tallies["a"].good / 10);
    }
    TEST_CASE("deaths at points from a seed: service in time holds, no request is lost") {
        auto o = day::make_outages(2, 3);
        Played p(o.script);
        CHECK(p.fault == "");
        for (auto &b : p.judge.broken())
            FAIL_CHECK(b);
        auto [good, all] = day::in_time(p.tallies, o.before);
        auto [dead_good, dead_all] = day::in_time(p.tallies, o.dead);
        CHECK(all > 20);
        CHECK(dead_all > 20);
        // The 2% of the long run are for the long run; a few requests late on a busy machine are
        // not a death's harm.
        CHECK(static_cast<double>(dead_good) / static_cast<double>(dead_all) > 0.9);
        for (auto &[name, t] : p.tallies)
            CHECK(t.lost == 0);
    }
}
