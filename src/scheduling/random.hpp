/// \file
/// The random number generator of a scheduler.
#pragma once

#include <random>

namespace knotvane::scheduling {

/// Each scheduler has its own, seeded by its owner, so that the same seed and the same events lead
/// to the same decisions.
using RandomGenerator = std::ranlux24_base;

} // namespace knotvane::scheduling
