// The commands `status`, `drain` and `undrain`, which call a planner.
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

// Timeout of a call; a planner that does not answer within it is down or paused.
constexpr Time call_timeout = 3 * sec;

void print_status(const nlohmann::json &status) {
    auto to_text = [](const nlohmann::json &value) {
        return value.is_null() ? std::string("-") : value.dump();
    };
    std::printf("planner: term %s, version %s, settings %s, up %s, %s volumes\n",
                to_text(status["term"]).c_str(), to_text(status["version"]).c_str(),
                to_text(status["settings"]).c_str(),
                format_age(status["up_ms"].get<std::int64_t>()).c_str(),
                to_text(status["volumes"]).c_str());
    std::printf("\n%6s %6s %5s %-12s %-18s %-22s %10s %10s\n", "node", "shard", "zone", "state",
                "word", "address", "age", "heard");
    for (auto &node : status["nodes"])
        std::printf(
            "%6s %6s %5s %-12s %-18s %-22s %10s %10s%s\n", to_text(node["id"]).c_str(),
            to_text(node["shard"]).c_str(), to_text(node["zone"]).c_str(),
            node["state"].get<std::string>().c_str(), node["word"].get<std::string>().c_str(),
            node["address"].get<std::string>().c_str(),
            format_age(node["age_ms"].get<std::int64_t>()).c_str(),
            format_age(node["silent_ms"].get<std::int64_t>()).c_str(),
            node["out_of_reach_for"].get<std::int64_t>() > 0
                ? ("  out of reach for " + to_text(node["out_of_reach_for"]) + " edges").c_str()
                : "");
    std::printf("\n%6s %-22s %8s %6s %7s %8s %8s %10s\n", "edge", "listens", "version", "term",
                "behind", "lease", "serving", "heard");
    for (auto &edge : status["edges"])
        if (edge["connected"].get<bool>())
            std::printf("%6s %-22s %8s %6s %7s %8s %8s %10s\n", to_text(edge["id"]).c_str(),
                        edge["listen"].get<std::string>().c_str(), to_text(edge["version"]).c_str(),
                        to_text(edge["term"]).c_str(), to_text(edge["behind"]).c_str(),
                        edge["lease"].get<std::string>().c_str(), to_text(edge["serving"]).c_str(),
                        format_age(edge["silent_ms"].get<std::int64_t>()).c_str());
        else
            std::printf("%6s %-22s %8s %6s %7s %8s %8s %10s\n", to_text(edge["id"]).c_str(),
                        "(not connected)", "-", "-", "-", edge["lease"].get<std::string>().c_str(),
                        to_text(edge["serving"]).c_str(), "-");
}

int drain(const std::string &planner, std::uint64_t node, bool start, bool yes, bool force) {
    const planner::AdminClient client(planner, call_timeout);
    const auto preview = client.drain({NodeId{node}, start, control::DrainMode::preview});
    std::printf("%s\n", preview.text.c_str());
    if (!preview.allowed && !force) {
        std::fprintf(
            stderr, "nothing was changed%s\n",
            start ? "; --force overrides the refusal if the only reason is that no other node "
                    "serves the shard"
                  : "");
        return 1;
    }
    if (!yes) {
        if (!::isatty(STDIN_FILENO)) {
            std::fprintf(
                stderr,
                "nothing was changed: standard input is not a terminal, so a confirmation can't be "
                "asked for; --yes confirms\n");
            return 1;
        }
        std::printf("continue? [y/N] ");
        std::fflush(stdout);
        std::string answer;
        std::getline(std::cin, answer);
        if (answer != "y" && answer != "yes")
            return 1;
    }
    const auto mode = force ? control::DrainMode::force : control::DrainMode::apply;
    const bool done = client.drain({NodeId{node}, start, mode}).done;
    std::printf(
        done
            ? "done\n"
            : "nothing was changed: the planner refused, or the fleet changed since the preview\n");
    return done ? 0 : 1;
}

} // namespace

void add_planner(CLI::App &app, int &exit_code) {
    struct Options {
        std::string planner = default_planner_address;
        std::uint64_t node = 0;
        bool json = false, yes = false, force = false;
    };
    auto options = std::make_shared<Options>();
    auto *status = app.add_subcommand(
        "status", "show the planner's nodes and edges, and how old the information is");
    status->add_option("--planner", options->planner, "address of the planner");
    status->add_flag("--json", options->json, "print JSON");
    status->footer("Example: knotvane status --planner 127.0.0.1:10810");
    status->callback([options, &exit_code] {
        exit_code = run_reporting_errors([&] {
            auto text = planner::AdminClient(options->planner, call_timeout).status();
            if (options->json)
                std::printf("%s\n", text.c_str());
            else
                print_status(nlohmann::json::parse(text));
            return 0;
        });
    });
    for (bool start : {true, false}) {
        auto *command = app.add_subcommand(
            start ? "drain" : "undrain",
            start ? "stop all edges from sending new work to a node; shows the effect first"
                  : "end a drain that an operator started; shows the effect first");
        command->add_option("NODE", options->node, "id of the node")->required();
        command->add_option("--planner", options->planner, "address of the planner");
        command->add_flag("--yes", options->yes, "don't ask for confirmation");
        if (start)
            command->add_flag("--force", options->force,
                              "drain it even if no other node serves its shard");
        command->footer(
            std::string("Exit code 0 only if the change was made.\nExample: knotvane ") +
            (start ? "drain" : "undrain") + " 3 --yes");
        command->callback([options, &exit_code, start] {
            exit_code = run_reporting_errors([&] {
                return drain(options->planner, options->node, start, options->yes, options->force);
            });
        });
    }
}

} // namespace knotvane::cli
