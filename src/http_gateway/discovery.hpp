/// \file
/// The watch of the endpoint list at discovery, without I/O.
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

/// The endpoint list, list by list, each whole: begin, a call for each line, end.
class EndpointListEvents {
public:
    virtual ~EndpointListEvents() = default;
    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    /// @param address "host:port"; empty if the node is removed.
    virtual void endpoint_listed(const Endpoint &endpoint, const std::string &address) = 0;
    virtual void endpoint_list_end() = 0;
};

struct DiscoveryOptions {
    /// Lists are asked for, of a service that all schedulers share and that rejects calls when it
    /// is busy; else an agent on this machine has what was pushed to it.
    bool on_request = false;
    /// Of the pauses between calls.
    std::uint64_t seed = 0;
};

/// Watches discovery by one long call that streams lists. What discovery has counts as known here
/// from that moment, so there is always a call open or on its way, and a watch that fell silent is
/// opened anew beside it.
class Discovery {
public:
    /// @param zones names in the order of their ids.
    Discovery(Transport &transport, EndpointListEvents &events, ConnectionIds &connection_ids,
              const std::vector<std::string> &zones, const DiscoveryOptions &options);

    /// @param known_list the list as last had, in discovery's form; empty for none. It may be old:
    /// it counts together with discovery's first word, or alone if discovery doesn't answer.
    /// @param address where to watch.
    /// @return why the list was refused; empty if it was not.
    std::string start(Time now, std::string_view known_list, const std::string &address);

    /// Watches there from now on. A watch that is open elsewhere is closed once this one answers.
    void watch(Time now, const std::string &address);

    bool owns(ConnectionId id) const {
        return (current_ && current_->connection == id) || (next_ && next_->connection == id);
    }
    void connected(Time now, ConnectionId id);
    void connect_failed(Time now, ConnectionId id);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id);

    /// When handle_timeouts is due next; the largest Time if nothing is.
    Time next_due() const;
    void handle_timeouts(Time now);

    /// Whether any list was passed on.
    bool has_endpoint_list() const { return listed_; }

private:
    /// A call to discovery, or the pause before it is made again.
    struct Watch {
        std::string address;
        ConnectionId connection{};
        bool connected = false;
        /// Something came on this connection.
        bool has_answered = false;
        /// When it connected or something came last.
        Time last_received_at = 0;
        /// Since when it sends older lists than we have; 0 if it doesn't.
        Time stale_since = 0;
        http::Decoder decoder;
        JsonStream objects;
        ReconnectBackoff reconnect_backoff;
    };

    Watch make_watch(const std::string &address);
    void connect(Time now, Watch &watch);
    Watch *find(ConnectionId id);
    /// When a watch that is connected counts as silent.
    Time silent_at(const Watch &watch) const;
    /// Forgets a watch's connection and starts the pause before the next one.
    /// @param reason for the log; empty for none.
    void connection_lost(Time now, Watch &watch, const std::string &reason);
    void close_connection(Time now, Watch &watch, const std::string &reason);
    /// Makes this watch the current one and closes the other; returns where it is now.
    Watch &take_over(Watch &watch);

    /// Handles what came of the call's body. Returns false if the watch's connection was closed.
    bool handle_body(Time now, ConnectionId id, std::string_view body);
    bool handle_object(Time now, Watch &watch, std::string_view json);
    /// Whether a list is older than ours: by it a node that drains would look ready.
    bool is_stale(const EndpointList &list) const;
    void publish(Time now, const EndpointList &list);
    /// Passes on the list that was known at the start, if it wasn't yet.
    void publish_known(Time now);

    Transport &transport_;
    EndpointListEvents &events_;
    ConnectionIds &connection_ids_;
    ZoneNames zones_;
    DiscoveryOptions options_;
    std::uint64_t watch_count_ = 0;
    /// The watch whose lists count, and the one that is to take over.
    std::optional<Watch> current_;
    std::optional<Watch> next_;
    std::optional<EndpointList> known_list_;
    Time known_list_due_ = std::numeric_limits<Time>::max();
    std::map<std::string, NodeId> node_ids_;
    std::uint64_t last_node_id_ = 0;
    std::uint64_t generation_ = 0;
    bool listed_ = false;
};

} // namespace knotvane::http_gateway
