/// \file
/// A scheduler's record of a request and of its attempts.
#pragma once

#include <algorithm>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"

namespace knotvane::scheduling {

/// A node, with the shard and the zone that determine its deduplication scopes.
struct NodeLocation {
    NodeId node;
    ShardId shard;
    ZoneId zone;
};

/// One execution of a request at a node.
struct Attempt {
    NodeLocation location;
    Time started_at = 0;
    bool in_flight = true;
    /// The outcome proves that the node did not execute the attempt.
    bool not_executed = false;
};

/// What a request waits for, in the order in which it passes the stages.
enum class RequestStage {
    key_order, ///< Completion of earlier requests with the same key.
    quota,     ///< Units within its volume's limit.
    placement, ///< A node that is ready.
    queue,     ///< Its turn in the node's fair queue.
    attempt    ///< The outcome of an attempt.
};

/// A client's request. It is kept until it has ended and none of its attempts is in flight.
struct Request {
    RequestId id;
    WorkloadId workload;
    VolumeId volume;
    PlanId plan;
    ShardId shard;
    KeyId key;
    double units = 0;
    /// Number of schedulers that share its volume's limit, as far as the client knows.
    double sharers = 1;
    /// A random number from 0 to 1, drawn once on receipt. Where a node in slow start admits
    /// requests with a probability, this one is compared with that probability.
    double admission_draw = 0;
    bool writes = false;
    /// It repeats a request whose answer was already due.
    bool repeated = false;
    Time received_at = 0;
    /// An answer earns its full value until this time.
    Time latency_deadline = 0;
    /// For a recognized repeat the latency deadline of the client's first request, otherwise its
    /// own.
    Time first_latency_deadline = 0;
    /// The latest time at which the scheduler answers the client itself.
    Time answer_deadline = 0;
    RequestStage stage = RequestStage::key_order;
    /// At stage queue: the node in whose queue it waits.
    NodeId node;
    /// The client has its answer or no longer needs one.
    bool ended = false;
    /// The request's units have been taken from its volume's quota share.
    bool quota_charged = false;
    std::vector<Attempt> attempts;

    bool any_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt &attempt) { return attempt.in_flight; });
    }

    bool may_have_executed() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt &attempt) { return !attempt.not_executed; });
    }
};

} // namespace knotvane::scheduling
