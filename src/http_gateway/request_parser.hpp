/// \file
/// Parses clients' requests in the platform's protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>
#include <vector>

#include "common/time.hpp"
#include "http/decoder.hpp"
#include "http_gateway/outbound_request.hpp"
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

/// Turns complete HTTP messages into requests. Remembers the last trace ids and refuses a request
/// with one of them.
class RequestParser {
public:
    /// @param workloads, plans the names, in the order of their ids.
    RequestParser(const std::vector<std::string> &workloads, const std::vector<std::string> &plans);

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

    /// Returns false if the trace id was used by an earlier request.
    bool remember_trace_id(std::string_view trace_id);

    std::map<std::string, WorkloadId, std::less<>> workloads_;
    std::map<std::string, PlanId, std::less<>> plans_;
    /// Hashes of the last trace ids that were accepted: as a set, and from oldest to newest.
    std::unordered_set<std::uint64_t> trace_ids_;
    std::deque<std::uint64_t> trace_ids_in_order_;
};

} // namespace knotvane::http_gateway
