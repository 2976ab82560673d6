/// \file
/// Encodes control messages for the wire (docs/planner-protocol.md).
#pragma once

#include <string>

#include "control/messages.hpp"

namespace knotvane::control {

/// Returns a message's bytes on the wire: length, checksum, msgpack array. Defined for every
/// message in control/messages.hpp.
template <class Message>
std::string encode(const Message &message);

} // namespace knotvane::control
