/// \file
/// The common main function of the edge, node and planner programs: parses the arguments, checks
/// the settings and runs an event loop until a signal stops it.
#pragma once

#include <cstdio>
#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "log/log.hpp"
#include "loop/loop.hpp"
#include "settings/ini.hpp"

namespace knotvane::cli {

/// Runs a program. `check` reads the settings file and collects its errors. `start` creates the
/// server on the loop; the object it returns is destroyed once the loop has stopped. `options` adds
/// further options.
/// @return the exit code: 0 stopped by a signal, 1 failed to run, 2 invalid usage or settings.
inline int run_program(
    int argc, char **argv, const std::string &about,
    const std::function<void(settings::File &)> &check,
    const std::function<std::shared_ptr<void>(loop::Loop &, settings::File &)> &start,
    const std::function<void(CLI::App &)> &options = [](CLI::App &) {}) {
    CLI::App app{about};
    std::string config, log_level = "info";
    bool log_json = false;
    app.add_option("--config", config, "settings file (INI); to check it, see `knotvane check`")
        ->required();
    app.add_option("--log", log_level, "lowest level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", log_json, "log one JSON object per line");
    options(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    std::string fault;
    auto text = settings::File::read_text(config, fault);
    settings::File checked_file(config, text), file(config, text);
    if (fault.empty())
        check(checked_file);
    auto faults = fault.empty() ? checked_file.faults() : std::vector<std::string>{fault};
    for (auto &message : faults)
        std::fprintf(stderr, "%s\n", message.c_str());
    if (!faults.empty())
        return 2;
    log::start(log_level, log_json);
    int exit_code = 0;
    try {
        loop::Loop loop;
        uv_signal_t stop_signals[2];
        for (int i = 0; i < 2; ++i) {
            uv_signal_init(loop.raw(), &stop_signals[i]);
            uv_signal_start(
                &stop_signals[i], [](uv_signal_t *handle, int) { uv_stop(handle->loop); },
                i == 0 ? SIGINT : SIGTERM);
        }
        auto server = start(loop, file);
        loop.run();
        server.reset();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        exit_code = 1;
    }
    log::stop();
    return exit_code;
}

} // namespace knotvane::cli
