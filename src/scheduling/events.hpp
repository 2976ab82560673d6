/// \file
/// Data of the events that are passed to a scheduler.
#pragma once

#include "common/ids.hpp"
#include "common/node_state.hpp"
#include "common/time.hpp"

namespace knotvane {

enum class EndpointListKind {
    full, ///< Nodes that the list doesn't name are removed.
    delta ///< Nodes that the list doesn't name are unchanged.
};

/// One entry of the endpoint list: a node and its state.
struct Endpoint {
    NodeId node;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    /// When the node's process started; a later time than in earlier lists means a restart.
    Time started_at = 0;
};

/// How an attempt ended. Only overloaded, unreachable and not_sent prove that the node did not
/// execute it.
enum class AttemptOutcome {
    answered,    ///< The node executed it and answered.
    error,       ///< The node or its response failed; it may have been executed.
    overloaded,  ///< The node rejected it without executing it.
    timed_out,   ///< No answer came in time; the node may still execute it.
    unreachable, ///< No connection could be made, so it was not executed.
    reset,       ///< The connection was lost after sending; the node may still execute it.
    canceled,    ///< The scheduler canceled it after sending; the node may still execute it.
    not_sent     ///< Nothing was sent, or the node proved that it will never execute it.
};

/// A client's request.
struct RequestInfo {
    RequestId id;
    WorkloadId workload;
    VolumeId volume;
    PlanId plan;
    /// The shard that holds the data; no_shard for a new object, which may go to any node.
    ShardId shard = no_shard;
    /// In a workload with ordered_by_key, requests with the same key are ordered; no_key if the
    /// request has none.
    KeyId key = no_key;
    double units = 0;
    /// Number of schedulers that share the volume's limit, as far as the client knows.
    double sharers = 1;
    bool writes = false;
    /// The client marked this request as one that it sent before.
    bool repeated = false;
    /// The time at which the client stops waiting.
    Time client_timeout = 0;
};

/// The result of an attempt that has ended.
struct AttemptResult {
    RequestId request;
    AttemptId attempt;
    NodeId node;
    AttemptOutcome outcome = AttemptOutcome::error;
    /// Time from the attempt's start to its end.
    Time duration = 0;
    /// This result was passed to the client as its final answer.
    bool client_answered = false;
};

enum class CancelReason {
    /// The client disconnected; the scheduler learns from this how long clients wait. Used once
    /// per client that disconnects, for the first request that it had in flight.
    client_disconnected,
    /// The owner ended the request for any other reason.
    abandoned
};

} // namespace knotvane
