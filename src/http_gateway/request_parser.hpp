/// \file
/// Parses clients' requests in the platform's protocol.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/time.hpp"
#include "http/decoder.hpp"
#include "http_gateway/outbound_request.hpp"
#include "http_gateway/trace_id_history.hpp"
#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Why a message isn't a valid request.
struct RequestError {
    /// The HTTP status of the response.
    unsigned status;
    /// The text of the response's body.
    const char *reason;
};

/// The platform's request for whether this gateway is able to serve.
struct HealthCheck {};

/// A valid request that is to be sent to a node.
struct ClientRequest {
    /// Complete except for the id. client_timeout is relative to when the request was received.
    RequestInfo info;
    /// What the attempts send to nodes.
    std::shared_ptr<const OutboundRequest> outbound;
};

using ParsedRequest = std::variant<ClientRequest, HealthCheck, RequestError>;

/// Turns complete HTTP messages into requests. Refuses a request whose trace id was used before.
class RequestParser {
public:
    /// @param workloads, plans the names, in the order of their ids.
    /// @param trace_ids gets the ids of valid requests; must outlive the parser.
    RequestParser(const std::vector<std::string> &workloads, const std::vector<std::string> &plans,
                  TraceIdHistory &trace_ids);

    /// Parses a complete message. Moves the body out of it if it is a request.
    ParsedRequest parse(http::Decoder &message);

private:
    /// Each of these parses a part of the request into `info` and returns what is wrong with it, or
    /// nothing.
    std::optional<RequestError> read_target(const http::Decoder &message, RequestInfo &info);
    std::optional<RequestError> read_plan_and_timeout(const http::Decoder &message,
                                                      RequestInfo &info);
    std::optional<RequestError> read_keys(const http::Decoder &message, RequestInfo &info);
    std::optional<RequestError> read_extent(const http::Decoder &message, RequestInfo &info);

    std::map<std::string, WorkloadId, std::less<>> workloads_;
    std::map<std::string, PlanId, std::less<>> plans_;
    TraceIdHistory &trace_ids_;
};

} // namespace knotvane::http_gateway
