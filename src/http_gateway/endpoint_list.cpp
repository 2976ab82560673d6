#include "http_gateway/endpoint_list.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace knotvane::http_gateway {
namespace {

using nlohmann::json;

// Milliseconds; a later start doesn't fit a Time.
constexpr double max_started_at_ms = 9e12;

/// Returns a field that is text; empty if it isn't there or is something else.
std::string text_of(const json &object, const char *name) {
    if (!object.is_object())
        return {};
    auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<NodeState> to_node_state(const std::string &lifecycle) {
    if (lifecycle == "active")
        return NodeState::ready;
    if (lifecycle == "leaving")
        return NodeState::draining;
    if (lifecycle == "left")
        return NodeState::removed;
    return std::nullopt;
}

std::variant<ListedInstance, EndpointListError>
parse_instance(const json &entry, const std::string &path, const ZoneNames &zones) {
    ListedInstance instance;
    instance.id = text_of(entry, "instanceId");
    if (instance.id.empty())
        return EndpointListError{path + "instanceId: not a name"};

    auto state = to_node_state(text_of(entry, "lifecycle"));
    if (!state)
        return EndpointListError{path + "lifecycle: not active, leaving or left"};
    instance.state = *state;

    instance.address = text_of(entry, "hostPort");
    if (instance.address.empty() && instance.state != NodeState::removed)
        return EndpointListError{path + "hostPort: not an address"};

    if (auto cell = entry.find("cell"); cell != entry.end() && cell->is_number_integer())
        instance.shard = ShardId{cell->get<std::int32_t>()};
    else if (instance.state != NodeState::removed)
        return EndpointListError{path + "cell: not a number"};

    if (auto zone = zones.find(text_of(entry, "zone")); zone != zones.end())
        instance.zone = zone->second;
    if (auto started = entry.find("startedAtMs"); started != entry.end() && started->is_number())
        instance.started_at =
            static_cast<Time>(std::clamp(started->get<double>(), 0.0, max_started_at_ms)) * ms;
    return instance;
}

} // namespace

std::variant<EndpointList, EndpointListError> parse_endpoint_list(std::string_view text,
                                                                  const ZoneNames &zones) {
    auto document = json::parse(text, nullptr, false);
    if (document.is_discarded() || !document.is_object())
        return EndpointListError{"not a JSON object"};
    if (!document.contains("generation") || !document["generation"].is_number_unsigned())
        return EndpointListError{"generation: not a count"};
    if (!document.contains("reset") || !document["reset"].is_boolean())
        return EndpointListError{"reset: not true or false"};
    if (!document.contains("instances") || !document["instances"].is_array())
        return EndpointListError{"instances: not a list"};

    EndpointList list;
    list.generation = document["generation"].get<std::uint64_t>();
    list.kind = document["reset"].get<bool>() ? EndpointListKind::full : EndpointListKind::delta;
    for (const auto &entry : document["instances"]) {
        std::string path = "instances." + std::to_string(list.instances.size()) + ".";
        auto instance = parse_instance(entry, path, zones);
        if (auto *error = std::get_if<EndpointListError>(&instance))
            return std::move(*error);
        list.instances.push_back(std::get<ListedInstance>(std::move(instance)));
    }
    return list;
}

} // namespace knotvane::http_gateway
