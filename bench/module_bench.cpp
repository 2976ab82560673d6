// What a task costs the decisions alone, as more wait: 4 nodes, 100 volumes, a stated number
// waiting. Each round takes one task, ends one shot and settles.
#include <benchmark/benchmark.h>

#include <deque>

#include "scheduling/scheduler.hpp"

using namespace knotvane;

namespace {

struct Sink final : SchedulerActions {
    std::deque<std::pair<RequestId, NodeId>> out;
    std::uint64_t ended = 0;
    void start_attempt(RequestId t, NodeId n, Time) override { out.emplace_back(t, n); }
    void cancel_attempt(RequestId, AttemptId) override {}
    void reject(RequestId, Time) override { ++ended; }
    void fail(RequestId) override { ++ended; }
    void set_timer(TimerId, Time) override {}
    void watch_endpoints() override {}
};

void waiting(benchmark::State &state) {
    Sink did;
    auto s = make_scheduler(did, 1);
    SchedulerConfig config;
    config.max_retry_after = sec;
    config.units = {2, 8, 0.35, 0.08};
    config.attempts = {3, false, true};
    s->configure(config);
    // No request is too late for as long as this runs: what waits stays.
    WorkloadConfig workload;
    workload.latency_objective = 100000 * sec;
    workload.late_value_fraction = 0.1;
    s->set_workload(WorkloadId{0}, workload);
    for (std::uint32_t p = 0; p < 2; ++p)
        s->set_plan(PlanId{p}, {1.0 + p, 100, 50, 1, 0, 0});
    s->start(0);
    s->endpoint_list_begin(0, EndpointListKind::full);
    for (std::uint64_t n = 0; n < 4; ++n)
        s->endpoint_listed(
            {NodeId{n + 1}, ShardId{static_cast<std::int32_t>(n)}, ZoneId{0}, NodeState::ready, 0});
    s->endpoint_list_end();
    Time now = sec;
    std::uint64_t id = 0;
    auto take = [&] {
        ++id;
        RequestInfo request;
        request.id = RequestId{id};
        request.volume = VolumeId{id % 100};
        request.plan = PlanId{static_cast<std::uint32_t>(id % 2)};
        request.shard = ShardId{static_cast<std::int32_t>(id % 4)};
        request.key = KeyId{id};
        request.units = 1 + static_cast<double>(id % 4);
        request.client_timeout = now + 200000 * sec;
        s->request_received(now, request);
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        take();
    s->settle(now);
    for (auto _ : state) {
        now += 100 * us;
        take();
        if (!did.out.empty()) {
            auto [task, node] = did.out.front();
            did.out.pop_front();
            s->attempt_completed(
                now, {task, AttemptId{0}, node, AttemptOutcome::answered, 5 * ms, true});
        }
        s->settle(now);
    }
    state.counters["given up"] = static_cast<double>(did.ended);
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(waiting)->Arg(64)->Arg(512)->Arg(4096);

} // namespace

BENCHMARK_MAIN();
