/// \file
/// Parts common to the commands that operate a planner: its default address, error handling and the
/// formatting of ages.
#pragma once

#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>

namespace knotvane::cli {

inline constexpr const char *default_planner_address = "127.0.0.1:10810";

/// Formats an age in milliseconds, for example "250ms", "30s" or "15min"; "-" if it is negative.
inline std::string format_age(std::int64_t age_ms) {
    if (age_ms < 0)
        return "-";
    if (age_ms < 10'000)
        return std::to_string(age_ms) + "ms";
    if (age_ms < 600'000)
        return std::to_string(age_ms / 1000) + "s";
    return std::to_string(age_ms / 60'000) + "min";
}

/// Runs a command and prints the message of an exception, such as that of a planner that does not
/// answer.
/// @return the exit code of the command, or 1 (failed, not a usage error) after an exception.
inline int run_reporting_errors(const std::function<int()> &command) {
    try {
        return command();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}

} // namespace knotvane::cli
