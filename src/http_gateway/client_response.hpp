/// \file
/// Responses to clients as HTTP messages.
#pragma once

#include <string>

namespace knotvane::http_gateway {

/// A response to a client.
struct ClientResponse {
    unsigned status = 200;
    /// Header lines, each with its line end.
    std::string headers;
    std::string body;
    /// Whether it is the connection's last one.
    bool closes_connection = false;
};

/// Returns the response's HTTP message.
std::string encode(const ClientResponse &response);

} // namespace knotvane::http_gateway
