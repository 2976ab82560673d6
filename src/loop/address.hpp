/// \file
/// Parses the addresses of sockets.
#pragma once

#include <netinet/in.h>

#include <string>

namespace knotvane::loop {

/// Parses "ADDRESS:PORT", an IPv4 address and a port. Throws std::runtime_error, with what was
/// expected, if the text is anything else.
sockaddr_in parse_address(const std::string &address);

} // namespace knotvane::loop
