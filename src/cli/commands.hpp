// The sub-commands of knotvane; each sets the exit code when it has run.
#pragma once

namespace CLI {
class App;
}

namespace knotvane::cli {

void add_local(CLI::App &app, int &code);
void add_check(CLI::App &app, int &code);
void add_load(CLI::App &app, int &code);
void add_days(CLI::App &app, int &code);
void add_planner(CLI::App &app, int &code);
void add_snapshots(CLI::App &app, int &code);
void add_store(CLI::App &app, int &code);
void add_trace(CLI::App &app, int &code);

} // namespace knotvane::cli
