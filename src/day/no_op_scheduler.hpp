// A scheduler that ignores every event. Base class of schedulers that override only a few calls.
#pragma once

#include "scheduling/scheduler.hpp"

namespace knotvane::day {

class NoOpScheduler : public Scheduler {
public:
    void configure(const SchedulerConfig &) override {}
    void set_workload(WorkloadId, const WorkloadConfig &) override {}
    void set_plan(PlanId, const PlanConfig &) override {}
    void start(Time) override {}
    void endpoint_list_begin(Time, EndpointListKind) override {}
    void endpoint_listed(const Endpoint &) override {}
    void endpoint_list_end() override {}
    void endpoint_list_failed(Time) override {}
    void request_received(Time, const RequestInfo &) override {}
    void attempt_completed(Time, const AttemptResult &) override {}
    void request_canceled(Time, RequestId, CancelReason) override {}
    void timer_expired(Time, TimerId) override {}
    void settle(Time) override {}
};

} // namespace knotvane::day
