#include "http_gateway/discovery.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace knotvane::http_gateway {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

// Pauses before a call is made again.
struct Pauses {
    Time first;
    Time longest;
};

// What the agent has counts as known here from the moment in which it can be reached again: we come
// back sooner than the shortest grace that a drain was seen with (250 ms). The agent is on this
// machine, answers at once and costs nothing to ask.
constexpr Pauses agent_pauses{50 * ms, 150 * ms};
// A call that brings nothing for this long is made anew: the agent answers at once, or is down.
constexpr Time agent_answer_timeout = 500 * ms;

// A service that all schedulers share has calls wait in turn, and rejecting one costs it, too. A
// crowd of schedulers that come back within 50 ms is rejected again and again, so such calls wait
// longer and are spread, within the 6 s after which all that discovery has counts as known.
constexpr Pauses shared_pauses{1 * sec, 4 * sec};
constexpr Time shared_answer_timeout = 2500 * ms;

constexpr Time connect_timeout = 250 * ms;

// A blank line comes each 2 s: half as long again without one, and the watch is silent. Three of
// the 6 s are left then for calls that fail.
constexpr Time silence_timeout = 3 * sec;

// How long a new process waits for discovery before it goes by the list that it was given. Clients
// come once it is ready, 6 s after its start at the latest.
constexpr Time first_answer_timeout = 2 * sec;

// What discovery has reaches us 6 s late at most: a discovery that is older than our list for twice
// as long is not late but new, and counts from the start.
constexpr Time rebuilt_after = 12 * sec;

// A list of a hundred thousand nodes is a few ten megabytes; ours have ten to two hundred.
constexpr std::size_t max_object_bytes = 4 << 20;
constexpr std::size_t max_head_bytes = 8 << 10;

const Pauses &pauses(const DiscoveryOptions &options) {
    return options.on_request ? shared_pauses : agent_pauses;
}

} // namespace

Discovery::Discovery(Transport &transport, EndpointListEvents &events,
                     ConnectionIds &connection_ids, const std::vector<std::string> &zones,
                     const DiscoveryOptions &options)
    : transport_(transport), events_(events), connection_ids_(connection_ids), options_(options) {
    for (std::uint32_t i = 0; i < zones.size(); ++i)
        zones_[zones[i]] = ZoneId{i};
}

std::string Discovery::start(Time now, std::string_view known_list, const std::string &address) {
    std::string error;
    if (!known_list.empty()) {
        auto parsed = parse_endpoint_list(known_list, zones_);
        if (auto *list = std::get_if<EndpointList>(&parsed)) {
            generation_ = list->generation;
            known_list_ = std::move(*list);
        } else {
            error = std::get<EndpointListError>(parsed).text;
        }
    }
    known_list_due_ = now + first_answer_timeout;
    watch(now, address);
    return error;
}

void Discovery::publish_known(Time now) {
    if (auto list = std::exchange(known_list_, std::nullopt))
        publish(now, *list);
}

void Discovery::publish(Time now, const EndpointList &list) {
    std::set<std::string> named;
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
        named.insert(instance.id);
        events_.endpoint_listed(
            {it->second, instance.shard, instance.zone, instance.state, instance.started_at},
            instance.address);
        if (removed)
            node_ids_.erase(it);
    }
    events_.endpoint_list_end();
    if (list.kind == EndpointListKind::full)
        std::erase_if(node_ids_, [&](const auto &entry) { return !named.contains(entry.first); });
    generation_ = list.generation;
    listed_ = true;
}

Discovery::Watch Discovery::make_watch(const std::string &address) {
    ++watch_count_;
    const Pauses &pause = pauses(options_);
    return Watch{address,
                 {},
                 false,
                 false,
                 0,
                 0,
                 http::Decoder(http::MessageKind::response, max_head_bytes, max_object_bytes),
                 JsonStream(max_object_bytes),
                 ReconnectBackoff(pause.first, pause.longest, options_.seed + watch_count_)};
}

Time Discovery::silent_at(const Watch &watch) const {
    Time answer_timeout = options_.on_request ? shared_answer_timeout : agent_answer_timeout;
    return watch.last_received_at + (watch.has_answered ? silence_timeout : answer_timeout);
}

void Discovery::watch(Time now, const std::string &address) {
    if (current_ && current_->address == address) {
        if (next_)
            take_over(*current_);
        return;
    }
    if (next_ && next_->address == address)
        return;
    if (next_ && next_->connection.value != 0)
        transport_.close(next_->connection);
    Watch &watch = (current_ ? next_ : current_).emplace(make_watch(address));
    // All schedulers may start, or be sent elsewhere, in one moment: a shared service isn't called
    // by all of them at once.
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
        transport_.log_event("discovery at " + watch.address + ": " + reason);
    // The next one is on its way, to the same place or to the one that counts now.
    if (&watch == &*current_ && next_) {
        current_.emplace(std::move(*next_));
        next_.reset();
        return;
    }
    watch.connection = {};
    watch.connected = false;
    watch.reconnect_backoff.failed(now);
}

Discovery::Watch &Discovery::take_over(Watch &watch) {
    Watch &other = &watch == &*current_ ? *next_ : *current_;
    if (other.connection.value != 0)
        transport_.close(other.connection);
    if (&watch == &*next_)
        current_.emplace(std::move(*next_));
    next_.reset();
    return *current_;
}

Discovery::Watch *Discovery::find(ConnectionId id) {
    if (current_ && current_->connection == id)
        return &*current_;
    return next_ && next_->connection == id ? &*next_ : nullptr;
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
        connection_lost(now, *watch, "the watch ended");
}

void Discovery::received(Time now, ConnectionId id, std::string_view bytes) {
    Watch *watch = find(id);
    if (!watch)
        return;
    http::Decoder &decoder = watch->decoder;
    while (!bytes.empty() && decoder.state() != http::State::complete &&
           decoder.state() != http::State::invalid)
        bytes.remove_prefix(decoder.consume(bytes));
    auto state = decoder.state();
    if (state == http::State::invalid)
        return close_connection(now, *watch, decoder.error());
    if (state != http::State::body && state != http::State::complete)
        return;
    if (decoder.status() != 200)
        return close_connection(now, *watch, "it answered " + std::to_string(decoder.status()));
    std::string body = decoder.take_body();
    if (handle_body(now, id, body) && state == http::State::complete)
        close_connection(now, *find(id), "the watch ended");
}

bool Discovery::handle_body(Time now, ConnectionId id, std::string_view body) {
    while (!body.empty()) {
        Watch &watch = *find(id);
        JsonStream &objects = watch.objects;
        body.remove_prefix(objects.consume(body));
        bool answered = objects.take_blank_line();
        if (objects.has_error()) {
            close_connection(now, watch, objects.error());
            return false;
        }
        if (auto object = objects.take_object()) {
            if (!handle_object(now, watch, *object))
                return false;
            answered = true;
        }
        if (!answered)
            continue;

        publish_known(now);
        watch.last_received_at = now;
        watch.has_answered = true;
        watch.reconnect_backoff.connect_succeeded();
        if (next_ && (&watch == &*next_ || next_->address == current_->address))
            take_over(watch);
    }
    return true;
}

bool Discovery::handle_object(Time now, Watch &watch, std::string_view json) {
    auto parsed = parse_endpoint_list(json, zones_);
    if (auto *error = std::get_if<EndpointListError>(&parsed)) {
        close_connection(now, watch, error->text);
        return false;
    }
    const auto &list = std::get<EndpointList>(parsed);
    if (list.kind == EndpointListKind::delta || list.generation < generation_)
        publish_known(now);
    known_list_.reset();

    if (is_stale(list)) {
        if (watch.stale_since == 0)
            watch.stale_since = now;
        if (now < watch.stale_since + rebuilt_after)
            return true;
        generation_ = 0; // asked for anew, from the start
        close_connection(now, watch, "tells of older lists only: taken for one made anew");
        return false;
    }
    watch.stale_since = 0;
    bool nothing_new =
        listed_ && list.kind == EndpointListKind::delta && list.generation == generation_;
    if (!nothing_new)
        publish(now, list);
    return true;
}

bool Discovery::is_stale(const EndpointList &list) const {
    return listed_ && list.generation < generation_;
}

Time Discovery::next_due() const {
    Time due = known_list_ ? known_list_due_ : never;
    for (const auto *slot : {&current_, &next_}) {
        if (!*slot)
            continue;
        const Watch &watch = **slot;
        // One that has answered and is silent stays, beside the one that is to take over.
        bool waits_for_next = slot == &current_ && watch.has_answered && next_;
        if (!waits_for_next)
            due = std::min(due,
                           watch.connected ? silent_at(watch) : watch.reconnect_backoff.deadline());
    }
    return due;
}

void Discovery::handle_timeouts(Time now) {
    if (now >= known_list_due_)
        publish_known(now);
    if (current_ && current_->connected && current_->has_answered && now >= silent_at(*current_) &&
        !next_) {
        transport_.log_event("discovery at " + current_->address + ": silent");
        next_.emplace(make_watch(current_->address));
        connect(now, *next_);
    }
    for (auto *slot : {&next_, &current_}) {
        if (!*slot)
            continue;
        Watch &watch = **slot;
        if (watch.connected && !watch.has_answered && now >= silent_at(watch)) {
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
