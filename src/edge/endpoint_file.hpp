// The list of nodes from a file: whole or not at all.
#pragma once

#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"

namespace knotvane::edge {

struct EndpointEntry {
    NodeId id;
    std::string address;
    ShardId shard;
    ZoneId zone;
    NodeState state;
    Time started; // epoch nanoseconds
};

struct EndpointList {
    std::uint64_t version = 0;
    std::vector<EndpointEntry> nodes;
};

// Reads a list from text; `name` is what faults call it. With any fault the list is empty: a file
// that is cut short, counts wrong or contradicts itself is none.
EndpointList parse_endpoint_list(const std::string &name, const std::string &text,
                                 std::vector<std::string> &faults);
// The text that read_nodes reads.
std::string format_endpoint_list(const EndpointList &list);

} // namespace knotvane::edge
