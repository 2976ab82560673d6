// knotvane-edge: serves clients over NBD, or over the platform's HTTP protocol with --platform, and
// schedules their requests to the nodes.
#include <cstring>

#include "cli/platform.hpp"
#include "cli/run_program.hpp"
#include "edge/server.hpp"
#include "edge/settings.hpp"

int main(int argc, char **argv) {
    using namespace knotvane;
    for (int i = 1; i < argc; ++i)
        if (std::strcmp(argv[i], "--platform") == 0)
            return cli::run_platform(argc, argv);
    return cli::run_program(
        argc, argv,
        "knotvane-edge: serves NBD clients and schedules their requests to storage nodes",
        [](settings::File &file) { edge::check(file); },
        [](loop::Loop &loop, settings::File &file) -> std::shared_ptr<void> {
            auto server = std::make_shared<edge::Server>(
                loop, file, [](SchedulerActions &actions, std::uint64_t seed) {
                    return make_scheduler(actions, seed);
                });
            log::write(log::info, "edge is listening for clients",
                       {{"address", server->address()}});
            return server;
        });
}
