/// \file
/// A client's request in the form that is sent to nodes.
#pragma once

#include <string>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// The content of a request to a node; the same for all attempts of a client's request.
struct OutboundRequest {
    std::string method;
    std::string target;
    std::string trace_id;
    /// Empty if the request has none.
    std::string idempotency_key;
    std::string body;
};

/// Returns the HTTP message of an attempt.
/// @param remaining time until the attempt's timeout, sent to the node; a negative one is sent as
/// 0.
std::string encode(const OutboundRequest &request, Time remaining);

} // namespace knotvane::http_gateway
