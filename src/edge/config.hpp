/// \file
/// What an edge is configured with.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::edge {

/// The kinds of command that a workload can be for; the values are those of the settings' list.
enum class Command { read, write, zero, flush, status };

constexpr bool is_change(Command command) {
    return command == Command::write || command == Command::zero;
}

/// What an edge is made with.
struct CoreConfig {
    /// This edge's number among all edges.
    std::uint64_t edge_id = 0;
    /// Differs with each start of the process.
    std::uint64_t incarnation = 0;
    /// Size in bytes of the extents that a volume is laid out in; a multiple of span_bytes.
    std::uint64_t extent_bytes = 0;
    /// Size in bytes of the ranges at which writes are split and in which they are ordered.
    std::uint64_t span_bytes = 0;
    /// Bytes that count as one unit, beyond the unit that each request counts.
    std::uint64_t bytes_per_unit = 1;
    /// All shards; must not be empty.
    std::vector<ShardId> shards;
};

/// Limits of the connections to nodes.
struct NodeConnectionConfig {
    /// Connections to one node at most; 0 reads as 1.
    std::size_t max_per_node = 1;
    /// A connection that is not established and welcomed within this time has failed.
    Time connect_timeout = sec;
    /// A connection that stops for this long in the middle of a frame is closed.
    Time frame_stall_timeout = sec;
    /// A connection without attempts and traffic for this long is closed.
    Time idle_timeout = 60 * sec;
    /// Bytes handed to a connection and not yet sent, past which attempts wait here.
    std::size_t max_unsent_bytes = 1 << 20;
};

/// Bounds on what clients may have in flight. Past the last two no client is read from.
struct AdmissionLimits {
    std::uint32_t max_requests_per_client = 128;
    /// Bytes of one read or write.
    std::uint32_t max_request_bytes = 4u << 20;
    /// Scheduled requests of all clients.
    std::size_t max_scheduled_requests = 1 << 16;
    /// Bytes held for all clients: requests at work and answers that are not sent yet.
    std::size_t max_buffered_bytes = 1 << 30;
};

/// A volume of an edge that has no planner.
struct VolumeConfig {
    std::string name;
    std::uint64_t size_bytes = 0;
    /// Offsets and lengths of requests are multiples of it.
    std::uint32_t alignment_bytes = 512;
    PlanId plan;
    /// Edges that share the volume's limit.
    std::uint32_t sharers = 1;
};

/// Which scheduled requests belong to a workload.
struct WorkloadRule {
    WorkloadId workload;
    Command command = Command::read;
    /// Longer requests are not of the workload.
    std::uint32_t max_bytes = 0;
    /// Name of the volume; empty for all volumes.
    std::string volume;
    /// From a request's receipt until its client stops waiting.
    Time client_timeout = 0;
    /// How long nodes drop a repeat; 0 if the workload isn't deduplicated.
    Time deduplication_window = 0;
};

} // namespace knotvane::edge
