#include "http_gateway/request_parser.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace knotvane::http_gateway {
namespace {

constexpr std::size_t max_trace_id_bytes = 64;
constexpr std::size_t max_idempotency_key_bytes = 256;

// No client waits for longer than an hour; a higher value in a request is an error.
constexpr double max_client_timeout_seconds = 3600;

constexpr double max_units = 1e6;
constexpr double max_sharers = 1e6;
constexpr double max_shard = 1e6;

constexpr double nanoseconds_per_second = 1e9;

bool is_plain_id(std::string_view id, std::size_t max_bytes) {
    return !id.empty() && id.size() <= max_bytes &&
           std::all_of(id.begin(), id.end(), [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'z') ||
                      (character >= 'A' && character <= 'Z') || character == '-' ||
                      character == '_' || character == '.' || character == ':' ||
                      character == '+' || character == '/' || character == '=';
           });
}

/// Removes the text up to the next separator, and the separator, from `rest`. Returns the text
/// without blanks at its start and end.
std::string_view next_part(std::string_view &rest, char separator) {
    auto end = std::min(rest.find(separator), rest.size());
    auto part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    while (!part.empty() && part.front() == ' ')
        part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ')
        part.remove_suffix(1);
    return part;
}

bool is_whole(double value) {
    return value == static_cast<double>(static_cast<std::int64_t>(value));
}

/// The fields of the X-Extent header.
struct Extent {
    std::optional<std::uint64_t> volume;
    std::optional<double> units;
    std::optional<double> shard;
    std::optional<double> sharers;

    /// Whether all fields are present and within their limits.
    bool valid() const {
        return volume && units && shard && sharers && *units > 0 && *units <= max_units &&
               *sharers >= 1 && *sharers <= max_sharers && is_whole(*sharers) &&
               *shard >= no_shard.value && *shard <= max_shard && is_whole(*shard);
    }
};

Extent parse_extent(std::string_view text) {
    Extent extent;
    while (!text.empty()) {
        auto value = next_part(text, ',');
        auto name = next_part(value, '=');
        if (name == "volume")
            extent.volume = http::parse_hex64(value);
        if (name == "units")
            extent.units = http::parse_decimal(value);
        if (name == "shard")
            extent.shard = http::parse_decimal(value);
        if (name == "hosts")
            extent.sharers = http::parse_decimal(value);
    }
    return extent;
}

/// Returns the object id in a Cookie header, or nothing if there is none or it is invalid.
std::optional<std::uint64_t> parse_object_id(std::string_view cookie) {
    std::optional<std::uint64_t> object_id;
    while (!cookie.empty() && !object_id) {
        auto value = next_part(cookie, ';');
        if (next_part(value, '=') == "object")
            object_id = http::parse_hex64(value);
    }
    return object_id;
}

} // namespace

RequestParser::RequestParser(const std::vector<std::string> &workloads,
                             const std::vector<std::string> &plans, TraceIdHistory &trace_ids)
    : trace_ids_(trace_ids) {
    for (std::uint32_t i = 0; i < workloads.size(); ++i)
        workloads_[workloads[i]] = WorkloadId{i};
    for (std::uint32_t i = 0; i < plans.size(); ++i)
        plans_[plans[i]] = PlanId{i};
}

ParsedRequest RequestParser::parse(http::Decoder &message) {
    if (message.target() == "/healthz" && message.method() == "GET")
        return HealthCheck{};

    RequestInfo info;
    if (auto error = read_target(message, info))
        return *error;
    if (auto error = read_plan_and_timeout(message, info))
        return *error;
    if (auto error = read_keys(message, info))
        return *error;
    if (auto error = read_extent(message, info))
        return *error;
    // This check is the last one: the trace id of an invalid message must not be remembered, so
    // that the client can use it again.
    auto trace_id = message.header("X-Trace-Id").value_or("");
    if (!trace_ids_.add(trace_id))
        return RequestError{409, "X-Trace-Id: was used before"};

    info.repeated = message.header("X-Second-Try") == "1";
    OutboundRequest outbound;
    outbound.method = message.method();
    outbound.target = message.target();
    outbound.trace_id = trace_id;
    outbound.idempotency_key = message.header("Idempotency-Key").value_or("");
    outbound.body = message.take_body();
    return ClientRequest{info, std::make_shared<const OutboundRequest>(std::move(outbound))};
}

std::optional<RequestError> RequestParser::read_target(const http::Decoder &message,
                                                       RequestInfo &info) {
    bool is_read = message.method() == "GET";
    info.writes = message.method() == "PUT";
    if (!is_read && !info.writes)
        return RequestError{405, "neither GET nor PUT"};
    if (is_read && !message.body().empty())
        return RequestError{400, "a GET with a body"};

    std::string_view target = message.target();
    if (target.empty() || target[0] != '/')
        return RequestError{400, "the target is not a path"};
    auto path = target.substr(1);
    auto workload = workloads_.find(path.substr(0, path.find_first_of("/?#")));
    if (workload == workloads_.end())
        return RequestError{404, "the path names no class"};
    info.workload = workload->second;
    return std::nullopt;
}

std::optional<RequestError> RequestParser::read_plan_and_timeout(const http::Decoder &message,
                                                                 RequestInfo &info) {
    auto trace_id = message.header("X-Trace-Id");
    if (!trace_id || !is_plain_id(*trace_id, max_trace_id_bytes))
        return RequestError{400, "X-Trace-Id: expected one id"};

    auto plan = plans_.find(message.header("X-Storage-Class").value_or(""));
    if (plan == plans_.end())
        return RequestError{400, "X-Storage-Class: names no plan"};
    info.plan = plan->second;

    auto timeout = http::parse_decimal(message.header("X-Expires-In").value_or(""));
    if (!timeout || *timeout <= 0 || *timeout > max_client_timeout_seconds)
        return RequestError{400, "X-Expires-In: expected seconds"};
    info.client_timeout = static_cast<Time>(*timeout * nanoseconds_per_second);
    return std::nullopt;
}

std::optional<RequestError> RequestParser::read_keys(const http::Decoder &message,
                                                     RequestInfo &info) {
    std::string_view idempotency_key = message.header("Idempotency-Key").value_or("");
    bool plain = idempotency_key.empty() || is_plain_id(idempotency_key, max_idempotency_key_bytes);
    if (message.header_count("Idempotency-Key") > 1 || !plain)
        return RequestError{400, "Idempotency-Key: expected one key"};

    info.key = no_key;
    if (message.header_count("Cookie") == 0)
        return std::nullopt;
    auto object_id = parse_object_id(message.header("Cookie").value_or(""));
    if (!object_id)
        return RequestError{400, "Cookie: expected object as 16 hex digits"};
    info.key = KeyId{*object_id};
    return std::nullopt;
}

std::optional<RequestError> RequestParser::read_extent(const http::Decoder &message,
                                                       RequestInfo &info) {
    auto extent = parse_extent(message.header("X-Extent").value_or(""));
    if (!extent.valid())
        return RequestError{400, "X-Extent: expected volume, units, shard and hosts"};
    info.volume = VolumeId{*extent.volume};
    info.units = *extent.units;
    info.shard = ShardId{static_cast<std::int32_t>(*extent.shard)};
    info.sharers = *extent.sharers;
    return std::nullopt;
}

} // namespace knotvane::http_gateway
