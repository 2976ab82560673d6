// Admission: very many connections and requests keep memory under its bound, and all are answered.
#include <doctest/doctest.h>

#include "day/no_op_scheduler.hpp"
#include "edge/core.hpp"
#include "load/session.hpp"
#include "nbd/wire.hpp"

using namespace knotvane;

namespace {

// A shell that lets nothing out: no node answers, clients read or not as the test says.
struct ClosedShell final : edge::Shell {
    std::map<edge::ClientId, std::size_t> sent;
    std::set<edge::ClientId> held;
    void connect(edge::NodeConnectionId, const std::string &) override {}
    void send(edge::NodeConnectionId, std::string) override {}
    void close(edge::NodeConnectionId) override {}
    void send_client(edge::ClientId c, std::string b) override { sent[c] += b.size(); }
    void close_client(edge::ClientId) override {}
    void pause_client(edge::ClientId c, bool h) override {
        if (h)
            held.insert(c);
        else
            held.erase(c);
    }
    void log_event(std::string) override {}
    void attempt_completed(RequestId, NodeId, AttemptOutcome, Time) override {}
};
struct IgnoredReplies final : load::Replies {
    void opened(std::uint64_t, std::uint16_t) override {}
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t, std::uint32_t, std::string_view) override {}
    void broken(std::string_view) override {}
};

} // namespace

// No node answers and clients send without end. Reading from them must stop at the bound on
// buffered bytes, and start again once their requests have failed.
TEST_CASE("256 connections of 128 writes each stay under the stated bound, and end") {
    constexpr std::size_t most_bytes = 8 << 20, connections = 256, each = 128, size = 16384;
    ClosedShell shell;
    edge::Core core(
        shell, [](SchedulerActions &a) { return make_scheduler(a, 1); },
        edge::CoreConfig{0, 1, 256 << 10, 64 << 10, 64 << 10, {ShardId{0}}});
    auto &s = core.scheduler();
    SchedulerConfig config;
    config.max_retry_after = sec;
    config.units = {2, 5, 1, 1};
    config.attempts = {3, false, true};
    s.configure(config);
    s.set_plan(PlanId{0}, {1, 100, 0, 1, 0, 0});
    for (std::uint32_t i = 0; i < 5; ++i) {
        WorkloadConfig workload;
        workload.latency_objective = sec;
        workload.deduplication_scope = DeduplicationScope::shard;
        s.set_workload(WorkloadId{i}, workload);
        core.add_workload({WorkloadId{i}, static_cast<edge::Command>(i), ~0u, "", 2 * sec, 0});
    }
    core.set_admission_limits({each, 1 << 20, 1 << 20, most_bytes});
    core.add_volume(VolumeId{1}, {"v", 64 << 20, 512, PlanId{0}, 1});
    core.start(0);
    IgnoredReplies replies;
    std::string request;
    std::size_t most = 0;
    for (std::uint64_t c = 1; c <= connections; ++c) {
        core.client_connected(0, edge::ClientId{c});
        load::Session session(replies, "v", true);
        std::string hello;
        nbd::put(hello, std::uint32_t{3});
        nbd::put(hello, nbd::option_magic);
        nbd::put(hello, nbd::opt_export_name);
        nbd::put(hello, std::uint32_t{1});
        core.client_received(0, edge::ClientId{c}, hello + "v");
        for (std::uint64_t i = 0; i < each; ++i) {
            core.settle(0);
            if (shell.held.contains(edge::ClientId{c}))
                break; // its socket is not read
            session.ask(nbd::cmd_write, 0, i, (c * each + i) * size % (32 << 20), size,
                        std::string(size, 'x'));
            core.client_received(0, edge::ClientId{c}, session.take_out());
            most = std::max(most, core.buffered_bytes());
        }
    }
    core.settle(0);
    CHECK(shell.held.size() == connections);
    // One request beyond the bound at most: the one that reached it.
    CHECK(most <= most_bytes + size);
    CHECK(core.scheduled_requests() * size <= most_bytes + size);
    // No node is listed: each request fails in its time, and clients are read from again.
    for (Time t = 0; t <= 4 * sec; t += 5 * ms)
        core.settle(t);
    CHECK(core.scheduled_requests() == 0);
    CHECK(shell.held.empty());
}
// One program with many requests in flight ends. The scheduler learns from disconnects how long
// clients wait: it must count one client, not nine.
TEST_CASE("a client that leaves is reported to the scheduler once, however much it had at work") {
    struct Counting final : day::NoOpScheduler {
        int left = 0, others = 0;
        void request_canceled(Time, RequestId, CancelReason reason) override {
            ++(reason == CancelReason::client_disconnected ? left : others);
        }
    };
    ClosedShell shell;
    Counting *counted = nullptr;
    edge::Core core(
        shell,
        [&](SchedulerActions &) {
            auto made = std::make_unique<Counting>();
            counted = made.get();
            return made;
        },
        edge::CoreConfig{0, 1, 256 << 10, 64 << 10, 64 << 10, {ShardId{0}}});
    core.add_workload({WorkloadId{0}, edge::Command::read, ~0u, "", sec, 0});
    core.add_volume(VolumeId{1}, {"v", 64 << 20, 512, PlanId{0}, 1});
    core.start(0);
    core.client_connected(0, edge::ClientId{1});
    std::string hello;
    nbd::put(hello, std::uint32_t{3});
    nbd::put(hello, nbd::option_magic);
    nbd::put(hello, nbd::opt_export_name);
    nbd::put(hello, std::uint32_t{1});
    IgnoredReplies replies;
    load::Session session(replies, "v", true);
    for (std::uint64_t i = 0; i < 9; ++i)
        session.ask(nbd::cmd_read, 0, i, i * 4096, 4096);
    core.client_received(0, edge::ClientId{1}, hello + "v" + session.take_out());
    core.client_disconnected(ms, edge::ClientId{1});
    CHECK(counted->left == 1);
    CHECK(counted->others == 8);
}
