/// \file
/// The source of a scheduler's random choices.
#pragma once

#include <random>

namespace knotvane::scheduling {

/// Each scheduler has one, seeded by its owner: the same events lead to the same choices.
using RandomGenerator = std::ranlux24_base;

} // namespace knotvane::scheduling
