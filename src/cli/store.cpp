// What operators ask of a node's store.
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
        std::fprintf(stderr, "%s: there is no such store\n", path.c_str());
        return 2;
    }
    try {
        // Opening a store writes to it; here what is written goes nowhere.
        auto file = store::file_medium(path, false);
        auto over = store::overlay_medium(*file);
        store::Store s(*over);
        auto found = s.check();
        for (auto &f : found)
            std::printf("%s\n", f.c_str());
        std::printf("%s: %s; %llu blocks in use, nothing was changed\n", path.c_str(),
                    found.empty() ? "good" : (std::to_string(found.size()) + " findings").c_str(),
                    static_cast<unsigned long long>(s.blocks_used()));
        return found.empty() ? 0 : 1;
    } catch (const std::exception &e) {
        std::printf("%s: %s\n", path.c_str(), e.what());
        return 1;
    }
}

} // namespace

void add_store(CLI::App &app, int &code) {
    auto path = std::make_shared<std::string>();
    auto *store = app.add_subcommand("store", "look at a node's store");
    store->require_subcommand(1);
    auto *cmd = store->add_subcommand(
        "check", "walk every tree, read every block, count everything; repair nothing");
    cmd->add_option("FILE", *path, "the store; its node must not run")->required();
    cmd->footer("Exit codes: 0 good, 1 findings, one line each, 2 usage.\nExample: knotvane store "
                "check /srv/shard-0.store");
    cmd->callback([path, &code] { code = check(*path); });
}

} // namespace knotvane::cli
