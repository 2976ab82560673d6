// knotvane-planner: decides which nodes are members or draining, and which share of each limit an
// edge has.
#include "cli/run_program.hpp"
#include "planner/desired_state_files.hpp"
#include "planner/server.hpp"

namespace {

using namespace knotvane;

// How often a standby tries to open the store.
constexpr Time standby_retry_interval = 200 * ms;

// Runs the planner; as a standby, first waits until no other planner has the store open.
struct PlannerRunner {
    loop::Loop &loop;
    settings::File &file;
    planner::Server::StoreMode store_mode;
    bool standby, is_waiting = false;
    int exit_code = 0;
    std::unique_ptr<planner::Server> server;

    PlannerRunner(loop::Loop &event_loop, settings::File &settings_file,
                  planner::Server::StoreMode planner_store_mode, bool is_standby)
        : loop(event_loop), file(settings_file), store_mode(planner_store_mode),
          standby(is_standby) {}
    void begin() {
        try {
            server = std::make_unique<planner::Server>(loop, file, store_mode);
            server->on_retired = [this] {
                exit_code = 3;
                loop.stop();
            };
            return;
        } catch (const planner::StateStoreInUse &) {
            if (!standby)
                throw;
        }
        if (!std::exchange(is_waiting, true))
            log::write(log::info,
                       "standby: another planner has the store open; waiting until it is free", {});
        loop.set_before_wait_callback([this, due = loop::now() + standby_retry_interval] {
            // The retry is posted to the loop: a new server sets its own before-wait callback,
            // which must not replace this one while it runs.
            if (loop::now() < due)
                return due;
            loop.post([this] { retry(); });
            return due + standby_retry_interval;
        });
    }
    void retry() {
        if (server)
            return;
        try {
            begin();
        } catch (const std::exception &e) {
            std::fprintf(stderr, "%s\n", e.what());
            exit_code = 1;
            loop.stop();
        }
    }
};

} // namespace

int main(int argc, char **argv) {
    bool first = false, rebuild = false, standby = false;
    int code = 0;
    int ran = cli::run_program(
        argc, argv,
        "knotvane-planner: manages members, drains and the edges' shares of limits.\n"
        "Exit codes: 0 stopped, 1 failed to run, 2 usage or settings, 3 another planner is "
        "active",
        [](settings::File &f) { planner::read_planner_settings(f); },
        [&](loop::Loop &loop, settings::File &f) -> std::shared_ptr<void> {
            using StoreMode = planner::Server::StoreMode;
            auto store_mode = rebuild ? StoreMode::rebuild
                              : first ? StoreMode::create
                                      : StoreMode::existing;
            // The exit code is read after the loop has destroyed the runner.
            auto part = std::shared_ptr<PlannerRunner>(
                new PlannerRunner(loop, f, store_mode, standby), [&code](PlannerRunner *p) {
                    code = p->exit_code;
                    delete p;
                });
            part->begin();
            return part;
        },
        [&](CLI::App &app) {
            auto *fresh = app.add_flag("--new", first,
                                       "create the store: no planner ever ran for this fleet");
            app.add_flag("--rebuild", rebuild,
                         "rename the store and create a new one from settings and edges; shares of "
                         "limits are withheld until those granted from the old store have expired")
                ->excludes(fresh);
            app.add_flag("--standby", standby,
                         "wait while another planner has the store open, then take over");
        });
    return ran != 0 ? ran : code;
}
