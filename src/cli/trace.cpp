// The command `knotvane trace`: statistics of an HTTP gateway's trace.
#include "cli/commands.hpp"

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "http_gateway/trace.hpp"

namespace knotvane::cli {

void add_trace(CLI::App &app, int &exit_code) {
    auto paths = std::make_shared<std::vector<std::string>>();
    auto *command = app.add_subcommand("trace", "compare the scheduler's view with what happened "
                                                "on the sockets, from logs written with --trace");
    command
        ->add_option("FILES", *paths,
                     "logs of `knotvane-edge --platform --trace`; - for standard input")
        ->required();
    command->footer(
        "Exit codes: 0 success, 2 a file can't be read.\nExample: knotvane trace scheduler.log");
    command->callback([paths, &exit_code] {
        http_gateway::TraceSummary summary;
        for (auto &path : *paths) {
            std::ifstream file(path == "-" ? "/dev/stdin" : path);
            if (!file) {
                std::fprintf(stderr, "%s: can't open this log file\n", path.c_str());
                exit_code = 2;
                return;
            }
            for (std::string line; std::getline(file, line);)
                summary.add_line(line);
        }
        std::fputs(summary.report().c_str(), stdout);
    });
}

} // namespace knotvane::cli
