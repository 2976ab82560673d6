/// \file
/// The error thrown for invalid input of the control protocol.
#pragma once

#include <stdexcept>

namespace knotvane::control {

/// Thrown for bytes that are not a message of this protocol, and for messages with invalid fields.
/// what() is one line that says what was found and what was expected. The connection that delivered
/// the bytes can't be read any further.
class ProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace knotvane::control
