/// \file
/// A TCP relay on loopback that stands between clients and edges and between edges and nodes. It
/// records every byte with the time at which the edge sends or receives it, and injects network
/// faults: it can hold, split, swallow or cut the traffic.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "loop/listener.hpp"
#include "loop/loop.hpp"
#include "loop/socket.hpp"
#include "record/recording.hpp"

namespace knotvane::relay {

/// Forwards connections and records their traffic. The loop and the writer must outlive it. All
/// functions must be called on the loop's thread.
class Relay {
public:
    Relay(loop::Loop &loop, record::Writer &writer);
    ~Relay();
    /// Listens on a free loopback port for an edge's clients and forwards their connections to
    /// `address`.
    /// @return the address that it listens on.
    std::string listen_for_clients(std::uint64_t edge, const std::string &address);
    /// Listens on a free loopback port for an edge's connections to a node and forwards them to
    /// `address`.
    /// @return the address that it listens on.
    std::string listen_for_node(std::uint64_t edge, NodeId node, const std::string &address);

    // The following faults apply to the connections that are open between an edge and a node at
    // the time of the call. The edge ~0 means those of all edges.

    /// Holds the traffic back until a time, then forwards it in order.
    void hold(std::uint64_t edge, NodeId node, Time until);
    /// Forwards the traffic in pieces of a few bytes until a time.
    void split(std::uint64_t edge, NodeId node, Time until);
    /// Discards the traffic until a time. The connections stay open until then and are reset
    /// afterwards.
    void swallow(std::uint64_t edge, NodeId node, Time until);
    /// Resets the connections.
    void cut(std::uint64_t edge, NodeId node);
    /// Resets the connections of all edges to a node, and also new ones, until `unblock` is called.
    void block(NodeId node);
    void unblock(NodeId node);
    /// Appends a record with the current time to the recording. The meaning of `a`, `b` and `c`
    /// depends on its kind.
    void put_record(record::Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
                    std::string_view text = {});

private:
    struct Route;
    struct Connection;
    void accept(Route &route, std::shared_ptr<loop::Socket> socket);
    void for_each_connection(std::uint64_t edge, NodeId node,
                             const std::function<void(Connection &)> &callback);
    void update_connections();

    loop::Loop &loop_;
    record::Writer &writer_;
    std::uint64_t last_connection_id_ = 0;
    std::vector<std::unique_ptr<Route>> routes_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;
    std::map<NodeId, bool> blocked_nodes_;
    uv_timer_t *timer_;
};

} // namespace knotvane::relay
