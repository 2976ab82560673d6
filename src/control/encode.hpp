/// \file
/// The wire bytes of control messages (docs/planner-protocol.md).
#pragma once

#include <string>

#include "control/messages.hpp"

namespace knotvane::control {

/// One message as it goes on the wire: length, checksum, msgpack array. Defined for every message
/// of control/messages.hpp.
template <class Message>
std::string encode(const Message &message);

} // namespace knotvane::control
