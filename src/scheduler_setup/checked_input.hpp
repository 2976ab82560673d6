/// \file
/// What checks of input from outside the process share.
#pragma once

#include <stdexcept>
#include <string>

#include "common/time.hpp"

namespace knotvane::scheduler_setup {

/// Input that its format doesn't allow. The message names the field and what is wrong with it.
struct MalformedInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Converts seconds to nanoseconds, rounded to the whole microseconds that the simulator counts in.
/// @param name of the field, for the error's message.
/// @throws MalformedInput if `seconds` isn't finite or is more than 9e9 from zero.
Time time_from_seconds(double seconds, const std::string &name);

} // namespace knotvane::scheduler_setup
