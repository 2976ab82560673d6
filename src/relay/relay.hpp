// A relay on loopback between clients and edges and between edges and nodes: it records every byte
// with its time, beside the edge, and can hold, cut, split or swallow what passes. Runs on one
// loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "loop/loop.hpp"
#include "record/recording.hpp"

namespace knotvane::relay {

class Relay {
public:
    Relay(loop::Loop &loop, record::Writer &to);
    ~Relay();
    // Listens for an edge's clients, or for an edge's connections to a node; gives the address.
    std::string front_of_edge(std::uint64_t edge, const std::string &address);
    std::string front_of_node(std::uint64_t edge, NodeId node, const std::string &address);

    // What passes between an edge and a node waits until then, and goes in order; edge ~0: every
    // edge's.
    void hold(std::uint64_t edge, NodeId node, Time until);
    // Goes on in pieces of a few bytes until then.
    void split(std::uint64_t edge, NodeId node, Time until);
    // Is thrown away until then; the connections stay up and are reset after it.
    void swallow(std::uint64_t edge, NodeId node, Time until);
    // Connections are reset.
    void cut(std::uint64_t edge, NodeId node);
    // Connections are reset and none is taken until it is opened again.
    void block(NodeId node);
    void unblock(NodeId node);
    void put(record::Kind kind, std::uint64_t a, std::uint64_t b, std::uint64_t c,
             std::string_view text = {});

private:
    struct Front;
    struct Wire;
    void came(Front &front, std::shared_ptr<loop::Socket> from);
    void each(std::uint64_t edge, NodeId node, const std::function<void(Wire &)> &call);
    void release();

    loop::Loop &loop_;
    record::Writer &to_;
    std::uint64_t next_ = 0;
    std::vector<std::unique_ptr<Front>> fronts_;
    std::map<std::uint64_t, std::shared_ptr<Wire>> transport_;
    std::map<NodeId, bool> blocked_;
    uv_timer_t *timer_;
};

} // namespace knotvane::relay
