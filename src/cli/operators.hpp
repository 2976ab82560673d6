// What the commands for operators have in common: where the planner is, how an answer is waited for
// and shown.
#pragma once

#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>

namespace knotvane::cli {

inline constexpr const char *default_planner = "127.0.0.1:10810";

inline std::string ago(std::int64_t ms_ago) {
    if (ms_ago < 0)
        return "-";
    if (ms_ago < 10'000)
        return std::to_string(ms_ago) + "ms";
    if (ms_ago < 600'000)
        return std::to_string(ms_ago / 1000) + "s";
    return std::to_string(ms_ago / 60'000) + "min";
}

// A planner that does not answer is a thing that fell short, not a wrong use.
inline int visit(const std::function<int()> &call) {
    try {
        return call();
    } catch (const std::exception &e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
}

} // namespace knotvane::cli
