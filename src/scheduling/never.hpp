/// \file
/// The time of what isn't due.
#pragma once

#include <limits>

#include "common/time.hpp"

namespace knotvane::scheduling {

/// Later than any time that comes.
inline constexpr Time never = std::numeric_limits<Time>::max();

/// Longer than any request waits, with room to add a time to it.
inline constexpr Time unlimited_wait = never / 2;

} // namespace knotvane::scheduling
