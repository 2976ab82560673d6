/// \file
/// The endpoint list in the JSON format of the discovery service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"
#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// An entry of an endpoint list: the instance of a node.
struct ListedInstance {
    /// The instance's id at discovery.
    std::string id;
    /// "host:port"; may be empty if the instance was removed.
    std::string address;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    /// When the node's process started, in nanoseconds since the epoch; 0 if not given.
    Time started_at = 0;
};

/// A parsed endpoint list.
struct EndpointList {
    /// Increases with each change of the list.
    std::uint64_t generation = 0;
    EndpointListKind kind = EndpointListKind::full;
    std::vector<ListedInstance> instances;
};

/// Why a text is not a valid endpoint list: the path of the field and what was expected.
struct EndpointListError {
    std::string text;
};

/// Zone ids by name.
using ZoneNames = std::map<std::string, ZoneId, std::less<>>;

/// Parses a list from JSON text. An instance without a zone, or with one that `zones` doesn't name,
/// is in zone 0.
std::variant<EndpointList, EndpointListError> parse_endpoint_list(std::string_view text,
                                                                  const ZoneNames &zones);

} // namespace knotvane::http_gateway
