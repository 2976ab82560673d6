// The list of nodes, as discovery's agent tells it, without I/O. What the agent has counts as told
// at that moment: so there is always a call open or on its way, and a watch that fell silent is
// opened anew beside it.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/node_state.hpp"
#include "common/reconnect_backoff.hpp"
#include "http/decoder.hpp"
#include "http_gateway/json_stream.hpp"
#include "http_gateway/transport.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::http_gateway {

// Told list by list, each whole: begins, its lines, ends.
class EndpointListEvents {
public:
    virtual ~EndpointListEvents() = default;
    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    virtual void endpoint_listed(NodeId node, const std::string &address, ShardId shard,
                                 ZoneId zone, NodeState state, Time started) = 0;
    virtual void endpoint_list_end() = 0;
};

class Discovery {
public:
    // `zones`: names in the order of their ids. `on_request`: lists are asked for, of one service
    // that all schedulers share and that turns calls away; else an agent of our own has what was
    // pushed.
    Discovery(Transport &transport, EndpointListEvents &told, ConnectionIds &connection_ids,
              std::vector<std::string> zones, bool on_request, std::uint64_t seed);

    // The list as last had, in discovery's form, empty for none; and where to watch. It may be old:
    // it counts together with the agent's first word, or alone if the agent does not speak. Gives
    // back why it was refused, or nothing.
    std::string start(Time now, std::string_view known, const std::string &address);
    // Watches there from now on. A watch that stands elsewhere is let go once this one speaks.
    void watch(Time now, const std::string &address);

    bool owns(ConnectionId conn) const {
        return (now_ && now_->conn == conn) || (then_ && then_->conn == conn);
    }
    void connected(Time now, ConnectionId conn);
    void connect_failed(Time now, ConnectionId conn);
    void received(Time now, ConnectionId conn, std::string_view in);
    void disconnected(Time now, ConnectionId conn);
    Time next_due() const;
    void tick(Time now);
    bool listed() const { return listed_; }

private:
    struct Entry {
        std::string id, address;
        ShardId shard;
        ZoneId zone;
        std::string state;
        Time started;
    };
    struct List {
        std::uint64_t generation;
        bool whole;
        std::vector<Entry> entries;
    };
    struct Watch {
        std::string address;
        ConnectionId conn{};
        bool connected = false, spoke = false;
        Time heard = 0; // connected, or last spoke
        Time older = 0; // since when it tells of older lists than we have; 0: it does not
        http::Decoder in;
        JsonStream objects;
        ReconnectBackoff reconnect_backoff;
    };
    // A list out of its bytes, or why not.
    std::optional<List> read(std::string_view json, std::string &fault) const;
    void tell(Time now, const List &list);
    // The agent spoke: what was known before it did counts no later than now.
    void tell_known(Time now);
    Time silent_at(const Watch &w) const;
    Watch make(const std::string &address);
    void dial(Time now, Watch &w);
    void lost(Time now, ConnectionId conn, bool close, const char *why);
    // This watch tells from now on; the other one is let go.
    Watch &takes_over(Watch &w);
    Watch *of(ConnectionId conn);

    Transport &transport_;
    EndpointListEvents &told_;
    ConnectionIds &connection_ids_;
    std::map<std::string, ZoneId> zones_;
    bool on_request_;
    std::uint64_t seed_, watches_ = 0;
    std::optional<Watch> now_, then_; // the one that tells, and the one that is to take over
    std::optional<List> known_;
    Time known_until_ = std::numeric_limits<Time>::max();
    std::map<std::string, NodeId> ids_;
    std::uint64_t last_id_ = 0, generation_ = 0;
    bool listed_ = false;
};

} // namespace knotvane::http_gateway
