/// \file
/// Watches the endpoint list at the discovery service, without I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/reconnect_backoff.hpp"
#include "http/decoder.hpp"
#include "http_gateway/endpoint_list.hpp"
#include "http_gateway/json_stream.hpp"
#include "http_gateway/transport.hpp"
#include "scheduling/events.hpp"

namespace knotvane::http_gateway {

/// Receives the endpoint lists. Each list is reported completely, without other events in between:
/// begin, one call for each endpoint, end.
class EndpointListEvents {
public:
    virtual ~EndpointListEvents() = default;
    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    /// @param address "host:port"; empty if the node is removed.
    virtual void endpoint_listed(const Endpoint &endpoint, const std::string &address) = 0;
    virtual void endpoint_list_end() = 0;
};

struct DiscoveryOptions {
    /// True if lists are requested from a service that all schedulers share and that rejects
    /// requests when it is overloaded. False if an agent on this host serves lists that were pushed
    /// to it.
    bool on_request = false;
    /// Seed of the random delays between connection attempts.
    std::uint64_t seed = 0;
};

/// Watches discovery by a long-running HTTP request whose response streams lists. The gateway is
/// expected to know a list as soon as discovery has it, so it always has a watch connected or about
/// to reconnect. If a watch becomes silent, a replacement is opened beside it.
class Discovery {
public:
    /// @param zones names of the zones in the order of their ids.
    Discovery(Transport &transport, EndpointListEvents &events, ConnectionIds &connection_ids,
              const std::vector<std::string> &zones, const DiscoveryOptions &options);

    /// Opens the first watch. Must be called once, before any other call.
    /// @param initial_list the last list that is known, as JSON in discovery's format; empty for
    /// none. As it may be outdated, it is published only once discovery answers for the first time
    /// (unless that answer is a newer full list) or hasn't answered in time.
    /// @param address "host:port" of discovery.
    /// @return why `initial_list` was rejected; empty if it was accepted or is empty.
    std::string start(Time now, std::string_view initial_list, const std::string &address);

    /// Watches discovery at another address from now on. An open watch at the former address stays
    /// in use until the new one answers.
    void watch(Time now, const std::string &address);

    /// Whether the connection belongs to a watch. The events below are ignored for any other.
    bool owns(ConnectionId id) const {
        return (current_ && current_->connection == id) ||
               (replacement_ && replacement_->connection == id);
    }
    void connected(Time now, ConnectionId id);
    void connect_failed(Time now, ConnectionId id);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id);

    /// @return when handle_timeouts must be called next; the largest Time if no timeout is set.
    Time next_due() const;
    /// Reconnects watches whose delay is over, closes or replaces those that have timed out, and
    /// publishes the initial list if discovery hasn't answered in time.
    void handle_timeouts(Time now);

    /// Whether any list was published.
    bool has_endpoint_list() const { return has_published_list_; }
    /// How many lists were published.
    std::uint64_t published_count() const { return published_count_; }
    /// The generation of the last list; 0 before the first one.
    std::uint64_t generation() const { return generation_; }

private:
    /// A streaming request to discovery, or the delay before it is sent again.
    struct Watch {
        std::string address;
        ConnectionId connection{};
        bool connected = false;
        /// Whether a list or a blank line was received on this connection.
        bool has_answered = false;
        /// When a list or a blank line was last received, or else when the connection was
        /// established.
        Time last_received_at = 0;
        /// Since when all its lists are older than the published one; 0 if they aren't.
        Time stale_since = 0;
        http::Decoder decoder;
        JsonStream objects;
        ReconnectBackoff reconnect_backoff;
    };

    Watch create_watch(const std::string &address);
    void connect(Time now, Watch &watch);
    Watch *find(ConnectionId id);
    /// Returns when a connected watch counts as silent if nothing is received.
    Time silence_deadline(const Watch &watch) const;
    /// Handles the end of a watch's connection: starts the delay before the next attempt, or
    /// replaces the watch if a replacement is open.
    /// @param reason written to the log unless empty.
    void connection_lost(Time now, Watch &watch, const std::string &reason);
    void close_connection(Time now, Watch &watch, const std::string &reason);
    /// Makes this watch the current one and closes the other. Returns the watch, which may have
    /// moved.
    Watch &promote(Watch &watch);

    /// Handles received bytes of the response's body. Returns false if the watch's connection was
    /// closed.
    bool handle_body(Time now, ConnectionId id, std::string_view body);
    /// Handles a complete JSON object. Returns false if the watch's connection was closed.
    bool handle_endpoint_list(Time now, Watch &watch, std::string_view json);
    /// Whether a list is older than the published one. Applying it could show a draining node as
    /// ready.
    bool is_stale(const EndpointList &list) const;
    void publish(Time now, const EndpointList &list);
    /// Publishes the list that was given to start(), unless it was published or superseded.
    void publish_initial_list(Time now);

    Transport &transport_;
    EndpointListEvents &events_;
    ConnectionIds &connection_ids_;
    ZoneNames zones_;
    DiscoveryOptions options_;
    std::uint64_t watch_count_ = 0;
    /// The watch in use, and the one that replaces it as soon as it answers.
    std::optional<Watch> current_;
    std::optional<Watch> replacement_;
    std::optional<EndpointList> initial_list_;
    Time initial_list_deadline_ = std::numeric_limits<Time>::max();
    std::map<std::string, NodeId> node_ids_;
    std::uint64_t last_node_id_ = 0;
    std::uint64_t generation_ = 0;
    bool has_published_list_ = false;
    std::uint64_t published_count_ = 0;
};

} // namespace knotvane::http_gateway
