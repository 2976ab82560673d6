// The commands `snapshot` and `clone`, which call a planner.
#include "cli/commands.hpp"

#include <cstdio>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "cli/operators.hpp"
#include "common/time.hpp"
#include "planner/admin_client.hpp"

namespace knotvane::cli {
namespace {

// Timeout of a call. A snapshot waits for the changes that began before it; if they take too long,
// the planner retries or reports the reason.
constexpr Time call_timeout = 90 * sec;

int send_request(const std::string &planner, const control::SnapshotRequest &request) {
    auto result = planner::AdminClient(planner, call_timeout).snapshot(request);
    std::fprintf(result.done ? stdout : stderr, "%s\n", result.text.c_str());
    return result.done ? 0 : 1;
}

void print_snapshots(const nlohmann::json &status) {
    if (!status["cuts"].empty())
        std::printf("%-40s %-9s %-24s %14s %8s %-11s %s\n", "name", "kind", "of", "bytes", "age",
                    "pays", "used by edges");
    for (auto &cut : status["cuts"])
        std::printf("%-40s %-9s %-24s %14s %8s %-11s %s\n", cut["name"].get<std::string>().c_str(),
                    cut["kind"].get<std::string>().c_str(), cut["of"].get<std::string>().c_str(),
                    cut["size"].dump().c_str(),
                    format_age(cut["age_ms"].get<std::int64_t>()).c_str(),
                    cut["pays"].get<std::string>().c_str(),
                    cut["used_by"].empty() ? "-" : cut["used_by"].dump().c_str());
    for (auto &cut : status["cuts_under_way"])
        std::printf("in progress for %s: %s %s\n",
                    format_age(cut["since_ms"].get<std::int64_t>()).c_str(),
                    cut["name"].get<std::string>().c_str(), cut["what"].get<std::string>().c_str());
    for (auto &cut : status["cuts_undone"])
        std::printf("still to be removed from shards %s: id %s\n",
                    cut["shards_left"].dump().c_str(), cut["id"].dump().c_str());
    if (status["cuts"].empty() && status["cuts_under_way"].empty() && status["cuts_undone"].empty())
        std::printf("there are no snapshots and no clones\n");
}

} // namespace

void add_snapshots(CLI::App &app, int &exit_code) {
    struct Options {
        std::string planner = default_planner_address, first, second, plan;
        bool json = false;
    };
    using Operation = control::SnapshotOperation;
    auto options = std::make_shared<Options>();
    auto *snapshot =
        app.add_subcommand("snapshot", "take, list, drop and compare snapshots of volumes");
    snapshot->require_subcommand(1);
    auto add_command = [&](CLI::App *parent, const char *name, const char *description,
                           Operation operation) {
        auto *command = parent->add_subcommand(name, description);
        command->add_option("--planner", options->planner, "address of the planner");
        command->callback([options, &exit_code, operation] {
            exit_code = run_reporting_errors([&] {
                return send_request(options->planner,
                                    {operation, options->first, options->second, options->plan});
            });
        });
        return command;
    };
    auto *take = add_command(
        snapshot, "take",
        "take a snapshot with all writes answered before and none begun after; its NBD export "
        "is VOLUME@NAME",
        Operation::take);
    take->add_option("VOLUME", options->first, "name of the volume")->required();
    take->add_option("NAME", options->second, "name of the snapshot")->required();
    take->footer("Exit code 0 only if the snapshot is complete; otherwise none of it "
                 "remains.\nExample: knotvane snapshot "
                 "take members before-rules");
    auto *drop = add_command(snapshot, "drop",
                             "drop a snapshot or a clone; refused while a client has it open",
                             Operation::drop);
    drop->add_option("NAME", options->first, "VOLUME@NAME, or a clone's name")->required();
    drop->footer("Example: knotvane snapshot drop members@before-rules");
    auto *diff = add_command(
        snapshot, "diff",
        "list the ranges in which two volumes or snapshots differ, as offset and length in bytes",
        Operation::compare);
    diff->add_option("A", options->first, "VOLUME@NAME, or a volume or clone as it is now")
        ->required();
    diff->add_option("B", options->second, "another one that stems from the same volume")
        ->required();
    diff->footer("Example: knotvane snapshot diff members@before-rules members");
    auto *list = snapshot->add_subcommand(
        "list", "list snapshots and clones, those in progress, and those still to be removed");
    list->add_option("--planner", options->planner, "address of the planner");
    list->add_flag("--json", options->json, "print JSON");
    list->callback([options, &exit_code] {
        exit_code = run_reporting_errors([&] {
            auto status =
                nlohmann::json::parse(planner::AdminClient(options->planner, 3 * sec).status());
            if (!options->json)
                print_snapshots(status);
            else
                std::printf("%s\n", nlohmann::json{{"cuts", status["cuts"]},
                                                   {"cuts_under_way", status["cuts_under_way"]},
                                                   {"cuts_undone", status["cuts_undone"]}}
                                        .dump()
                                        .c_str());
            return 0;
        });
    });
    auto *clone = add_command(
        &app, "clone", "make a writable copy of a snapshot that shares unchanged data with it",
        Operation::clone);
    clone->add_option("SNAPSHOT", options->first, "VOLUME@NAME")->required();
    clone->add_option("NAME", options->second, "name of the clone and of its NBD export")
        ->required();
    clone->add_option(
        "--plan", options->plan,
        "its own plan, which must have no reserve; default: it uses its source's share");
    clone->footer("Example: knotvane clone members@before-rules members-test");
}

} // namespace knotvane::cli
