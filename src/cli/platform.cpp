#include "cli/platform.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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

/// Parses the command line into `options`. Returns the exit code if the program is to exit at once.
std::optional<int> parse_options(int argc, char **argv, PlatformOptions &options) {
    CLI::App app{
        "knotvane-edge --platform: receives HTTP requests and schedules attempts for them to the "
        "platform's disk servers"};
    bool platform = false;
    if (const char *from_environment = std::getenv("LB_CONFIG"))
        options.config_path = from_environment;
    app.add_flag("--platform", platform, "serve the platform's HTTP protocol");
    app.add_option("--config", options.config_path,
                   "configuration file (JSON); default: the path in LB_CONFIG");
    app.add_option("--log", options.log_level, "lowest level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
    app.add_flag("--log-json", options.log_json, "log one JSON object per line");
    app.add_flag(
        "--trace", options.trace,
        "log each attempt's times and the attempts in flight by node; summarize the log with "
        "`knotvane trace`");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : exit_usage;
    }
    return std::nullopt;
}

/// Passes signals to a server: SIGHUP reloads its configuration, SIGTERM and SIGINT stop it. Must
/// outlive the loop, which closes the signal handles.
class ServerSignals {
public:
    void start(loop::Loop &loop, http_gateway::Server &server) {
        constexpr std::array<int, 3> signals{SIGTERM, SIGINT, SIGHUP};
        for (std::size_t i = 0; i < signals.size(); ++i) {
            uv_signal_init(loop.raw(), &handles_[i]);
            handles_[i].data = &server;
            uv_signal_start(&handles_[i], on_signal, signals[i]);
        }
    }

private:
    static void on_signal(uv_signal_t *handle, int signal) {
        auto &server = *static_cast<http_gateway::Server *>(handle->data);
        if (signal == SIGHUP)
            server.reload();
        else
            server.stop();
    }

    std::array<uv_signal_t, 3> handles_{};
};

/// Starts a server from the text of a configuration, which is not kept: it may list thousands of
/// nodes.
std::unique_ptr<http_gateway::Server> start_server(loop::Loop &loop, const PlatformOptions &options,
                                                   const std::string &text) {
    const http_gateway::Config config(text);
    auto server = std::make_unique<http_gateway::Server>(
        loop, options.config_path, config,
        [](SchedulerActions &actions, std::uint64_t seed) { return make_scheduler(actions, seed); },
        options.trace);
    log::write(log::info, "serves", {{"address", server->address()}, {"name", config.name()}});
    return server;
}

/// Runs a server until a signal stops it.
void serve(const PlatformOptions &options, std::string text) {
    ServerSignals signals;
    loop::Loop loop;
    auto server = start_server(loop, options, text);
    text = {};
    signals.start(loop, *server);
    loop.run();
    server.reset();
}

} // namespace

int run_platform(int argc, char **argv) {
    PlatformOptions options;
    if (auto code = parse_options(argc, argv, options))
        return *code;
    if (options.config_path.empty()) {
        std::fprintf(stderr,
                     "no configuration file: give --config FILE or set LB_CONFIG to its path\n");
        return exit_usage;
    }
    std::string read_error;
    auto text = settings::File::read_text(options.config_path, read_error);
    if (!read_error.empty()) {
        std::fprintf(stderr, "%s\n", read_error.c_str());
        return exit_usage;
    }

    log::start(options.log_level, options.log_json);
    int code = 0;
    try {
        serve(options, std::move(text));
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
