// knotvane-edge: speaks NBD to clients, or the platform's protocol, and schedules their requests
// over the nodes.
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
    return cli::run_part(
        argc, argv, "knotvane-edge: NBD in, scheduled shots to storage nodes out",
        [](settings::File &f) { edge::check(f); },
        [](loop::Loop &loop, settings::File &f) -> std::shared_ptr<void> {
            auto e = std::make_shared<edge::Server>(
                loop, f,
                [](SchedulerActions &a, std::uint64_t seed) { return make_scheduler(a, seed); });
            log::write(log::info, "edge serves", {{"address", e->address()}});
            return e;
        });
}
