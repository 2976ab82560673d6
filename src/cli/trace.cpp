// What a front's trace tells.
#include "cli/commands.hpp"

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "http_gateway/trace.hpp"

namespace knotvane::cli {

void add_trace(CLI::App &app, int &code) {
    auto paths = std::make_shared<std::vector<std::string>>();
    auto *cmd = app.add_subcommand(
        "trace", "what was believed against what crossed the sockets, from --trace logs");
    cmd->add_option("FILES", *paths,
                    "logs of knotvane-edge --platform --trace; - for standard input")
        ->required();
    cmd->footer(
        "Exit codes: 0 good, 2 a file can't be read.\nExample: knotvane trace scheduler.log");
    cmd->callback([paths, &code] {
        http_gateway::TraceSummary trace;
        for (auto &path : *paths) {
            std::ifstream file(path == "-" ? "/dev/stdin" : path);
            if (!file) {
                std::fprintf(stderr, "%s: can't be read\n", path.c_str());
                code = 2;
                return;
            }
            for (std::string line; std::getline(file, line);)
                trace.add_line(line);
        }
        std::fputs(trace.report().c_str(), stdout);
    });
}

} // namespace knotvane::cli
