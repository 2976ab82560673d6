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
    void error(RequestId) override { ++ended; }
    void set_timer(TimerId, Time) override {}
    void watch_endpoints() override {}
    void ask_list() override {}
    void probe(NodeId) override {}
    void tell_all(std::string_view) override {}
    void note(std::string_view) override {}
};

void waiting(benchmark::State &state) {
    Sink did;
    auto s = make_scheduler(did, 1);
    s->set_place(PeerId{0}, 1, ZoneId{0});
    s->set_clock(ms, 0);
    // No task is too late for as long as this runs: what waits stays.
    s->add_workload(WorkloadId{0}, 100000 * sec, 200000 * sec, 1, 0.1);
    for (std::uint32_t p = 0; p < 2; ++p)
        s->add_plan(PlanId{p}, 1 + p, 100, 50, 1);
    s->set_units(2, 8, 0.35, 0.08);
    s->set_shots(3, false, true);
    s->set_denials(sec);
    s->set_list(false, 0, 250 * ms);
    s->set_cold(0, 0, 0, 1);
    s->ready(0);
    s->endpoint_list_begin(0, EndpointListKind::full);
    for (std::uint64_t n = 0; n < 4; ++n)
        s->endpoint_listed(NodeId{n + 1}, ShardId{static_cast<std::int32_t>(n)}, ZoneId{0},
                       NodeState::ready, 0);
    s->endpoint_list_end();
    Time now = sec;
    std::uint64_t id = 0;
    auto take = [&] {
        ++id;
        s->request_received(now, RequestId{id}, WorkloadId{0}, VolumeId{id % 100},
                      PlanId{static_cast<std::uint32_t>(id % 2)},
                      ShardId{static_cast<std::int32_t>(id % 4)}, KeyId{id},
                      1 + static_cast<double>(id % 4), 1, false, false, now + 200000 * sec);
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
            s->attempt_completed(now, task, AttemptId{0}, node, AttemptOutcome::answered, 5 * ms, true, -1, 0, {});
        }
        s->settle(now);
    }
    state.counters["given up"] = static_cast<double>(did.ended);
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(waiting)->Arg(64)->Arg(512)->Arg(4096);

} // namespace

BENCHMARK_MAIN();
