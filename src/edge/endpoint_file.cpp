#include "edge/endpoint_file.hpp"

#include <limits>
#include <map>
#include <sstream>

#include "settings/ini.hpp"

namespace knotvane::edge {

EndpointList parse_endpoint_list(const std::string &name, const std::string &text,
                                 std::vector<std::string> &faults) {
    settings::File file(name, text);
    EndpointList list;
    auto &head = file.one("list", true);
    list.version = head.count("version", 1, std::numeric_limits<std::int64_t>::max());
    auto count = head.count("nodes", 0, 100000);
    // Written last: guards against a file that is cut at the end of a line, where all before it
    // looks whole.
    auto &tail = file.one("end", true);
    if (tail.count("version", 1, std::numeric_limits<std::int64_t>::max()) != list.version)
        tail.fault("version", "expected that of [list]: " + std::to_string(list.version));
    std::map<std::string, int> addresses;
    for (auto *s : file.all("node")) {
        EndpointEntry n;
        n.id = NodeId{0};
        std::istringstream id(s->name());
        if (!(id >> n.id.value) || !id.eof() || n.id.value == 0 || s->name()[0] == '-')
            s->fault("", "expected a section like [node 7]: ids are whole numbers from 1");
        n.address = s->text("address");
        n.shard = ShardId{static_cast<std::int32_t>(s->count("shard", 0, 65535))};
        n.zone = ZoneId{static_cast<std::uint32_t>(s->count("zone", 0, 255, 0))};
        n.state = static_cast<NodeState>(s->choice("state", {"draining", "gone", "ready"}, 2));
        n.started =
            static_cast<Time>(s->count("started", 0, std::numeric_limits<std::int64_t>::max(), 0));
        if (n.state != NodeState::removed)
            if (auto [it, is_new] = addresses.try_emplace(n.address, s->line()); !is_new)
                s->fault("address",
                         "the node in line " + std::to_string(it->second) + " has it, too");
        list.nodes.push_back(std::move(n));
    }
    if (list.nodes.size() != count)
        head.fault("nodes", "the file lists " + std::to_string(list.nodes.size()) + " nodes");
    for (auto &f : file.faults())
        faults.push_back(f);
    if (!faults.empty())
        return {};
    return list;
}

std::string format_endpoint_list(const EndpointList &list) {
    std::ostringstream out;
    out << "[list]\nversion = " << list.version << "\nnodes = " << list.nodes.size() << "\n";
    static constexpr const char *states[] = {"draining", "gone", "ready"};
    for (auto &n : list.nodes)
        out << "\n[node " << n.id.value << "]\naddress = " << n.address
            << "\nshard = " << n.shard.value << "\nzone = " << n.zone.value
            << "\nstate = " << states[static_cast<int>(n.state)] << "\nstarted = " << n.started
            << "\n";
    out << "\n[end]\nversion = " << list.version << "\n";
    return out.str();
}

} // namespace knotvane::edge
