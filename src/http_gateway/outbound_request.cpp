#include "http_gateway/outbound_request.hpp"

#include <algorithm>
#include <cstdio>

namespace knotvane::http_gateway {

std::string encode(const OutboundRequest &request, Time remaining) {
    char expires_in[32];
    std::snprintf(expires_in, sizeof expires_in, "%.6f", seconds(std::max<Time>(remaining, 0)));
    std::string message = request.method + " " + request.target +
                          " HTTP/1.1\r\nHost: node\r\nX-Trace-Id: " + request.trace_id +
                          "\r\nX-Expires-In: " + expires_in + "\r\n";
    if (!request.idempotency_key.empty())
        message += "Idempotency-Key: " + request.idempotency_key + "\r\n";
    if (request.method != "GET")
        message += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    message += "\r\n";
    message += request.body;
    return message;
}

} // namespace knotvane::http_gateway
