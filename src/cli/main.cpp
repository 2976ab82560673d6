// knotvane: the command-line program. Exit codes: 0 success, 1 the command ran but failed or did
// not reach its criteria, 2 invalid usage or settings.
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
    std::string log_level = "info";
    bool log_json = false;
    app.add_option("--log", log_level, "lowest level that is logged: debug, info, warn or error")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", log_json, "log one JSON object per line");
    int exit_code = 0;
    cli::add_local(app, exit_code);
    cli::add_check(app, exit_code);
    cli::add_load(app, exit_code);
    cli::add_days(app, exit_code);
    cli::add_planner(app, exit_code);
    cli::add_snapshots(app, exit_code);
    cli::add_store(app, exit_code);
    cli::add_trace(app, exit_code);
    app.parse_complete_callback([&] { log::start(log_level, log_json); });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "knotvane: %s\n", error.what());
        exit_code = 2;
    }
    log::stop();
    return exit_code;
}
