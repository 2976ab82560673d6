/// \file
/// The storage node's side of one edge's connection.
#pragma once

#include "node/storage_node.hpp"

namespace knotvane::node {

/// Decodes an edge's frames and passes its requests to the node.
class StorageNode::Connection final : public node_protocol::FrameHandler {
public:
    Connection(StorageNode &node, ConnectionId id) : node_(node), id_(id) {}

    ConnectionId id() const { return id_; }

    /// Decodes the next received bytes and handles each complete frame.
    /// @return a description of the protocol error; empty if there is none.
    std::string received(Time now, std::string_view bytes) {
        now_ = now;
        return reader_.feed(bytes, *this);
    }

    bool on_frame(const node_protocol::Frame &frame) override;

    /// Set by an injected fault: nothing more is sent on this connection.
    bool is_silenced = false;

private:
    StorageNode &node_;
    ConnectionId id_;
    Time now_ = 0;             // time of the `received` call in progress
    bool has_greeted_ = false; // whether the edge's hello was received
    node_protocol::FrameReader reader_;
};

} // namespace knotvane::node
