/// \file
/// Special values of times and durations.
#pragma once

#include <limits>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// The time of an event that isn't scheduled: later than any time that occurs.
inline constexpr Time never = std::numeric_limits<Time>::max();

/// A duration without a limit: longer than any request waits. Adding it to a time doesn't overflow.
inline constexpr Time unlimited_wait = never / 2;

} // namespace knotvane::scheduling
