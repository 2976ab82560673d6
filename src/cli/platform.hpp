// The edge program as a scheduler on the platform's protocol.
#pragma once

namespace knotvane::cli {

// Exit codes: 0 stopped, 1 it could not run, 2 usage or configuration.
int run_platform(int argc, char **argv);

} // namespace knotvane::cli
