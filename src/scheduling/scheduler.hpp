/// \file
/// The scheduler's interface: the events that are passed to it and the actions that it takes.
#pragma once

#include <cstdint>
#include <memory>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/events.hpp"

namespace knotvane {

/// The actions of a scheduler. Its owner implements this interface; an implementation must not
/// call the scheduler.
class SchedulerActions {
public:
    virtual ~SchedulerActions() = default;
    /// Starts the request's next attempt. Attempts of a request are numbered from 0 in the order
    /// of these calls.
    /// @param timeout counted from this call; 0 leaves the timeout to the owner.
    virtual void start_attempt(RequestId request, NodeId node, Time timeout) = 0;
    /// Ends an attempt in flight. attempt_completed still follows: with the outcome canceled, or
    /// with the attempt's own outcome if that came first.
    virtual void cancel_attempt(RequestId request, AttemptId attempt) = 0;
    /// Answers the client that the request has no result and that it is safe to send it again.
    /// @param retry_after how long the client should wait before that.
    virtual void reject(RequestId request, Time retry_after) = 0;
    /// Answers the client with an error; the request may have been executed.
    virtual void fail(RequestId request) = 0;
    /// Requests a call of timer_expired after `delay`. A timer may be set again while it is
    /// running.
    virtual void set_timer(TimerId timer, Time delay) = 0;
    /// Requests the endpoint list now and updates whenever it changes.
    virtual void watch_endpoints() = 0;
};

/// Decides on requests and attempts: admission, order, placement, retries and rejection.
///
/// Call order: configure, set_workload and set_plan in any order, then start, then events in the
/// order in which they happen. After the events of one moment the owner calls settle, which
/// dispatches waiting requests. An endpoint list is passed as endpoint_list_begin, endpoint_listed
/// for each entry, and endpoint_list_end. Calls never throw on well-formed events; events for
/// unknown requests and attempts are ignored.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /// Called once, before start.
    virtual void configure(const SchedulerConfig &config) = 0;
    /// Called before any request of the workload is received.
    virtual void set_workload(WorkloadId id, const WorkloadConfig &workload) = 0;
    /// Sets or changes a plan. May be called at any time; decisions already made stay.
    virtual void set_plan(PlanId id, const PlanConfig &plan) = 0;
    /// Starts the scheduler. It requests the endpoint list if that is not pushed.
    virtual void start(Time now) = 0;

    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    /// One entry of the list: a node and its current state.
    virtual void endpoint_listed(const Endpoint &endpoint) = 0;
    /// The list is complete and takes effect: requests that wait at nodes that aren't ready are
    /// assigned to other nodes.
    virtual void endpoint_list_end() = 0;
    /// The requested list could not be obtained. The scheduler requests it again later.
    virtual void endpoint_list_failed(Time now) = 0;

    /// Sets this scheduler's share of a volume's limit to 1 / `sharers`. Before the first call for
    /// a volume RequestInfo::sharers is used instead.
    /// @param sharers infinity for no share yet. The caller ensures that the shares of all
    ///     schedulers never add up to more than the whole limit.
    virtual void quota_share_changed(Time /*now*/, VolumeId, double /*sharers*/) {}

    /// A client's request. It ends in one of these ways: reject, fail, an attempt that answers the
    /// client, or request_canceled.
    virtual void request_received(Time now, const RequestInfo &request) = 0;
    /// Called exactly once for each attempt that was started.
    virtual void attempt_completed(Time now, const AttemptResult &result) = 0;
    /// The request no longer needs an answer.
    virtual void request_canceled(Time now, RequestId request, CancelReason reason) = 0;
    /// @return whether an attempt that was started but not yet sent may still be sent. If not, the
    ///     owner completes it as not_sent.
    virtual bool may_send_attempt(Time /*now*/, RequestId, AttemptId) const { return true; }

    /// A timer has expired. Whatever is due is handled in the settle that follows.
    virtual void timer_expired(Time now, TimerId timer) = 0;
    /// Called after the last event of a moment: handles what is due and dispatches waiting
    /// requests.
    virtual void settle(Time now) = 0;

    /// @return the number of nodes whose state is kept, for the log; 0 if there is no such state.
    virtual std::size_t node_count() const { return 0; }
};

/// Creates a scheduler.
/// @param actions must outlive the scheduler.
/// @param seed of the generator for all random choices.
std::unique_ptr<Scheduler> make_scheduler(SchedulerActions &actions, std::uint64_t seed);

} // namespace knotvane
