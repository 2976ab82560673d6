/// \file
/// The request that an edge sends to a node.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "node_protocol/frame.hpp"

namespace knotvane::edge {

/// A request to a node; the same for each attempt of a scheduled request.
struct NodeRequest {
    node_protocol::FrameKind kind = node_protocol::FrameKind::read;
    VolumeId volume;
    ShardId shard;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    double units = 1;
    /// The node may answer only once the change is durable.
    bool durable = false;
    /// The scheduled request's id.
    std::uint64_t request_number = 0;
    /// Whether request_number is an idempotency key by which nodes drop repeats.
    bool deduplicated = false;
    /// The node must not execute the request after this time by the edge's clock; 0 for no limit.
    Time not_after = 0;
    std::string payload;
    /// Only for a change: the volume's epoch in which its client request began.
    std::uint32_t epoch = 0;
    /// Whether the volume is a snapshot or a clone.
    bool on_snapshot = false;
};

} // namespace knotvane::edge
