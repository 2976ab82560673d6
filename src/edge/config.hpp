/// \file
/// Configuration of an edge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::edge {

/// Commands that a workload can apply to, in the order in which the setting `command` lists them.
enum class Command { read, write, zero, flush, status };

constexpr bool is_change(Command command) {
    return command == Command::write || command == Command::zero;
}

/// Configuration that an edge's core is constructed with.
struct CoreConfig {
    /// Unique among all edges.
    std::uint64_t edge_id = 0;
    /// Differs with each start of the process.
    std::uint64_t incarnation = 0;
    /// Size in bytes of the extents that a volume is divided into; a multiple of span_bytes.
    std::uint64_t extent_bytes = 0;
    /// Size in bytes of a span. Writes are split at span boundaries, and writes to one span are
    /// ordered.
    std::uint64_t span_bytes = 0;
    /// Bytes per unit. Each request costs one unit in addition to those of its bytes.
    std::uint64_t bytes_per_unit = 1;
    /// All shards; must not be empty.
    std::vector<ShardId> shards;
};

/// Limits of the connections to nodes.
struct NodeConnectionConfig {
    /// Maximum number of connections to one node; 0 is treated as 1.
    std::size_t max_per_node = 1;
    /// A connection fails if it is not established, with the node's welcome received, within this
    /// time.
    Time connect_timeout = sec;
    /// A connection is closed if nothing is received for this long in the middle of a frame.
    Time frame_stall_timeout = sec;
    /// A connection without attempts is closed if nothing is received on it for this long.
    Time idle_timeout = 60 * sec;
    /// While at least this many bytes given to a connection are not sent yet, further attempts are
    /// queued.
    std::size_t max_unsent_bytes = 1 << 20;
};

/// Limits on what clients may have in flight. While one of the last two is exceeded, nothing is
/// read from any client.
struct AdmissionLimits {
    std::uint32_t max_requests_per_client = 128;
    /// Maximum length in bytes of one read or write.
    std::uint32_t max_request_bytes = 4u << 20;
    /// Maximum number of scheduled requests of all clients together.
    std::size_t max_scheduled_requests = 1 << 16;
    /// Maximum number of bytes held for all clients together: requests in progress and responses
    /// that are not sent yet.
    std::size_t max_buffered_bytes = 1 << 30;
};

/// A volume in the settings of an edge without a planner.
struct VolumeConfig {
    std::string name;
    std::uint64_t size_bytes = 0;
    /// Offsets and lengths of requests are multiples of it.
    std::uint32_t alignment_bytes = 512;
    PlanId plan;
    /// Number of edges that share the volume's limit.
    std::uint32_t sharers = 1;
};

/// Which scheduled requests belong to a workload.
struct WorkloadRule {
    WorkloadId workload;
    Command command = Command::read;
    /// Requests of more bytes do not belong to the workload.
    std::uint32_t max_bytes = 0;
    /// Name of the volume; empty for all volumes.
    std::string volume;
    /// Time from the receipt of a request until its client stops waiting for the response.
    Time client_timeout = 0;
    /// How long nodes recognize a repeated request and do not execute it again; 0 if the workload
    /// isn't deduplicated.
    Time deduplication_window = 0;
};

} // namespace knotvane::edge
