/// \file
/// Durations and points in time.
#pragma once

#include <cstdint>

namespace knotvane {

/// Nanoseconds: a duration, or a point in time since the epoch of a clock that the context names.
using Time = std::int64_t;

inline constexpr Time us = 1'000;
inline constexpr Time ms = 1'000 * us;
inline constexpr Time sec = 1'000 * ms;

/// @return the duration in seconds.
inline constexpr double seconds(Time duration) {
    return static_cast<double>(duration) / static_cast<double>(sec);
}

} // namespace knotvane
