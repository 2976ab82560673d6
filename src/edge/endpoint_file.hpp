/// \file
/// The endpoint list as a file: taken whole or not at all.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/events.hpp"

namespace knotvane::edge {

struct EndpointEntry {
    /// Its started_at counts from the Unix epoch.
    Endpoint endpoint;
    std::string address;
};

struct EndpointList {
    /// Goes up with each change; 0 for no list.
    std::uint64_t version = 0;
    std::vector<EndpointEntry> entries;
};

/// @param name what faults call the file.
/// @param faults gets what is wrong, one line each.
/// @return the list, or an empty one with any fault: a file that is cut short, counts wrong or
/// contradicts itself is none.
EndpointList parse_endpoint_list(const std::string &name, const std::string &text,
                                 std::vector<std::string> &faults);

/// The text that parse_endpoint_list reads.
std::string format_endpoint_list(const EndpointList &list);

} // namespace knotvane::edge
