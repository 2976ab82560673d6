/// \file
/// The edge program in its HTTP gateway mode, which serves the platform's protocol.
#pragma once

namespace knotvane::cli {

/// Runs an HTTP gateway until a signal stops it.
/// @return the exit code: 0 after a graceful shutdown, 1 if the gateway could not run, 2 if the
/// command line or the configuration is invalid.
int run_platform(int argc, char **argv);

} // namespace knotvane::cli
