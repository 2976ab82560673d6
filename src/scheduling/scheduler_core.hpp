/// \file
/// The scheduler: applies the rules of this package to each request in turn.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "scheduling/early_disconnects.hpp"
#include "scheduling/endpoint_list_poll.hpp"
#include "scheduling/key_order.hpp"
#include "scheduling/latency_estimate.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/node_table.hpp"
#include "scheduling/plan_table.hpp"
#include "scheduling/quota_shares.hpp"
#include "scheduling/random.hpp"
#include "scheduling/repeat_detector.hpp"
#include "scheduling/request_table.hpp"
#include "scheduling/retry_budget.hpp"
#include "scheduling/retry_policy.hpp"
#include "scheduling/scheduler.hpp"
#include "scheduling/slow_start.hpp"
#include "scheduling/time_limits.hpp"
#include "scheduling/volume_retention.hpp"
#include "scheduling/windowed_sum.hpp"

namespace knotvane::scheduling {

/// The steps of a request, from its receipt to its answer:
///
///     request_received          set deadlines, detect repeats     (repeat_detector)
///     settle -> advance         wait for its key's turn           (key_order)
///                               take units of its volume's limit  (quota_share)
///                               choose a node that is ready       (node_table, placement)
///                               enqueue
///     settle -> dispatch        update the node's health          (node_health)
///                               shed requests that would be late  (load_shedding)
///                               select the next volume            (fair_queue, budget_feedback)
///                               check that a retry is allowed     (retry_policy, retry_budget)
///                               check the node's capacity         (concurrency_window,
///                                                                  overload_backoff, slow_start)
///                               start_attempt
///     attempt_completed         update the node's record          (attempt_outcome)
///                               client answered: finish
///                               not answered: retry_or_give_up
///
/// A request that can't proceed waits at its stage. It is given up no later than its answer
/// deadline: rejected with a Retry-After, or failed if a repeat by the client could take effect
/// twice.
class RequestScheduler final : public Scheduler {
public:
    /// @param actions must outlive the scheduler.
    /// @param seed of the generator for all random choices.
    RequestScheduler(SchedulerActions &actions, std::uint64_t seed);

    void configure(const SchedulerConfig &config) override;
    void set_workload(WorkloadId id, const WorkloadConfig &workload) override;
    void set_plan(PlanId id, const PlanConfig &plan) override;
    void start(Time now) override;

    void endpoint_list_begin(Time now, EndpointListKind kind) override;
    void endpoint_listed(const Endpoint &endpoint) override;
    void endpoint_list_end() override;
    void endpoint_list_failed(Time now) override;

    void quota_share_changed(Time now, VolumeId volume, double sharers) override;

    void request_received(Time now, const RequestInfo &info) override;
    void attempt_completed(Time now, const AttemptResult &result) override;
    void request_canceled(Time now, RequestId id, CancelReason reason) override;
    bool may_send_attempt(Time now, RequestId id, AttemptId attempt) const override;

    void timer_expired(Time now, TimerId timer) override;
    void settle(Time now) override;

    std::size_t node_count() const override { return nodes_.size(); }

private:
    // From a request's receipt to the start of its attempt.
    void advance(Request &request);
    QuotaDecision take_quota(Request &request);
    void enqueue(NodeRecord &node, Request &request);
    void dispatch(NodeRecord &node);
    void shed_load(NodeRecord &node);
    bool has_capacity(NodeRecord &node, const Request &request);
    void start_attempt(NodeRecord &node, Request &request);

    // From an attempt's outcome to the answer of the request.
    void retry_or_give_up(Request &request);
    bool may_retry(const Request &request, const NodeRecord &node);
    void give_up(Request &request, Time retry_after);
    void give_up_overdue();
    void finish(Request &request);
    void leave_queue(Request &request);
    void erase_if_done(Request &request);

    // Queries used by the steps above.
    bool is_ordered(const Request &request);
    QueueRank rank_of(const Request &request);
    double relative_value(const NodeRecord &node);
    RepeatTarget repeat_target(const NodeRecord &node, Time now) const;
    Time delivery_margin() const;

    void requeue_waiting_requests(const NodeRecord &node);
    void watch_endpoints(Time now);
    void set_timer();

    SchedulerActions &actions_;
    RandomGenerator random_;
    // Defaults are already filled in.
    SchedulerConfig config_;
    std::map<WorkloadId, WorkloadConfig> workloads_;
    PlanTable plans_;

    Time now_ = 0;
    Time started_at_ = 0;
    Time timer_due_ = never;

    EndpointListPoll endpoint_list_poll_;
    NodeTable nodes_;
    // Nodes with requests waiting or attempts in flight.
    std::set<NodeId> busy_nodes_;
    SlowStart slow_start_;
    TypicalUnitTime typical_unit_time_;

    RequestTable requests_;
    KeyOrder key_order_;
    QuotaShares quota_shares_;
    std::map<VolumeId, WindowedSum> requested_units_;
    VolumeRetention volume_retention_;
    RetryBudget retry_budget_;
    EarlyDisconnects early_disconnects_;
    RepeatDetector repeat_detector_;
};

} // namespace knotvane::scheduling
