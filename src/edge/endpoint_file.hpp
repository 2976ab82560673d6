/// \file
/// Reads and writes the file of the endpoint list. A file is accepted as a whole or not at all.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/events.hpp"

namespace knotvane::edge {

struct EndpointEntry {
    /// `started_at` is in nanoseconds since the Unix epoch.
    Endpoint endpoint;
    std::string address;
};

struct EndpointList {
    /// Increases with each change; 0 if there is no list.
    std::uint64_t version = 0;
    std::vector<EndpointEntry> entries;
};

/// Parses the text of an endpoint list file.
/// @param name name of the file for error messages.
/// @param faults one line for each error is appended.
/// @return the list, or an empty one if there is any error, such as a truncated file, a wrong count
/// or contradicting entries.
EndpointList parse_endpoint_list(const std::string &name, const std::string &text,
                                 std::vector<std::string> &faults);

/// @return the list in the format that parse_endpoint_list reads.
std::string format_endpoint_list(const EndpointList &list);

} // namespace knotvane::edge
