// Measures the time that the scheduler needs per request while many requests wait: 4 nodes, 100
// volumes, and the number of waiting requests as argument. Each iteration receives one request,
// completes one attempt and calls settle.
#include <benchmark/benchmark.h>

#include <deque>

#include "scheduling/scheduler.hpp"

using namespace knotvane;

namespace {

// Keeps started attempts until they are completed, and counts requests that were given up.
struct QueuedActions final : SchedulerActions {
    std::deque<std::pair<RequestId, NodeId>> attempts_in_flight;
    std::uint64_t given_up = 0;
    void start_attempt(RequestId request, NodeId node, Time) override {
        attempts_in_flight.emplace_back(request, node);
    }
    void cancel_attempt(RequestId, AttemptId) override {}
    void reject(RequestId, Time) override { ++given_up; }
    void fail(RequestId) override { ++given_up; }
    void set_timer(TimerId, Time) override {}
    void watch_endpoints() override {}
};

void settle_with_waiting_requests(benchmark::State &state) {
    QueuedActions actions;
    auto scheduler = make_scheduler(actions, 1);
    SchedulerConfig config;
    config.max_retry_after = sec;
    config.units = {2, 8, 0.35, 0.08};
    config.attempts = {3, false, true};
    scheduler->configure(config);
    // The latency objective is longer than the benchmark runs, so that no waiting request is shed.
    WorkloadConfig workload;
    workload.latency_objective = 100000 * sec;
    workload.late_value_fraction = 0.1;
    scheduler->set_workload(WorkloadId{0}, workload);
    for (std::uint32_t plan = 0; plan < 2; ++plan)
        scheduler->set_plan(PlanId{plan}, {1.0 + plan, 100, 50, 1, 0, 0});
    scheduler->start(0);
    scheduler->endpoint_list_begin(0, EndpointListKind::full);
    for (std::uint64_t node = 0; node < 4; ++node)
        scheduler->endpoint_listed({NodeId{node + 1}, ShardId{static_cast<std::int32_t>(node)},
                                    ZoneId{0}, NodeState::ready, 0});
    scheduler->endpoint_list_end();
    Time now = sec;
    std::uint64_t id = 0;
    auto receive_request = [&] {
        ++id;
        RequestInfo request;
        request.id = RequestId{id};
        request.volume = VolumeId{id % 100};
        request.plan = PlanId{static_cast<std::uint32_t>(id % 2)};
        request.shard = ShardId{static_cast<std::int32_t>(id % 4)};
        request.key = KeyId{id};
        request.units = 1 + static_cast<double>(id % 4);
        request.client_timeout = now + 200000 * sec;
        scheduler->request_received(now, request);
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        receive_request();
    scheduler->settle(now);
    for (auto _ : state) {
        now += 100 * us;
        receive_request();
        if (!actions.attempts_in_flight.empty()) {
            auto [request, node] = actions.attempts_in_flight.front();
            actions.attempts_in_flight.pop_front();
            scheduler->attempt_completed(
                now, {request, AttemptId{0}, node, AttemptOutcome::answered, 5 * ms, true});
        }
        scheduler->settle(now);
    }
    state.counters["given up"] = static_cast<double>(actions.given_up);
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(settle_with_waiting_requests)->Name("waiting")->Arg(64)->Arg(512)->Arg(4096);

} // namespace

BENCHMARK_MAIN();
