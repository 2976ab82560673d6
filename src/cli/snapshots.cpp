// What operators ask of snapshots and clones.
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

// A cut waits for changes that began before it, at most; then it is tried again or the reason is
// told.
constexpr Time patience = 90 * sec;

int ask(const std::string &planner, const control::SnapshotRequest &request) {
    auto result = planner::AdminClient(planner, patience).snapshot(request);
    std::fprintf(result.done ? stdout : stderr, "%s\n", result.text.c_str());
    return result.done ? 0 : 1;
}

void table(const nlohmann::json &s) {
    if (!s["cuts"].empty())
        std::printf("%-40s %-9s %-24s %14s %8s %-11s %s\n", "name", "kind", "of", "bytes", "age",
                    "pays", "used by edges");
    for (auto &c : s["cuts"])
        std::printf("%-40s %-9s %-24s %14s %8s %-11s %s\n", c["name"].get<std::string>().c_str(),
                    c["kind"].get<std::string>().c_str(), c["of"].get<std::string>().c_str(),
                    c["size"].dump().c_str(), ago(c["age_ms"].get<std::int64_t>()).c_str(),
                    c["pays"].get<std::string>().c_str(),
                    c["used_by"].empty() ? "-" : c["used_by"].dump().c_str());
    for (auto &c : s["cuts_under_way"])
        std::printf("under way for %s: %s %s\n", ago(c["since_ms"].get<std::int64_t>()).c_str(),
                    c["name"].get<std::string>().c_str(), c["what"].get<std::string>().c_str());
    for (auto &c : s["cuts_undone"])
        std::printf("to be taken back at shards %s: id %s\n", c["shards_left"].dump().c_str(),
                    c["id"].dump().c_str());
    if (s["cuts"].empty() && s["cuts_under_way"].empty() && s["cuts_undone"].empty())
        std::printf("there are no snapshots and no clones\n");
}

} // namespace

void add_snapshots(CLI::App &app, int &code) {
    struct Options {
        std::string planner = default_planner, a, b, plan;
        bool json = false;
    };
    using Operation = control::SnapshotOperation;
    auto o = std::make_shared<Options>();
    auto *snapshot =
        app.add_subcommand("snapshot", "take, list, drop and compare snapshots of volumes");
    snapshot->require_subcommand(1);
    auto command = [&](CLI::App *to, const char *name, const char *about, Operation operation) {
        auto *cmd = to->add_subcommand(name, about);
        cmd->add_option("--planner", o->planner, "its address");
        cmd->callback([o, &code, operation] {
            code = visit([&] { return ask(o->planner, {operation, o->a, o->b, o->plan}); });
        });
        return cmd;
    };
    auto *take =
        command(snapshot, "take",
                "every write answered before, none begun after; found over NBD as VOLUME@NAME",
                Operation::take);
    take->add_option("VOLUME", o->a, "its name")->required();
    take->add_option("NAME", o->b, "of the snapshot")->required();
    take->footer(
        "Exit code 0 only if it is whole; else nothing is left of it.\nExample: knotvane snapshot "
        "take members before-rules");
    auto *drop =
        command(snapshot, "drop", "drop a snapshot or a clone; refused while a client has it open",
                Operation::drop);
    drop->add_option("NAME", o->a, "VOLUME@NAME, or a clone's name")->required();
    drop->footer("Example: knotvane snapshot drop members@before-rules");
    auto *diff =
        command(snapshot, "diff", "the ranges in which two differ, as offset and length in bytes",
                Operation::compare);
    diff->add_option("A", o->a, "VOLUME@NAME, or a volume or clone as it is now")->required();
    diff->add_option("B", o->b, "another of the same origin")->required();
    diff->footer("Example: knotvane snapshot diff members@before-rules members");
    auto *list = snapshot->add_subcommand(
        "list", "snapshots and clones, those under way, and what is still to be taken back");
    list->add_option("--planner", o->planner, "its address");
    list->add_flag("--json", o->json, "as JSON");
    list->callback([o, &code] {
        code = visit([&] {
            auto s = nlohmann::json::parse(planner::AdminClient(o->planner, 3 * sec).status());
            if (!o->json)
                table(s);
            else
                std::printf("%s\n", nlohmann::json{{"cuts", s["cuts"]},
                                                   {"cuts_under_way", s["cuts_under_way"]},
                                                   {"cuts_undone", s["cuts_undone"]}}
                                        .dump()
                                        .c_str());
            return 0;
        });
    });
    auto *clone = command(&app, "clone", "a writable copy of a snapshot, sharing what is unchanged",
                          Operation::clone);
    clone->add_option("SNAPSHOT", o->a, "VOLUME@NAME")->required();
    clone->add_option("NAME", o->b, "of the clone, found over NBD by it")->required();
    clone->add_option(
        "--plan", o->plan,
        "a plan of its own, without a reserve; without it pays from its source's part");
    clone->footer("Example: knotvane clone members@before-rules members-test");
}

} // namespace knotvane::cli
