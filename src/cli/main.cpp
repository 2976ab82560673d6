// knotvane: the command line. Exit codes: 0 good, 1 it ran and fell short, 2 usage or settings.
#include <cstdio>
#include <iostream>

#include <CLI/CLI.hpp>

#include "cli/commands.hpp"
#include "log/log.hpp"

int main(int argc, char **argv) {
    using namespace knotvane;
    CLI::App app{
        "knotvane: a storage gateway that schedules a host's reads and writes over storage nodes"};
    app.require_subcommand(1);
    app.get_formatter()->column_width(34);
    std::string level = "info";
    bool json = false;
    app.add_option("--log", level, "least level of the log: debug, info, warn or error")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", json, "log as JSON lines");
    int code = 0;
    cli::add_local(app, code);
    cli::add_check(app, code);
    cli::add_load(app, code);
    cli::add_days(app, code);
    cli::add_planner(app, code);
    cli::add_snapshots(app, code);
    cli::add_store(app, code);
    cli::add_trace(app, code);
    app.parse_complete_callback([&] { log::start(level, json); });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        return app.exit(e) == 0 ? 0 : 2;
    } catch (const std::exception &e) {
        std::fprintf(stderr, "knotvane: %s\n", e.what());
        code = 2;
    }
    log::stop();
    return code;
}
