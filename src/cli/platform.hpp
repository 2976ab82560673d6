/// \file
/// The edge program as an HTTP gateway on the platform's protocol.
#pragma once

namespace knotvane::cli {

/// Runs until a signal stops it.
/// @return the exit code: 0 stopped, 1 it could not run, 2 usage or configuration.
int run_platform(int argc, char **argv);

} // namespace knotvane::cli
