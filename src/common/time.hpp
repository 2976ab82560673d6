// Points and spans of time, both whole nanoseconds.
#pragma once

#include <cstdint>

namespace knotvane {

using Time = std::int64_t;

inline constexpr Time us = 1'000;
inline constexpr Time ms = 1'000 * us;
inline constexpr Time sec = 1'000 * ms;

inline constexpr double seconds(Time t) {
    return static_cast<double>(t) / static_cast<double>(sec);
}

} // namespace knotvane
