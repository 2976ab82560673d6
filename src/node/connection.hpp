/// \file
/// A storage node's end of one connection.
#pragma once

#include "node/storage_node.hpp"

namespace knotvane::node {

/// Decodes an edge's frames and passes its requests to the node.
class StorageNode::Connection final : public node_protocol::FrameHandler {
public:
    Connection(StorageNode &node, ConnectionId id) : node_(node), id_(id) {}

    ConnectionId id() const { return id_; }

    /// Takes the next received bytes.
    /// @return what is wrong with the stream; empty if nothing is.
    std::string received(Time now, std::string_view bytes) {
        now_ = now;
        return reader_.feed(bytes, *this);
    }

    bool on_frame(const node_protocol::Frame &frame) override;

    /// Nothing more is sent on it: an injected fault.
    bool is_silenced = false;

private:
    StorageNode &node_;
    ConnectionId id_;
    Time now_ = 0;             // of the bytes that are being read
    bool has_greeted_ = false; // its hello came
    node_protocol::FrameReader reader_;
};

} // namespace knotvane::node
