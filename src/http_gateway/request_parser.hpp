/// \file
/// Reads a client's request by the platform's protocol.
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

/// Why a message isn't a request, and the HTTP status that tells its client so.
struct RequestError {
    unsigned status;
    const char *reason;
};

/// A question of the platform whether this gateway serves.
struct HealthCheck {};

/// A request for a node.
struct ClientRequest {
    /// All but its id. client_timeout is set as if the request was received at time 0.
    RequestInfo info;
    std::shared_ptr<const OutboundRequest> outbound;
};

using ParsedRequest = std::variant<ClientRequest, HealthCheck, RequestError>;

/// Turns whole HTTP messages into requests. Remembers trace ids, so that one is taken once.
class RequestParser {
public:
    /// Workloads and plans by name, in the order of their ids.
    RequestParser(const std::vector<std::string> &workloads, const std::vector<std::string> &plans);

    /// Reads a whole message; takes the body out of a request's.
    ParsedRequest parse(http::Decoder &message);

private:
    /// Read a part of the request each; return what is wrong with it, or nothing.
    std::optional<RequestError> read_target(const http::Decoder &message, RequestInfo &info);
    std::optional<RequestError> read_plan_and_timeout(const http::Decoder &message,
                                                      RequestInfo &info);
    std::optional<RequestError> read_keys(const http::Decoder &message, RequestInfo &info);
    std::optional<RequestError> read_extent(const http::Decoder &message, RequestInfo &info);

    /// Returns false if the trace id was taken before.
    bool remember_trace_id(std::string_view trace_id);

    std::map<std::string, WorkloadId, std::less<>> workloads_;
    std::map<std::string, PlanId, std::less<>> plans_;
    /// Hashes of the trace ids taken last, also in their order.
    std::unordered_set<std::uint64_t> trace_ids_;
    std::deque<std::uint64_t> trace_ids_in_order_;
};

} // namespace knotvane::http_gateway
