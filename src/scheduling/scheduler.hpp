/// \file
/// The scheduler's interface: the events that it is given and the actions that it takes.
#pragma once

#include <cstdint>
#include <memory>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/events.hpp"

namespace knotvane {

/// What a scheduler does. Its owner implements this; no call may call the scheduler back.
class SchedulerActions {
public:
    virtual ~SchedulerActions() = default;
    /// Starts the request's next attempt. Attempts of a request are numbered from 0 in the order
    /// of these calls.
    /// @param timeout from now on; 0 leaves it to the owner.
    virtual void start_attempt(RequestId request, NodeId node, Time timeout) = 0;
    /// Ends an attempt in flight. It completes as canceled, or with its outcome if that came first.
    virtual void cancel_attempt(RequestId request, AttemptId attempt) = 0;
    /// Answers the client that nothing was done and that it may ask again.
    virtual void reject(RequestId request, Time retry_after) = 0;
    /// Answers the client with an error: the request may have been executed.
    virtual void fail(RequestId request) = 0;
    /// Asks for timer_expired after a delay; a timer may be set again while it runs.
    virtual void set_timer(TimerId timer, Time delay) = 0;
    /// Asks for the endpoint list and for its changes from then on.
    virtual void watch_endpoints() = 0;
};

/// Decides on requests and attempts: admission, order, placement, retries and rejection.
///
/// Call order: configure, set_workload and set_plan in any order, start; then events in the order
/// in which they happen. Events of one moment end with settle, in which waiting requests are
/// dispatched. An endpoint list comes as endpoint_list_begin, endpoint_listed for each line,
/// endpoint_list_end. Calls never throw on well-formed events; events of unknown requests and
/// attempts are ignored.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /// Called once, before start.
    virtual void configure(const SchedulerConfig &config) = 0;
    /// Called before requests of the workload are received.
    virtual void set_workload(WorkloadId id, const WorkloadConfig &workload) = 0;
    /// May be called again at any time; counts for what comes after.
    virtual void set_plan(PlanId id, const PlanConfig &plan) = 0;
    /// Asks for the endpoint list where it comes on request.
    virtual void start(Time now) = 0;

    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    /// A node as the list has it now.
    virtual void endpoint_listed(const Endpoint &endpoint) = 0;
    /// The list counts from now on: what waits at nodes that aren't ready is placed anew.
    virtual void endpoint_list_end() = 0;
    /// The list that was asked for couldn't be had; it is asked for again later.
    virtual void endpoint_list_failed(Time now) = 0;

    /// This scheduler's share of a volume's limit is one over `sharers` from now on, infinity for
    /// no share yet; who grants the shares sees to it that they never add past the whole. Until
    /// the first call for a volume RequestInfo::sharers counts.
    virtual void quota_share_changed(Time /*now*/, VolumeId, double /*sharers*/) {}

    /// A client's request. It ends with one of reject, fail, an attempt that answers the client,
    /// and request_canceled.
    virtual void request_received(Time now, const RequestInfo &request) = 0;
    /// Each attempt that was started completes once.
    virtual void attempt_completed(Time now, const AttemptResult &result) = 0;
    /// The request needs no answer any more.
    virtual void request_canceled(Time now, RequestId request, CancelReason reason) = 0;
    /// Whether an attempt that was started but not yet sent may still be sent. One that may not
    /// completes as not_sent.
    virtual bool may_send_attempt(Time /*now*/, RequestId, AttemptId) const { return true; }

    /// What is due is decided at the settle that follows.
    virtual void timer_expired(Time now, TimerId timer) = 0;
    /// Ends a moment: decides what is due and dispatches.
    virtual void settle(Time now) = 0;
};

/// @param actions must outlive the scheduler.
/// @param seed of all random choices.
std::unique_ptr<Scheduler> make_scheduler(SchedulerActions &actions, std::uint64_t seed);

} // namespace knotvane
