/// \file
/// The events that a scheduler is given.
#pragma once

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"

namespace knotvane {

enum class EndpointListKind {
    full, ///< Nodes that it doesn't name are removed.
    delta ///< Nodes that it doesn't name are as before.
};

/// A node as the endpoint list has it.
struct Endpoint {
    NodeId node;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    /// When its process started; later than before after a restart.
    Time started_at = 0;
};

/// How an attempt ended. Only overloaded, unreachable and not_sent prove that it was not executed.
enum class AttemptOutcome {
    answered,    ///< The node executed it and answered.
    error,       ///< The node or its response failed; it may have been executed.
    overloaded,  ///< The node rejected it: not executed.
    timed_out,   ///< No answer in time; it may still run.
    unreachable, ///< No connection came up: not executed.
    reset,       ///< The connection was lost after sending; it may still run.
    canceled,    ///< The scheduler canceled it after sending; it may still run.
    not_sent     ///< Nothing went out, or the node proved that it will never run.
};

/// A client's request.
struct RequestInfo {
    RequestId id;
    WorkloadId workload;
    VolumeId volume;
    PlanId plan;
    /// The shard that holds its data; no_shard for a new object, which may go to any node.
    ShardId shard = no_shard;
    /// Orders requests of an ordered workload; no_key for none.
    KeyId key = no_key;
    double units = 0;
    /// Schedulers that share the volume's limit, as far as the client knows.
    double sharers = 1;
    bool writes = false;
    /// The client says that it sent this request before.
    bool repeated = false;
    /// When the client stops waiting.
    Time client_timeout = 0;
};

/// The end of an attempt.
struct AttemptResult {
    RequestId request;
    AttemptId attempt;
    NodeId node;
    AttemptOutcome outcome = AttemptOutcome::error;
    /// From its start to its end.
    Time duration = 0;
    /// The client has its answer.
    bool client_answered = false;
};

enum class CancelReason {
    /// The client disconnected, which shows how long clients wait. Given once for each client that
    /// disconnects, with the first request that it had in flight.
    client_disconnected,
    /// The owner ended the request for any other reason.
    abandoned
};

} // namespace knotvane
