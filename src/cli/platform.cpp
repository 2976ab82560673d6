#include "cli/platform.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "http_gateway/server.hpp"
#include "log/log.hpp"
#include "settings/ini.hpp"

namespace knotvane::cli {
namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

struct PlatformOptions {
    std::string config_path;
    std::string log_level = "info";
    bool log_json = false;
    bool trace = false;
};

/// Reads the command line; returns an exit code if the program ends with that.
std::optional<int> parse_options(int argc, char **argv, PlatformOptions &options) {
    CLI::App app{
        "knotvane-edge --platform: HTTP in, scheduled attempts to the platform's disk servers out"};
    bool platform = false;
    if (const char *from_environment = std::getenv("LB_CONFIG"))
        options.config_path = from_environment;
    app.add_flag("--platform", platform, "serve on the platform's protocol");
    app.add_option("--config", options.config_path,
                   "configuration (JSON); else what LB_CONFIG names");
    app.add_option("--log", options.log_level, "least level of the log")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", options.log_json, "log as JSON lines");
    app.add_flag("--trace", options.trace,
                 "log each attempt's times and what is counted out; `knotvane trace` reads it");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : exit_usage;
    }
    return std::nullopt;
}

/// Signals that a loop passes on to a server: SIGHUP reloads, the others stop it. Must outlive the
/// loop, which closes the handles.
class ServerSignals {
public:
    void start(loop::Loop &loop, http_gateway::Server &server) {
        constexpr std::array<int, 3> numbers{SIGTERM, SIGINT, SIGHUP};
        for (std::size_t i = 0; i < numbers.size(); ++i) {
            uv_signal_init(loop.raw(), &handles_[i]);
            handles_[i].data = &server;
            uv_signal_start(&handles_[i], on_signal, numbers[i]);
        }
    }

private:
    static void on_signal(uv_signal_t *handle, int number) {
        auto &server = *static_cast<http_gateway::Server *>(handle->data);
        if (number == SIGHUP)
            server.reload();
        else
            server.stop();
    }

    std::array<uv_signal_t, 3> handles_{};
};

/// Serves until a signal stops it.
void serve(const PlatformOptions &options, const http_gateway::Config &config) {
    ServerSignals signals;
    loop::Loop loop;
    auto server = std::make_unique<http_gateway::Server>(
        loop, options.config_path, config,
        [](SchedulerActions &actions, std::uint64_t seed) { return make_scheduler(actions, seed); },
        options.trace);
    signals.start(loop, *server);
    log::line(log::info, "serves", {{"address", server->address()}, {"name", config.name()}});
    loop.run();
    server.reset();
}

} // namespace

int run_platform(int argc, char **argv) {
    PlatformOptions options;
    if (auto code = parse_options(argc, argv, options))
        return *code;
    if (options.config_path.empty()) {
        std::fprintf(stderr, "no configuration: set LB_CONFIG or give --config FILE\n");
        return exit_usage;
    }
    std::string fault;
    auto text = settings::File::slurp(options.config_path, fault);
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return exit_usage;
    }

    log::start(options.log_level, options.log_json);
    int code = 0;
    try {
        serve(options, http_gateway::Config(text));
    } catch (const scheduler_setup::MalformedInput &error) {
        std::fprintf(stderr, "%s: %s\n", options.config_path.c_str(), error.what());
        code = exit_usage;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        code = exit_failure;
    }
    log::stop();
    return code;
}

} // namespace knotvane::cli
