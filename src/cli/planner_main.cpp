// knotvane-planner: says who is in the fleet, what drains, and which part of each limit an edge
// has.
#include "cli/run_program.hpp"
#include "planner/desired_state_files.hpp"
#include "planner/server.hpp"

namespace {

using namespace knotvane;

// How often a standby looks whether the store is free.
constexpr Time look_every = 200 * ms;

// The planner, or its wait for the store that another one has.
struct Part {
    loop::Loop &loop;
    settings::File &file;
    planner::Server::From from;
    bool standby, waits = false;
    int code = 0;
    std::unique_ptr<planner::Server> server;

    Part(loop::Loop &l, settings::File &f, planner::Server::From from_what, bool s)
        : loop(l), file(f), from(from_what), standby(s) {}
    void begin() {
        try {
            server = std::make_unique<planner::Server>(loop, file, from);
            server->on_retired = [this] {
                code = 3;
                loop.stop();
            };
            return;
        } catch (const planner::StateStoreInUse &) {
            if (!standby)
                throw;
        }
        if (!std::exchange(waits, true))
            log::write(log::info, "standby: waits for the store", {});
        loop.set_before_wait_callback([this, due = loop::now() + look_every] {
            // Called from the loop later: a server sets an end of its own, which must not replace
            // this one while it runs.
            if (loop::now() < due)
                return due;
            loop.post([this] { again(); });
            return due + look_every;
        });
    }
    void again() {
        if (server)
            return;
        try {
            begin();
        } catch (const std::exception &e) {
            std::fprintf(stderr, "%s\n", e.what());
            code = 1;
            loop.stop();
        }
    }
};

} // namespace

int main(int argc, char **argv) {
    bool first = false, rebuild = false, standby = false;
    int code = 0;
    int ran = cli::run_part(
        argc, argv,
        "knotvane-planner: members, drains and parts of limits for the edges.\n"
        "Exit codes: 0 stopped, 1 it could not run, 2 usage or settings, 3 another planner is "
        "followed",
        [](settings::File &f) { planner::read_planner_settings(f); },
        [&](loop::Loop &loop, settings::File &f) -> std::shared_ptr<void> {
            using From = planner::Server::From;
            auto from = rebuild ? From::rebuild : first ? From::first : From::store;
            // The code outlives the part, which goes with its loop.
            auto part = std::shared_ptr<Part>(new Part(loop, f, from, standby), [&code](Part *p) {
                code = p->code;
                delete p;
            });
            part->begin();
            return part;
        },
        [&](CLI::App &app) {
            auto *fresh =
                app.add_flag("--new", first, "make the store: no planner ever ran for this fleet");
            app.add_flag("--rebuild", rebuild,
                         "put the store aside and make a new one from settings and edges; limits "
                         "are held back until "
                         "what the old one gave out has run out")
                ->excludes(fresh);
            app.add_flag("--standby", standby,
                         "wait while another planner has the store, then take over");
        });
    return ran != 0 ? ran : code;
}
