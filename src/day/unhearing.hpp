// A scheduler that makes nothing of what it is told: what stands in for the decisions overrides
// what it needs.
#pragma once

#include "scheduling/scheduler.hpp"

namespace knotvane::day {

class Unhearing : public Scheduler {
public:
    void set_place(PeerId, std::uint32_t, ZoneId) override {}
    void set_clock(Time, Time) override {}
    void add_workload(WorkloadId, Time, Time, double, double) override {}
    void set_repeat(WorkloadId, Idempotency, DeduplicationScope, Time) override {}
    void set_turns(WorkloadId, Time) override {}
    void add_plan(PlanId, double, double, double, double) override {}
    void set_limit(PlanId, double, double) override {}
    void set_units(double, double, double, double) override {}
    void set_shots(std::uint32_t, bool, bool) override {}
    void set_further_shots(double, double, Time) override {}
    void set_denials(Time) override {}
    void set_clients(bool) override {}
    void set_list(bool, Time, Time) override {}
    void set_cold(double, Time, Time, double) override {}
    void ready(Time) override {}
    void endpoint_list_begin(Time, EndpointListKind) override {}
    void endpoint_listed(NodeId, ShardId, ZoneId, NodeState, Time) override {}
    void endpoint_list_end() override {}
    void endpoint_list_failed(Time) override {}
    void request_received(Time, RequestId, WorkloadId, VolumeId, PlanId, ShardId, KeyId, double, double,
                    bool, bool, Time) override {}
    void attempt_completed(Time, RequestId, AttemptId, NodeId, AttemptOutcome, Time, bool, double, double,
                    std::span<const float>) override {}
    void request_canceled(Time, RequestId, bool) override {}
    void alarm(Time, TimerId) override {}
    void settle(Time) override {}
};

} // namespace knotvane::day
