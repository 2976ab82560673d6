// The subcommand `store`: offline checks of a node's store.
#include "cli/commands.hpp"

#include <cstdio>
#include <exception>
#include <filesystem>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "store/store.hpp"

namespace knotvane::cli {
namespace {

int check(const std::string &path) {
    if (!std::filesystem::is_regular_file(path)) {
        std::fprintf(stderr, "%s: not a file; expected a node's store\n", path.c_str());
        return 2;
    }
    try {
        // Opening a store writes to it, so it is opened through an overlay that keeps writes in
        // memory.
        auto file = store::file_medium(path, false);
        auto overlay = store::overlay_medium(*file);
        store::Store examined(*overlay);
        auto findings = examined.check();
        for (auto &finding : findings)
            std::printf("%s\n", finding.c_str());
        std::printf("%s: %s; %llu blocks in use, nothing was changed\n", path.c_str(),
                    findings.empty() ? "good"
                                     : (std::to_string(findings.size()) + " findings").c_str(),
                    static_cast<unsigned long long>(examined.blocks_used()));
        return findings.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::printf("%s: %s\n", path.c_str(), error.what());
        return 1;
    }
}

} // namespace

void add_store(CLI::App &app, int &exit_code) {
    auto path = std::make_shared<std::string>();
    auto *store = app.add_subcommand("store", "inspect a node's store");
    store->require_subcommand(1);
    auto *check_command = store->add_subcommand(
        "check", "walk all trees, verify all blocks, recount all references; repairs nothing");
    check_command->add_option("FILE", *path, "file of the store; its node must not be running")
        ->required();
    check_command->footer(
        "Exit codes: 0 good, 1 findings, one line each, 2 usage.\nExample: knotvane store "
        "check /srv/shard-0.store");
    check_command->callback([path, &exit_code] { exit_code = check(*path); });
}

} // namespace knotvane::cli
