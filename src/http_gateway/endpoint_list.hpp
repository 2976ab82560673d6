/// \file
/// The endpoint list as discovery sends it.
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

/// A node in a list of discovery's.
struct ListedInstance {
    /// Discovery's name of it.
    std::string id;
    /// Empty if it is removed.
    std::string address;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    /// By the wall clock; 0 for long ago.
    Time started_at = 0;
};

struct EndpointList {
    /// Grows with each change.
    std::uint64_t generation = 0;
    EndpointListKind kind = EndpointListKind::full;
    std::vector<ListedInstance> instances;
};

/// Why a text isn't an endpoint list: the field and what is wrong with it.
struct EndpointListError {
    std::string text;
};

/// Zones by name.
using ZoneNames = std::map<std::string, ZoneId, std::less<>>;

/// Reads a list (JSON). A zone without an id reads as zone 0.
std::variant<EndpointList, EndpointListError> parse_endpoint_list(std::string_view text,
                                                                  const ZoneNames &zones);

} // namespace knotvane::http_gateway
