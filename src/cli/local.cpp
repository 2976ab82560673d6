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

// The folder of the stores: the given one, or else a new temporary one, which is removed with this
// object.
struct StoreFolder {
    std::string path;
    bool is_temporary = false;
    explicit StoreFolder(const std::string &given) : path(given) {
        if (!path.empty()) {
            std::filesystem::create_directories(path);
            return;
        }
        auto pattern = (std::filesystem::temp_directory_path() / "knotvane-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("can't create a temporary folder at " + pattern);
        path = pattern, is_temporary = true;
    }
    ~StoreFolder() {
        if (is_temporary)
            std::filesystem::remove_all(path);
    }
};

void run_local(std::uint64_t nodes, std::uint64_t edges, const std::string &dir, std::uint16_t port,
               bool planner) {
    StoreFolder folder(dir);
    // The signals are blocked in this thread and in all threads that it starts, so that only the
    // sigwait below receives them.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    fleet::Fleet fleet(
        folder.path, nodes, edges, port, fleet::default_scheduling(), fleet::default_service(),
        [](SchedulerActions &actions, std::uint64_t seed) { return make_scheduler(actions, seed); },
        planner);
    fleet.start();
    if (planner)
        std::printf("planner %s\n", fleet.planner_address().c_str());
    for (std::size_t edge = 0; edge < fleet.edges(); ++edge)
        for (auto volume : {"members", "reports"})
            std::printf("nbd://%s/%s\n", fleet.edge_address(edge).c_str(), volume);
    std::fflush(stdout);
    int signal = 0;
    sigwait(&stop_signals, &signal);
    log::write(log::info, "stopping", {{"signal", std::to_string(signal)}});
}

} // namespace

void add_local(CLI::App &app, int &exit_code) {
    struct Options {
        std::uint64_t nodes = 3, edges = 1;
        std::string dir;
        std::uint16_t port = 0;
        bool planner = false;
    };
    auto options = std::make_shared<Options>();
    auto *command =
        app.add_subcommand("local", "run a whole gateway on loopback with built-in settings");
    command
        ->add_option("--nodes", options->nodes,
                     "simulated storage nodes; each is a shard of its own")
        ->check(CLI::Range(1, 64));
    command
        ->add_option(
            "--edges", options->edges,
            "edges; with more than one, a volume's flush covers only writes through the same edge")
        ->check(CLI::Range(1, 64));
    command->add_option(
        "--dir", options->dir,
        "folder for the stores, which is kept; default: a temporary folder, removed at the end");
    command->add_option(
        "--port", options->port,
        "port of the first edge; the others use the following ports; 0: any free ports");
    command->add_flag("--planner", options->planner,
                      "also run a planner, as a process of its own; see `knotvane status`");
    command->footer(
        "Prints a line nbd://ADDRESS:PORT/VOLUME for each edge and volume once they are ready.\n"
        "Example: knotvane local --nodes 4 --dir /tmp/kv\n"
        "         nbdcopy FILE nbd://127.0.0.1:PORT/members");
    command->callback([options, &exit_code] {
        run_local(options->nodes, options->edges, options->dir, options->port, options->planner);
        exit_code = 0;
    });
}

void add_check(CLI::App &app, int &exit_code) {
    auto files = std::make_shared<std::vector<std::string>>();
    auto *command = app.add_subcommand(
        "check",
        "check settings files: an edge's, a node's, a planner's, a fleet's or a list of nodes");
    command->add_option("FILE", *files, "settings files")->required();
    command->footer(
        "Prints each error of each file on a line, with the file, the line and what was expected.\n"
        "Example: knotvane check edge.ini nodes.ini");
    command->callback([files, &exit_code] {
        exit_code = 0;
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
            for (auto &message : faults)
                std::fprintf(stderr, "%s\n", message.c_str());
            if (!faults.empty())
                exit_code = 2;
            std::printf("%s: %s\n", path.c_str(),
                        faults.empty() ? "good"
                                       : (std::to_string(faults.size()) + " faults").c_str());
        }
    });
}

} // namespace knotvane::cli
