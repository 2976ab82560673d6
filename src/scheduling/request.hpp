/// \file
/// What a scheduler keeps of a request and of its attempts.
#pragma once

#include <algorithm>
#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"

namespace knotvane::scheduling {

/// A node and the deduplication scopes that it belongs to.
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
    /// Its outcome proves that the node did not execute it.
    bool not_executed = false;
};

/// What a request waits for, in the order in which it passes the stages.
enum class RequestStage {
    key_order, ///< Earlier requests of its key.
    quota,     ///< Units of its volume's limit.
    placement, ///< A node that is ready.
    queue,     ///< Its service in the node's fair queue.
    attempt    ///< The outcome of an attempt.
};

/// A client's request until it has its answer and no attempt in flight.
struct Request {
    RequestId id;
    WorkloadId workload;
    VolumeId volume;
    PlanId plan;
    ShardId shard;
    KeyId key;
    double units = 0;
    /// Schedulers that share its volume's limit, as far as the client knows.
    double sharers = 1;
    /// Drawn for it, 0 to 1: the chance of admission to a node in slow start that lets it in.
    double admission_draw = 0;
    bool writes = false;
    /// It repeats a request whose answer was due already.
    bool repeated = false;
    Time received_at = 0;
    /// Until when an answer earns its full value.
    Time latency_deadline = 0;
    /// The latency deadline of the client's first request, where this one is known to repeat it.
    Time first_latency_deadline = 0;
    /// Its final answer leaves at this time at the latest.
    Time answer_deadline = 0;
    RequestStage stage = RequestStage::key_order;
    /// Whose queue it waits in, at stage queue.
    NodeId node;
    /// It has its answer, or needs none any more.
    bool ended = false;
    /// Its volume's quota has been charged.
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
