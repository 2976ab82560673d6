#include "scheduler_setup/input_validation.hpp"

#include <cmath>

namespace knotvane::scheduler_setup {
namespace {

// The nanoseconds of a longer time don't fit into a Time.
constexpr double max_seconds = 9e9;
constexpr double microseconds_per_second = 1e6;

} // namespace

Time time_from_seconds(double seconds, const std::string &name) {
    if (!std::isfinite(seconds) || std::abs(seconds) > max_seconds)
        throw MalformedInput(name + ": expected a number of seconds from -9e9 to 9e9");
    return static_cast<Time>(std::llround(seconds * microseconds_per_second)) * us;
}

} // namespace knotvane::scheduler_setup
