/// \file
/// A request as it goes out to nodes.
#pragma once

#include <string>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// What is asked of a node; the same for each attempt of a client's request.
struct OutboundRequest {
    std::string method;
    std::string target;
    std::string trace_id;
    /// Empty for none.
    std::string idempotency_key;
    std::string body;
};

/// Returns an attempt's HTTP message.
/// @param remaining time until the attempt's timeout, which the node is told.
std::string encode(const OutboundRequest &request, Time remaining);

} // namespace knotvane::http_gateway
