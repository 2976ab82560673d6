// What the programs that run one part have in common: arguments, checked settings, a loop until a
// signal.
#pragma once

#include <cstdio>
#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "log/log.hpp"
#include "loop/loop.hpp"
#include "settings/ini.hpp"

namespace knotvane::cli {

// `check` reads the settings for their faults; `start` makes the part on the loop and gives back
// what keeps it alive. Exit codes: 0 stopped by a signal, 1 it could not run, 2 usage or settings.
inline int run_part(
    int argc, char **argv, const std::string &about,
    const std::function<void(settings::File &)> &check,
    const std::function<std::shared_ptr<void>(loop::Loop &, settings::File &)> &start,
    const std::function<void(CLI::App &)> &options = [](CLI::App &) {}) {
    CLI::App app{about};
    std::string config, level = "info";
    bool json = false;
    app.add_option("--config", config, "settings (INI); see `knotvane check`")->required();
    app.add_option("--log", level, "least level of the log")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", json, "log as JSON lines");
    options(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    std::string fault;
    auto text = settings::File::read_text(config, fault);
    settings::File first(config, text), again(config, text);
    if (fault.empty())
        check(first);
    auto faults = fault.empty() ? first.faults() : std::vector<std::string>{fault};
    for (auto &f : faults)
        std::fprintf(stderr, "%s\n", f.c_str());
    if (!faults.empty())
        return 2;
    log::start(level, json);
    int code = 0;
    try {
        loop::Loop loop;
        uv_signal_t ends[2];
        for (int i = 0; i < 2; ++i) {
            uv_signal_init(loop.raw(), &ends[i]);
            uv_signal_start(
                &ends[i], [](uv_signal_t *s, int) { uv_stop(s->loop); }, i == 0 ? SIGINT : SIGTERM);
        }
        auto part = start(loop, again);
        loop.run();
        part.reset();
    } catch (const std::exception &e) {
        std::fprintf(stderr, "%s\n", e.what());
        code = 1;
    }
    log::stop();
    return code;
}

} // namespace knotvane::cli
