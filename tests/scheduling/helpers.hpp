// What the tests share: actions written down, and a scheduler set up by hand.
#pragma once

#include <string>
#include <vector>

#include "scheduling/scheduler.hpp"

namespace knotvane {

// Writes each action down as a line, in order.
struct Written final : SchedulerActions {
    std::vector<std::string> lines;
    void put(std::string s) { lines.push_back(std::move(s)); }
    void start_attempt(RequestId t, NodeId n, Time) override {
        put("shoot " + std::to_string(t.value) + " " + std::to_string(n.value));
    }
    void cancel_attempt(RequestId t, AttemptId) override {
        put("call_off " + std::to_string(t.value));
    }
    void reject(RequestId t, Time) override { put("deny " + std::to_string(t.value)); }
    void fail(RequestId t) override { put("error " + std::to_string(t.value)); }
    void set_timer(TimerId, Time) override {}
    void watch_endpoints() override { put("follow"); }
    std::size_t count(const std::string &start) const {
        std::size_t n = 0;
        for (const auto &l : lines)
            n += l.starts_with(start);
        return n;
    }
};

// One of two schedulers before two nodes, with one plain workload (0) and one plan (0); tests
// change what they need.
struct Bench {
    Written did;
    std::unique_ptr<Scheduler> s = make_scheduler(did, 7);
    SchedulerConfig config;
    Bench() {
        config.scheduler_count = 2;
        config.time_step = 2 * ms;
        config.units = {2, 8, 0.3, 0.05};
        config.attempts = {3, false, false};
        config.slow_start = {32, 2 * sec, 10 * sec, 0.25};
        s->configure(config);
        s->set_workload(WorkloadId{0}, workload());
        s->set_plan(PlanId{0}, {1, 10, 0, 1, 0, 0});
    }
    static WorkloadConfig workload(Time latency_objective = 500 * ms) {
        WorkloadConfig w;
        w.latency_objective = latency_objective;
        w.late_value_fraction = 0.1;
        return w;
    }
    void list(Time now, NodeState first = NodeState::ready, Time first_started = 0) {
        s->endpoint_list_begin(now, EndpointListKind::full);
        s->endpoint_listed({NodeId{1}, ShardId{1}, ZoneId{0}, first, first_started});
        s->endpoint_listed({NodeId{2}, ShardId{2}, ZoneId{0}, NodeState::ready, 0});
        s->endpoint_list_end();
    }
    void task(Time now, std::uint64_t id, int shard = 1, std::uint64_t key = 0, double units = 2) {
        RequestInfo request;
        request.id = RequestId{id};
        request.volume = VolumeId{5};
        request.shard = ShardId{shard};
        request.key = KeyId{key};
        request.units = units;
        request.sharers = 2;
        request.client_timeout = now + 2 * sec;
        s->request_received(now, request);
    }
    void outcome(Time now, std::uint64_t id, AttemptOutcome how, Time took = 10 * ms,
                 std::uint32_t shot = 0) {
        s->attempt_completed(now, {RequestId{id}, AttemptId{shot}, NodeId{1}, how, took,
                                   how == AttemptOutcome::answered});
    }
};

} // namespace knotvane
