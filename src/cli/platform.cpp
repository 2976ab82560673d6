#include "cli/platform.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "http_gateway/server.hpp"
#include "log/log.hpp"
#include "settings/ini.hpp"

namespace knotvane::cli {

int run_platform(int argc, char **argv) {
    CLI::App app{
        "knotvane-edge --platform: HTTP in, scheduled attempts to the platform's disk servers out"};
    bool platform = false, json = false, trace = false;
    const char *from = std::getenv("LB_CONFIG");
    std::string config = from ? from : "", level = "info";
    app.add_flag("--platform", platform, "serve on the platform's protocol");
    app.add_option("--config", config, "configuration (JSON); else what LB_CONFIG names");
    app.add_option("--log", level, "least level of the log")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", json, "log as JSON lines");
    app.add_flag("--trace", trace,
                 "log each attempt's times and what is counted out; `knotvane trace` reads it");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    if (config.empty()) {
        std::fprintf(stderr, "no configuration: set LB_CONFIG or give --config FILE\n");
        return 2;
    }
    std::string fault;
    auto text = settings::File::slurp(config, fault);
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return 2;
    }
    log::start(level, json);
    int code = 0;
    try {
        http_gateway::Config first(text);
        loop::Loop loop;
        auto server = std::make_unique<http_gateway::Server>(
            loop, config, first,
            [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); }, trace);
        uv_signal_t signals[3];
        for (int i = 0; i < 3; ++i) {
            uv_signal_init(loop.raw(), &signals[i]);
            signals[i].data = server.get();
            uv_signal_start(
                &signals[i],
                [](uv_signal_t *s, int number) {
                    auto &to = *static_cast<http_gateway::Server *>(s->data);
                    number == SIGHUP ? to.reload() : to.stop();
                },
                i == 0   ? SIGTERM
                : i == 1 ? SIGINT
                         : SIGHUP);
        }
        log::line(log::info, "serves", {{"address", server->address()}, {"name", first.name()}});
        loop.run();
        server.reset();
    } catch (const scheduler_setup::MalformedInput &e) {
        std::fprintf(stderr, "%s: %s\n", config.c_str(), e.what());
        code = 2;
    } catch (const std::exception &e) {
        std::fprintf(stderr, "%s\n", e.what());
        code = 1;
    }
    log::stop();
    return code;
}

} // namespace knotvane::cli
