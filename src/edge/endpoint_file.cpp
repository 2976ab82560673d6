#include "edge/endpoint_file.hpp"

#include <array>
#include <cstddef>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "settings/ini.hpp"

namespace knotvane::edge {
namespace {

constexpr std::uint64_t max_version = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_nodes = 100000;
constexpr std::uint64_t max_shard = 65535;
constexpr std::uint64_t max_zone = 255;

/// In the order of NodeState.
constexpr std::array<const char *, 3> state_names{"draining", "gone", "ready"};

NodeId read_node_id(settings::Section &section) {
    NodeId id;
    std::istringstream name(section.name());
    if (!(name >> id.value) || !name.eof() || id.value == 0 || section.name()[0] == '-')
        section.fault("", "expected a node id that is a whole number from 1, as in [node 7]");
    return id;
}

EndpointEntry read_entry(settings::Section &section) {
    EndpointEntry entry;
    auto &endpoint = entry.endpoint;
    endpoint.node = read_node_id(section);
    entry.address = section.text("address");
    endpoint.shard = ShardId{static_cast<std::int32_t>(section.count("shard", 0, max_shard))};
    endpoint.zone = ZoneId{static_cast<std::uint32_t>(section.count("zone", 0, max_zone, 0))};
    endpoint.state =
        static_cast<NodeState>(section.choice("state", {"draining", "gone", "ready"}, 2));
    endpoint.started_at =
        static_cast<Time>(section.count("started", 0, std::numeric_limits<std::int64_t>::max(), 0));
    return entry;
}

} // namespace

EndpointList parse_endpoint_list(const std::string &name, const std::string &text,
                                 std::vector<std::string> &faults) {
    settings::File file(name, text);
    EndpointList list;
    auto &head = file.one("list", true);
    list.version = head.count("version", 1, max_version);
    auto count = head.count("nodes", 0, max_nodes);
    // The section [end] is written last. Without it, a file truncated at the end of a line would
    // look complete.
    auto &tail = file.one("end", true);
    if (tail.count("version", 1, max_version) != list.version)
        tail.fault("version", "expected the version in [list], " + std::to_string(list.version));

    std::map<std::string, int> line_by_address;
    for (auto *section : file.all("node")) {
        auto entry = read_entry(*section);
        if (entry.endpoint.state != NodeState::removed)
            if (auto [it, is_new] = line_by_address.try_emplace(entry.address, section->line());
                !is_new)
                section->fault("address",
                               "expected a different address for each node; the node in line " +
                                   std::to_string(it->second) + " has the same one");
        list.entries.push_back(std::move(entry));
    }
    if (list.entries.size() != count)
        head.fault("nodes",
                   "the file has " + std::to_string(list.entries.size()) + " [node ID] sections");

    for (auto &fault : file.faults())
        faults.push_back(fault);
    if (!faults.empty())
        return {};
    return list;
}

std::string format_endpoint_list(const EndpointList &list) {
    std::ostringstream out;
    out << "[list]\nversion = " << list.version << "\nnodes = " << list.entries.size() << "\n";
    for (const auto &[endpoint, address] : list.entries)
        out << "\n[node " << endpoint.node.value << "]\naddress = " << address
            << "\nshard = " << endpoint.shard.value << "\nzone = " << endpoint.zone.value
            << "\nstate = " << state_names[static_cast<std::size_t>(endpoint.state)]
            << "\nstarted = " << endpoint.started_at << "\n";
    out << "\n[end]\nversion = " << list.version << "\n";
    return out.str();
}

} // namespace knotvane::edge
