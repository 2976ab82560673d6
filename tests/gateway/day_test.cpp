// Short scripted days on loopback sockets, recorded and judged: the hard cases by name.
#include <doctest/doctest.h>

#include <filesystem>

#include "day/day.hpp"
#include "day/passthrough.hpp"
#include "rules/figures.hpp"

using namespace knotvane;

namespace {

std::string script(const std::string &troubles, const std::string &load = "") {
    auto scheduling = fleet::default_scheduling();
    // Shorter windows: what must wait for them does not make the tests wait.
    auto swap = [&](const std::string &from, const std::string &to) {
        for (auto at = scheduling.find(from); at != std::string::npos; at = scheduling.find(from, at + to.size()))
            scheduling.replace(at, from.size(), to);
    };
    swap("window = 2500ms", "window = 600ms");
    swap("key_rest = 2600ms", "key_rest = 700ms");
    swap("client_timeout = 3s", "client_timeout = 1500ms");
    swap("client_timeout = 5s", "client_timeout = 2s");
    return "[day]\nlength = 2500ms\nnodes = 2\nedges = 1\n\n[speed]\nunit_time = 2ms\ncores = 2\nslots = 4\nroom = 32\n\n" +
           scheduling +
           (load.empty() ? "\n[load a]\nvolume = members\nconnections = 3\nflying = 4\nrate = 120\nreads = 0.5\n"
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
        tallies = day::play(s, dir, dir + "/r", [&](Actions &a, std::uint64_t seed) {
            return pass_through ? day::make_passthrough(a) : make_scheduler(a, seed);
        });
        fault = rules::judge_file(dir + "/r", judge);
        std::filesystem::remove_all(dir);
    }
    void check_kept() {
        CHECK(fault == "");
        for (auto &b : judge.broken()) FAIL_CHECK(b);
        CHECK(rules::kept(judge));
        CHECK(tallies["a"].good > 0);
    }
};

std::string trouble(const std::string &text) { return "\n[trouble x]\n" + text; }

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
        Played p(script(trouble("at = 500ms\nkind = restart\nnode = 0\nlength = 300ms\nlose = yes\n") +
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
                        "\n[load a]\nvolume = members\nconnections = 3\nflying = 8\nrate = 300\nreads = 0.1\n"
                        "least = 512\nmost = 48KiB\nregion = 64KiB\n"),
                 true);
        CHECK(p.judge.breaches(rules::Rule::order) > 0);
    }
    TEST_CASE("a script's faults are told with their line") {
        std::vector<std::string> faults;
        day::read_script("d.ini", "[day]\nlength = 5\n[trouble a]\nat = 1s\nkind = flood\nnode = 9\n", faults);
        CHECK(faults.size() == 3);
        CHECK(faults[0] == "d.ini:2: [day] length = 5: expected a time like 250ms or 4s (ns, us, ms, s)");
    }
}
