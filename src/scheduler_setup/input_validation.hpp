/// \file
/// Error type and conversions for the validation of input from outside the process.
#pragma once

#include <stdexcept>
#include <string>

#include "common/time.hpp"

namespace knotvane::scheduler_setup {

/// Thrown for input that violates its format. The message names the field and what is wrong with
/// it.
struct MalformedInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Converts seconds to nanoseconds, rounded to whole microseconds, which is the resolution of the
/// simulator's clock.
/// @param name of the field, used in the error message.
/// @throws MalformedInput if `seconds` isn't finite or its absolute value is more than 9e9.
Time time_from_seconds(double seconds, const std::string &name);

} // namespace knotvane::scheduler_setup
