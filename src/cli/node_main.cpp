// knotvane-node: a stand-in for a storage node.
#include "cli/run_program.hpp"
#include "node/server.hpp"

int main(int argc, char **argv) {
    using namespace knotvane;
    return cli::run_part(
        argc, argv, "knotvane-node: a stand-in storage node",
        [](settings::File &f) { node::check(f); },
        [](loop::Loop &loop, settings::File &f) -> std::shared_ptr<void> {
            auto n = std::make_shared<node::Server>(loop, f);
            log::write(log::info, "node serves", {{"address", n->address()}});
            return n;
        });
}
