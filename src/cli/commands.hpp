/// \file
/// The subcommands of knotvane. Each function adds one or more commands to the program; a command
/// that has run stores its exit code in `exit_code`, which must outlive the parsing of `app`.
#pragma once

namespace CLI {
class App;
}

namespace knotvane::cli {

/// `local`: runs a whole gateway on loopback.
void add_local(CLI::App &app, int &exit_code);
/// `check`: checks settings files.
void add_check(CLI::App &app, int &exit_code);
/// `load`: generates load on volumes over NBD.
void add_load(CLI::App &app, int &exit_code);
/// `day`, `outage` and `rules`: run scripted days and check the rules from recordings.
void add_days(CLI::App &app, int &exit_code);
/// `status`, `drain` and `undrain`: show and change the state of a planner.
void add_planner(CLI::App &app, int &exit_code);
/// `snapshot` and `clone`: manage snapshots and clones of volumes.
void add_snapshots(CLI::App &app, int &exit_code);
/// `store`: checks a node's store offline.
void add_store(CLI::App &app, int &exit_code);
/// `trace`: summarizes an HTTP gateway's trace.
void add_trace(CLI::App &app, int &exit_code);

} // namespace knotvane::cli
