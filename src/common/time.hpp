/// \file
/// Points and spans of time.
#pragma once

#include <cstdint>

namespace knotvane {

/// Nanoseconds: a span, or a point since the start of a clock that the context names.
using Time = std::int64_t;

inline constexpr Time us = 1'000;
inline constexpr Time ms = 1'000 * us;
inline constexpr Time sec = 1'000 * ms;

/// Returns a span in seconds.
inline constexpr double seconds(Time span) {
    return static_cast<double>(span) / static_cast<double>(sec);
}

} // namespace knotvane
