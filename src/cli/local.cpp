#include "cli/commands.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "edge/settings.hpp"
#include "fleet/fleet.hpp"
#include "log/log.hpp"

namespace knotvane::cli {
namespace {

// A folder of its own where none is given; taken away at the end.
struct Folder {
    std::string path;
    bool ours = false;
    explicit Folder(const std::string &given) : path(given) {
        if (!path.empty()) {
            std::filesystem::create_directories(path);
            return;
        }
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("no folder can be made at " + pattern);
        path = pattern, ours = true;
    }
    ~Folder() {
        if (ours)
            std::filesystem::remove_all(path);
    }
};

void local(std::uint64_t nodes, std::uint64_t edges, const std::string &dir, std::uint16_t port,
           bool planner) {
    Folder folder(dir);
    // Blocked in all threads that come; taken here in turn.
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGINT);
    sigaddset(&ends, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    fleet::Fleet fleet(
        folder.path, nodes, edges, port, fleet::default_scheduling(), fleet::default_service(),
        [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); }, planner);
    fleet.start();
    if (planner)
        std::printf("planner %s\n", fleet.planner_address().c_str());
    for (std::size_t e = 0; e < fleet.edges(); ++e)
        for (auto volume : {"members", "reports"})
            std::printf("nbd://%s/%s\n", fleet.edge_address(e).c_str(), volume);
    std::fflush(stdout);
    int signal = 0;
    sigwait(&ends, &signal);
    log::write(log::info, "stopping", {{"signal", std::to_string(signal)}});
}

} // namespace

void add_local(CLI::App &app, int &code) {
    struct Options {
        std::uint64_t nodes = 3, edges = 1;
        std::string dir;
        std::uint16_t port = 0;
        bool planner = false;
    };
    auto o = std::make_shared<Options>();
    auto *cmd =
        app.add_subcommand("local", "run a whole gateway on loopback with embedded defaults");
    cmd->add_option("--nodes", o->nodes, "stand-in storage nodes, a shard each")
        ->check(CLI::Range(1, 64));
    cmd->add_option("--edges", o->edges,
                    "edges; with more than one a volume's flush covers its own edge only")
        ->check(CLI::Range(1, 64));
    cmd->add_option("--dir", o->dir,
                    "folder for the stores; kept. Without it a new one is used and removed");
    cmd->add_option("--port", o->port, "the first edge's port, the next ones above; 0: free ones");
    cmd->add_flag("--planner", o->planner,
                  "with a planner, a process of its own; see `knotvane status`");
    cmd->footer("Prints a line nbd://ADDRESS:PORT/VOLUME for each edge and volume once it serves.\n"
                "Example: knotvane local --nodes 4 --dir /tmp/kv\n"
                "         nbdcopy FILE nbd://127.0.0.1:PORT/members");
    cmd->callback([o, &code] {
        local(o->nodes, o->edges, o->dir, o->port, o->planner);
        code = 0;
    });
}

void add_check(CLI::App &app, int &code) {
    auto files = std::make_shared<std::vector<std::string>>();
    auto *cmd = app.add_subcommand(
        "check",
        "check settings files: an edge's, a node's, a planner's, a fleet's or a list of nodes");
    cmd->add_option("FILE", *files, "settings files")->required();
    cmd->footer("Every fault of every file is printed, one line each with file, line and what was "
                "expected.\n"
                "Example: knotvane check edge.ini nodes.ini");
    cmd->callback([files, &code] {
        code = 0;
        for (auto &path : *files) {
            std::string fault;
            auto text = settings::File::read_text(path, fault);
            std::vector<std::string> faults;
            if (!fault.empty()) {
                faults.push_back(fault);
            } else if (text.find("[list]") != std::string::npos) {
                edge::parse_endpoint_list(path, text, faults);
            } else if (text.find("[fleet]") != std::string::npos) {
                planner::read_fleet(path, text, faults);
            } else {
                settings::File file(path, text);
                if (text.find("[planner]") != std::string::npos)
                    planner::read_planner_settings(file);
                else if (text.find("[node]") != std::string::npos)
                    node::check(file);
                else
                    edge::check(file);
                faults = file.faults();
            }
            for (auto &f : faults)
                std::fprintf(stderr, "%s\n", f.c_str());
            if (!faults.empty())
                code = 2;
            std::printf("%s: %s\n", path.c_str(),
                        faults.empty() ? "good"
                                       : (std::to_string(faults.size()) + " faults").c_str());
        }
    });
}

} // namespace knotvane::cli
