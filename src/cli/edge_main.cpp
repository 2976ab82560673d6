// knotvane-edge: speaks NBD to clients and schedules their requests over the nodes.
#include "cli/part.hpp"
#include "edge/server.hpp"
#include "edge/settings.hpp"

int main(int argc, char **argv) {
    using namespace knotvane;
    return cli::run_part(
        argc, argv, "knotvane-edge: NBD in, scheduled shots to storage nodes out",
        [](settings::File &f) { edge::check(f); },
        [](loop::Loop &loop, settings::File &f) -> std::shared_ptr<void> {
            auto e = std::make_shared<edge::Server>(
                loop, f, [](Actions &a, std::uint64_t seed) { return make_scheduler(a, seed); });
            log::line(log::info, "edge serves", {{"address", e->address()}});
            return e;
        });
}
