#include "http_gateway/endpoint_list.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace knotvane::http_gateway {
namespace {

using nlohmann::json;

// In milliseconds. Later start times would overflow Time.
constexpr double max_started_at_ms = 9e12;

/// Returns the value of a string field; empty if the field is absent or not a string.
std::string string_field(const json &object, const char *name) {
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
parse_instance(const json &entry, const std::string &path_prefix, const ZoneNames &zones) {
    ListedInstance instance;
    instance.id = string_field(entry, "instanceId");
    if (instance.id.empty())
        return EndpointListError{path_prefix + "instanceId: expected a non-empty string"};

    auto state = to_node_state(string_field(entry, "lifecycle"));
    if (!state)
        return EndpointListError{path_prefix + "lifecycle: expected active, leaving or left"};
    instance.state = *state;

    instance.address = string_field(entry, "hostPort");
    if (instance.address.empty() && instance.state != NodeState::removed)
        return EndpointListError{
            path_prefix +
            "hostPort: expected a non-empty string, the address of an instance that hasn't left"};

    if (auto cell = entry.find("cell"); cell != entry.end() && cell->is_number_integer())
        instance.shard = ShardId{cell->get<std::int32_t>()};
    else if (instance.state != NodeState::removed)
        return EndpointListError{path_prefix + "cell: expected an integer"};

    if (auto zone = zones.find(string_field(entry, "zone")); zone != zones.end())
        instance.zone = zone->second;
    if (auto started = entry.find("startedAtMs"); started != entry.end() && started->is_number())
        instance.started_at =
            static_cast<Time>(std::clamp(started->get<double>(), 0.0, max_started_at_ms)) * ms;
    return instance;
}

/// Converts the entries of a list one by one while its text is parsed, so that the whole JSON tree,
/// ten times the size of the text, never exists.
class InstanceCollector {
public:
    explicit InstanceCollector(const ZoneNames &zones) : zones_(zones) {}

    /// Handles a step of the parser (json::parser_callback_t).
    /// @return whether the parser keeps the value. It drops entries of the list of instances.
    bool step(int depth, json::parse_event_t event, const json &value) {
        constexpr int field_depth = 1;
        constexpr int entry_depth = 2;
        if (depth == field_depth && event == json::parse_event_t::key)
            in_instances_field_ = value == "instances";
        else if (depth == field_depth && event == json::parse_event_t::array_start)
            in_instances_ = in_instances_field_;
        else if (depth == field_depth && event == json::parse_event_t::array_end)
            in_instances_ = false;
        else if (depth == entry_depth && in_instances_ && is_end_of_value(event)) {
            add(value);
            return false;
        }
        return true;
    }

    /// Returns the instances, or why the first one that isn't valid was rejected.
    std::variant<std::vector<ListedInstance>, EndpointListError> take() {
        if (error_)
            return std::move(*error_);
        return std::move(instances_);
    }

private:
    static bool is_end_of_value(json::parse_event_t event) {
        return event == json::parse_event_t::object_end ||
               event == json::parse_event_t::array_end || event == json::parse_event_t::value;
    }

    void add(const json &entry) {
        if (error_)
            return;
        std::string path_prefix = "instances." + std::to_string(instances_.size()) + ".";
        auto instance = parse_instance(entry, path_prefix, zones_);
        if (auto *error = std::get_if<EndpointListError>(&instance))
            error_ = std::move(*error);
        else
            instances_.push_back(std::get<ListedInstance>(std::move(instance)));
    }

    const ZoneNames &zones_;
    bool in_instances_field_ = false;
    bool in_instances_ = false;
    std::vector<ListedInstance> instances_;
    std::optional<EndpointListError> error_;
};

} // namespace

std::variant<EndpointList, EndpointListError> parse_endpoint_list(std::string_view text,
                                                                  const ZoneNames &zones) {
    InstanceCollector collector(zones);
    auto step = [&](int depth, json::parse_event_t event, const json &value) {
        return collector.step(depth, event, value);
    };
    auto document = json::parse(text, step, false);
    if (document.is_discarded() || !document.is_object())
        return EndpointListError{"endpoint list: expected a JSON object"};
    if (!document.contains("generation") || !document["generation"].is_number_unsigned())
        return EndpointListError{"generation: expected a non-negative integer"};
    if (!document.contains("reset") || !document["reset"].is_boolean())
        return EndpointListError{"reset: expected true or false"};
    if (!document.contains("instances") || !document["instances"].is_array())
        return EndpointListError{"instances: expected an array"};

    auto instances = collector.take();
    if (auto *error = std::get_if<EndpointListError>(&instances))
        return std::move(*error);
    EndpointList list;
    list.generation = document["generation"].get<std::uint64_t>();
    list.kind = document["reset"].get<bool>() ? EndpointListKind::full : EndpointListKind::delta;
    list.instances = std::get<std::vector<ListedInstance>>(std::move(instances));
    return list;
}

} // namespace knotvane::http_gateway
