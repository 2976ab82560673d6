/// \file
/// Shared by this package's tests: recorded actions, and a scheduler configured for tests.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "scheduling/scheduler.hpp"

namespace knotvane::scheduling {

/// Records each action as a line of text, in the order of the calls; timers are kept separately.
struct RecordedActions final : SchedulerActions {
    std::vector<std::string> lines;
    /// Delays passed to set_timer.
    std::vector<Time> timer_delays;

    void start_attempt(RequestId request, NodeId node, Time /*timeout*/) override {
        record("start " + std::to_string(request.value) + " " + std::to_string(node.value));
    }

    void cancel_attempt(RequestId request, AttemptId /*attempt*/) override {
        record("cancel " + std::to_string(request.value));
    }

    void reject(RequestId request, Time /*retry_after*/) override {
        record("reject " + std::to_string(request.value));
    }

    void fail(RequestId request) override { record("fail " + std::to_string(request.value)); }

    void set_timer(TimerId /*timer*/, Time delay) override { timer_delays.push_back(delay); }

    void watch_endpoints() override { record("watch"); }

    /// @return the number of lines that begin with `prefix`.
    std::size_t count(const std::string &prefix) const {
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(),
                          [&](const std::string &line) { return line.starts_with(prefix); }));
    }

private:
    void record(std::string line) { lines.push_back(std::move(line)); }
};

/// One of two schedulers that share two nodes, with one idempotent workload (0) and one plan (0).
/// Tests change the configuration where they need another one.
struct SchedulerFixture {
    RecordedActions actions;
    std::unique_ptr<Scheduler> scheduler = make_scheduler(actions, 7);
    SchedulerConfig config;

    SchedulerFixture() {
        config.scheduler_count = 2;
        config.time_step = 2 * ms;
        config.units = {2, 8, 0.3, 0.05};
        config.attempts = {3, false, false};
        config.slow_start = {32, 2 * sec, 10 * sec, 0.25};
        scheduler->configure(config);
        scheduler->set_workload(WorkloadId{0}, workload());
        scheduler->set_plan(PlanId{0}, {1, 10, 0, 1, 0, 0});
    }

    static WorkloadConfig workload(Time latency_objective = 500 * ms) {
        WorkloadConfig config;
        config.latency_objective = latency_objective;
        config.late_value_fraction = 0.1;
        return config;
    }

    /// Passes a full endpoint list with nodes 1 and 2, each of which holds the shard of its number.
    /// @param first_state and `first_started_at` are those of node 1.
    void list_endpoints(Time now, NodeState first_state = NodeState::ready,
                        Time first_started_at = 0) const {
        scheduler->endpoint_list_begin(now, EndpointListKind::full);
        scheduler->endpoint_listed(
            {NodeId{1}, ShardId{1}, ZoneId{0}, first_state, first_started_at});
        scheduler->endpoint_listed({NodeId{2}, ShardId{2}, ZoneId{0}, NodeState::ready, 0});
        scheduler->endpoint_list_end();
    }

    /// Passes a request for volume 5 whose client waits for two seconds.
    void receive(Time now, std::uint64_t id, int shard = 1, std::uint64_t key = 0,
                 double units = 2) const {
        RequestInfo request;
        request.id = RequestId{id};
        request.volume = VolumeId{5};
        request.shard = ShardId{shard};
        request.key = KeyId{key};
        request.units = units;
        request.sharers = 2;
        request.client_timeout = now + 2 * sec;
        scheduler->request_received(now, request);
    }

    /// Passes the end of an attempt at node 1; the outcome answered also answers the client.
    void complete(Time now, std::uint64_t id, AttemptOutcome outcome, Time duration = 10 * ms,
                  std::uint32_t attempt = 0) const {
        scheduler->attempt_completed(now, {RequestId{id}, AttemptId{attempt}, NodeId{1}, outcome,
                                           duration, outcome == AttemptOutcome::answered});
    }
};

} // namespace knotvane::scheduling
