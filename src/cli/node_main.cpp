// knotvane-node: simulates the performance of a storage node on a real store.
#include "cli/run_program.hpp"
#include "node/server.hpp"

int main(int argc, char **argv) {
    using namespace knotvane;
    return cli::run_program(
        argc, argv, "knotvane-node: a storage node for tests, with simulated performance",
        [](settings::File &file) { node::check(file); },
        [](loop::Loop &loop, settings::File &file) -> std::shared_ptr<void> {
            auto server = std::make_shared<node::Server>(loop, file);
            log::write(log::info, "storage node is listening for edges",
                       {{"address", server->address()}});
            return server;
        });
}
