// What operators ask of a planner: status, drain, undrain.
#include "cli/commands.hpp"

#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "cli/operators.hpp"
#include "planner/admin_client.hpp"

namespace knotvane::cli {
namespace {

// A planner that does not answer an operator in this time is down or paused.
constexpr Time patience = 3 * sec;

void table(const nlohmann::json &s) {
    auto u = [](const nlohmann::json &v) { return v.is_null() ? std::string("-") : v.dump(); };
    std::printf("planner: term %s, version %s, settings %s, up %s, %s volumes\n",
                u(s["term"]).c_str(), u(s["version"]).c_str(), u(s["settings"]).c_str(),
                ago(s["up_ms"].get<std::int64_t>()).c_str(), u(s["volumes"]).c_str());
    std::printf("\n%6s %6s %5s %-12s %-18s %-22s %10s %10s\n", "node", "shard", "zone", "state",
                "word", "address", "age", "heard");
    for (auto &n : s["nodes"])
        std::printf("%6s %6s %5s %-12s %-18s %-22s %10s %10s%s\n", u(n["id"]).c_str(),
                    u(n["shard"]).c_str(), u(n["zone"]).c_str(),
                    n["state"].get<std::string>().c_str(), n["word"].get<std::string>().c_str(),
                    n["address"].get<std::string>().c_str(),
                    ago(n["age_ms"].get<std::int64_t>()).c_str(),
                    ago(n["silent_ms"].get<std::int64_t>()).c_str(),
                    n["out_of_reach_for"].get<std::int64_t>() > 0
                        ? ("  out of reach for " + u(n["out_of_reach_for"]) + " edges").c_str()
                        : "");
    std::printf("\n%6s %-22s %8s %6s %7s %8s %8s %10s\n", "edge", "listens", "version", "term",
                "behind", "lease", "serving", "heard");
    for (auto &e : s["edges"])
        if (e["connected"].get<bool>())
            std::printf("%6s %-22s %8s %6s %7s %8s %8s %10s\n", u(e["id"]).c_str(),
                        e["listen"].get<std::string>().c_str(), u(e["version"]).c_str(),
                        u(e["term"]).c_str(), u(e["behind"]).c_str(),
                        e["lease"].get<std::string>().c_str(), u(e["serving"]).c_str(),
                        ago(e["silent_ms"].get<std::int64_t>()).c_str());
        else
            std::printf("%6s %-22s %8s %6s %7s %8s %8s %10s\n", u(e["id"]).c_str(),
                        "(not connected)", "-", "-", "-", e["lease"].get<std::string>().c_str(),
                        u(e["serving"]).c_str(), "-");
}

int drain(const std::string &planner, std::uint64_t node, bool on, bool yes, bool force) {
    const planner::AdminClient client(planner, patience);
    const auto preview = client.drain({NodeId{node}, on, control::DrainMode::preview});
    std::printf("%s\n", preview.text.c_str());
    if (!preview.allowed && !force) {
        std::fprintf(stderr, "not done%s\n",
                     on ? "; --force does it where only the shard's service is at stake" : "");
        return 1;
    }
    if (!yes) {
        if (!::isatty(STDIN_FILENO)) {
            std::fprintf(stderr, "not done: --yes does it where nobody can be asked\n");
            return 1;
        }
        std::printf("do it? [y/N] ");
        std::fflush(stdout);
        std::string answer;
        std::getline(std::cin, answer);
        if (answer != "y" && answer != "yes")
            return 1;
    }
    const auto mode = force ? control::DrainMode::force : control::DrainMode::apply;
    const bool done = client.drain({NodeId{node}, on, mode}).done;
    std::printf(done ? "done\n" : "not done: it can't be, or the fleet changed meanwhile\n");
    return done ? 0 : 1;
}

} // namespace

void add_planner(CLI::App &app, int &code) {
    struct Options {
        std::string planner = default_planner;
        std::uint64_t node = 0;
        bool json = false, yes = false, force = false;
    };
    auto o = std::make_shared<Options>();
    auto *status =
        app.add_subcommand("status", "what the planner and each edge hold, and how old it is");
    status->add_option("--planner", o->planner, "its address");
    status->add_flag("--json", o->json, "as JSON");
    status->footer("Example: knotvane status --planner 127.0.0.1:10810");
    status->callback([o, &code] {
        code = visit([&] {
            auto text = planner::AdminClient(o->planner, patience).status();
            if (o->json)
                std::printf("%s\n", text.c_str());
            else
                table(nlohmann::json::parse(text));
            return 0;
        });
    });
    for (bool on : {true, false}) {
        auto *cmd =
            app.add_subcommand(on ? "drain" : "undrain",
                               on ? "no new work to a node, by every edge; its effect is told first"
                                  : "end a drain that an operator began; its effect is told first");
        cmd->add_option("NODE", o->node, "its id")->required();
        cmd->add_option("--planner", o->planner, "its address");
        cmd->add_flag("--yes", o->yes, "do it without asking");
        if (on)
            cmd->add_flag("--force", o->force, "even where no other node serves its shard");
        cmd->footer(std::string("Exit code 0 only if it was done.\nExample: knotvane ") +
                    (on ? "drain" : "undrain") + " 3 --yes");
        cmd->callback([o, &code, on] {
            code = visit([&] { return drain(o->planner, o->node, on, o->yes, o->force); });
        });
    }
}

} // namespace knotvane::cli
