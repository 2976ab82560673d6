#include "http_gateway/discovery.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

// Upper bounds of the random delay before a watch reconnects.
struct ReconnectDelays {
    Time initial_max;
    Time max;
};

// The gateway is expected to know what the agent has from the moment the agent is reachable again,
// so it reconnects within less than the shortest drain grace period seen (250 ms). The agent runs
// on this host, answers immediately, and a request costs it nothing.
constexpr ReconnectDelays agent_delays{50 * ms, 150 * ms};
// A request that gets no answer for this long is sent again: the agent answers immediately or is
// down.
constexpr Time agent_answer_timeout = 500 * ms;

// A service that all schedulers share queues requests, and even a rejected request costs it work.
// If many schedulers reconnect within 50 ms, it rejects them again and again. Such requests are
// therefore delayed longer and spread, but within the 6 s after which the gateway is expected to
// know what discovery has.
constexpr ReconnectDelays shared_delays{1 * sec, 4 * sec};
constexpr Time shared_answer_timeout = 2500 * ms;

constexpr Time connect_timeout = 250 * ms;

// Discovery sends a blank line every 2 s. A watch that receives nothing for 1.5 times as long
// counts as silent, which leaves 3 of the 6 s for connection attempts that fail.
constexpr Time silence_timeout = 3 * sec;

// How long a new process waits for discovery before it uses the list that it was given. It must be
// ready for clients within 6 s of its start.
constexpr Time first_answer_timeout = 2 * sec;

// Lists arrive with a delay of at most 6 s. A discovery whose lists stay older than the
// published one for twice as long is not late: it was rebuilt and counts its generations from the
// start again.
constexpr Time rebuild_threshold = 12 * sec;

// 4 MiB: ample for the usual 10 to 200 nodes. A list of 100,000 nodes would take some tens of
// megabytes.
constexpr std::size_t max_object_bytes = 4 << 20;
constexpr std::size_t max_head_bytes = 8 << 10;

const ReconnectDelays &reconnect_delays(const DiscoveryOptions &options) {
    return options.on_request ? shared_delays : agent_delays;
}

} // namespace

Discovery::Discovery(Transport &transport, EndpointListEvents &events,
                     ConnectionIds &connection_ids, const std::vector<std::string> &zones,
                     const DiscoveryOptions &options)
    : transport_(transport), events_(events), connection_ids_(connection_ids), options_(options) {
    for (std::uint32_t i = 0; i < zones.size(); ++i)
        zones_[zones[i]] = ZoneId{i};
}

std::string Discovery::start(Time now, std::string_view initial_list, const std::string &address) {
    std::string error;
    if (!initial_list.empty()) {
        auto parsed = parse_endpoint_list(initial_list, zones_);
        if (auto *list = std::get_if<EndpointList>(&parsed)) {
            generation_ = list->generation;
            initial_list_ = std::move(*list);
        } else {
            error = std::get<EndpointListError>(parsed).text;
        }
    }
    initial_list_deadline_ = now + first_answer_timeout;
    watch(now, address);
    return error;
}

void Discovery::publish_initial_list(Time now) {
    if (auto list = std::exchange(initial_list_, std::nullopt))
        publish(now, *list);
}

void Discovery::publish(Time now, const EndpointList &list) {
    std::set<std::string> listed_ids;
    events_.endpoint_list_begin(now, list.kind);
    for (const auto &instance : list.instances) {
        bool removed = instance.state == NodeState::removed;
        auto it = node_ids_.find(instance.id);
        if (it == node_ids_.end()) {
            if (removed)
                continue;
            ++last_node_id_;
            it = node_ids_.emplace(instance.id, NodeId{last_node_id_}).first;
        }
        listed_ids.insert(instance.id);
        events_.endpoint_listed(
            {it->second, instance.shard, instance.zone, instance.state, instance.started_at},
            instance.address);
        if (removed)
            node_ids_.erase(it);
    }
    events_.endpoint_list_end();
    if (list.kind == EndpointListKind::full)
        std::erase_if(node_ids_,
                      [&](const auto &entry) { return !listed_ids.contains(entry.first); });
    generation_ = list.generation;
    has_published_list_ = true;
    ++published_count_;
}

Discovery::Watch Discovery::create_watch(const std::string &address) {
    ++watch_count_;
    const ReconnectDelays &delays = reconnect_delays(options_);
    return Watch{address,
                 {},
                 false,
                 false,
                 0,
                 0,
                 http::Decoder(http::MessageKind::response, max_head_bytes, max_object_bytes),
                 JsonStream(max_object_bytes),
                 ReconnectBackoff(delays.initial_max, delays.max, options_.seed + watch_count_)};
}

Time Discovery::silence_deadline(const Watch &watch) const {
    Time answer_timeout = options_.on_request ? shared_answer_timeout : agent_answer_timeout;
    return watch.last_received_at + (watch.has_answered ? silence_timeout : answer_timeout);
}

void Discovery::watch(Time now, const std::string &address) {
    if (current_ && current_->address == address) {
        if (replacement_)
            promote(*current_);
        return;
    }
    if (replacement_ && replacement_->address == address)
        return;
    if (replacement_ && replacement_->connection.value != 0)
        transport_.close(replacement_->connection);
    Watch &watch = (current_ ? replacement_ : current_).emplace(create_watch(address));
    // All schedulers may start or be redirected at the same time. The random delay keeps them from
    // connecting to a shared service at the same time.
    if (options_.on_request)
        watch.reconnect_backoff.failed(now);
    else
        connect(now, watch);
}

void Discovery::connect(Time now, Watch &watch) {
    watch.connection = connection_ids_.next();
    watch.connected = false;
    watch.has_answered = false;
    watch.last_received_at = now;
    watch.stale_since = 0;
    watch.decoder.start_next();
    watch.objects = JsonStream(max_object_bytes);
    watch.reconnect_backoff.connect_started(now, connect_timeout);
    transport_.connect(watch.connection, watch.address);
}

void Discovery::close_connection(Time now, Watch &watch, const std::string &reason) {
    transport_.close(watch.connection);
    connection_lost(now, watch, reason);
}

void Discovery::connection_lost(Time now, Watch &watch, const std::string &reason) {
    if (!reason.empty())
        transport_.log_event("discovery at " + watch.address + ": " + reason + "; reconnecting");
    // The replacement is already open or connecting, to the same address or to the new one.
    if (&watch == &*current_ && replacement_) {
        current_.emplace(std::move(*replacement_));
        replacement_.reset();
        return;
    }
    watch.connection = {};
    watch.connected = false;
    watch.reconnect_backoff.failed(now);
}

Discovery::Watch &Discovery::promote(Watch &watch) {
    Watch &other = &watch == &*current_ ? *replacement_ : *current_;
    if (other.connection.value != 0)
        transport_.close(other.connection);
    if (&watch == &*replacement_)
        current_.emplace(std::move(*replacement_));
    replacement_.reset();
    return *current_;
}

Discovery::Watch *Discovery::find(ConnectionId id) {
    if (current_ && current_->connection == id)
        return &*current_;
    return replacement_ && replacement_->connection == id ? &*replacement_ : nullptr;
}

void Discovery::connected(Time now, ConnectionId id) {
    Watch *watch = find(id);
    if (!watch)
        return;
    watch->connected = true;
    watch->last_received_at = now;
    transport_.send(id, "GET /v1/servers?stream=1&index=" + std::to_string(generation_) +
                            " HTTP/1.1\r\nHost: discovery\r\n\r\n");
}

void Discovery::connect_failed(Time now, ConnectionId id) {
    if (Watch *watch = find(id))
        connection_lost(now, *watch, "");
}

void Discovery::disconnected(Time now, ConnectionId id) {
    if (Watch *watch = find(id))
        connection_lost(now, *watch, "the connection of the watch was closed");
}

void Discovery::received(Time now, ConnectionId id, std::string_view bytes) {
    Watch *watch = find(id);
    if (!watch)
        return;
    http::Decoder &decoder = watch->decoder;
    while (!bytes.empty() && decoder.state() != http::MessageState::complete &&
           decoder.state() != http::MessageState::invalid)
        bytes.remove_prefix(decoder.consume(bytes));
    auto state = decoder.state();
    if (state == http::MessageState::invalid)
        return close_connection(now, *watch, decoder.error());
    if (state != http::MessageState::body && state != http::MessageState::complete)
        return;
    if (decoder.status() != 200)
        return close_connection(
            now, *watch, "response status " + std::to_string(decoder.status()) + ", expected 200");
    std::string body = decoder.take_body();
    if (handle_body(now, id, body) && state == http::MessageState::complete)
        close_connection(now, *find(id), "the response to the watch ended");
}

bool Discovery::handle_body(Time now, ConnectionId id, std::string_view body) {
    while (!body.empty()) {
        Watch &watch = *find(id);
        JsonStream &objects = watch.objects;
        body.remove_prefix(objects.consume(body));
        bool received_anything = objects.take_blank_line();
        if (objects.has_error()) {
            close_connection(now, watch, objects.error());
            return false;
        }
        if (auto object = objects.take_object()) {
            if (!handle_endpoint_list(now, watch, *object))
                return false;
            received_anything = true;
        }
        if (!received_anything)
            continue;

        publish_initial_list(now);
        watch.last_received_at = now;
        watch.has_answered = true;
        watch.reconnect_backoff.connect_succeeded();
        if (replacement_ &&
            (&watch == &*replacement_ || replacement_->address == current_->address))
            promote(watch);
    }
    return true;
}

bool Discovery::handle_endpoint_list(Time now, Watch &watch, std::string_view json) {
    auto parsed = parse_endpoint_list(json, zones_);
    if (auto *error = std::get_if<EndpointListError>(&parsed)) {
        close_connection(now, watch, error->text);
        return false;
    }
    const auto &list = std::get<EndpointList>(parsed);
    if (list.kind == EndpointListKind::delta || list.generation < generation_)
        publish_initial_list(now);
    initial_list_.reset();

    if (is_stale(list)) {
        if (watch.stale_since == 0)
            watch.stale_since = now;
        if (now < watch.stale_since + rebuild_threshold)
            return true;
        generation_ = 0; // requests the full list on the next connection
        close_connection(now, watch,
                         "only outdated lists for " + std::to_string(rebuild_threshold / sec) +
                             " s, the last of generation " + std::to_string(list.generation) +
                             "; assuming that discovery was rebuilt, requesting its full list");
        return false;
    }
    watch.stale_since = 0;
    bool unchanged = has_published_list_ && list.kind == EndpointListKind::delta &&
                     list.generation == generation_;
    if (!unchanged)
        publish(now, list);
    return true;
}

bool Discovery::is_stale(const EndpointList &list) const {
    return has_published_list_ && list.generation < generation_;
}

Time Discovery::next_due() const {
    Time due = initial_list_ ? initial_list_deadline_ : never;
    for (const auto *slot : {&current_, &replacement_}) {
        if (!*slot)
            continue;
        const Watch &watch = **slot;
        // A silent watch that has answered before has no timeout while its replacement connects.
        bool has_replacement = slot == &current_ && watch.has_answered && replacement_;
        if (!has_replacement)
            due = std::min(due, watch.connected ? silence_deadline(watch)
                                                : watch.reconnect_backoff.deadline());
    }
    return due;
}

void Discovery::handle_timeouts(Time now) {
    if (now >= initial_list_deadline_)
        publish_initial_list(now);
    if (current_ && current_->connected && current_->has_answered &&
        now >= silence_deadline(*current_) && !replacement_) {
        transport_.log_event("discovery at " + current_->address + ": nothing received for " +
                             std::to_string(silence_timeout / sec) + " s; opening a second watch");
        replacement_.emplace(create_watch(current_->address));
        connect(now, *replacement_);
    }
    for (auto *slot : {&replacement_, &current_}) {
        if (!*slot)
            continue;
        Watch &watch = **slot;
        if (watch.connected && !watch.has_answered && now >= silence_deadline(watch)) {
            close_connection(now, watch, "");
        } else if (!watch.connected && now >= watch.reconnect_backoff.deadline()) {
            if (watch.reconnect_backoff.connecting())
                close_connection(now, watch, "");
            else
                connect(now, watch);
        }
    }
}

} // namespace knotvane::http_gateway
