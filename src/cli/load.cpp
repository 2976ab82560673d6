#include "cli/commands.hpp"
namespace knotvane::cli {
void add_load(CLI::App &, int &) {}
}
