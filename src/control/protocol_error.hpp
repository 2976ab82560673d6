/// \file
/// The error of everything that reads the control protocol.
#pragma once

#include <stdexcept>

namespace knotvane::control {

/// Bytes that are no message of this protocol, or a message whose fields contradict it. One line
/// says what was met and what was expected. The connection they came on can't be read any further.
class ProtocolError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace knotvane::control
