// Admission control of edge::Core: buffered bytes stay under the limit with many connections and
// requests, and every request is answered.
#include <doctest/doctest.h>

#include "day/no_op_scheduler.hpp"
#include "edge/core.hpp"
#include "load/session.hpp"
#include "nbd/wire.hpp"

using namespace knotvane;

namespace {

// A shell without I/O: no node replies. Counts the bytes sent to clients and notes paused clients.
struct OfflineShell final : edge::Shell {
    std::map<edge::ClientId, std::size_t> sent;
    std::set<edge::ClientId> paused;
    void connect(edge::NodeConnectionId, const std::string &) override {}
    void send(edge::NodeConnectionId, std::string) override {}
    void close(edge::NodeConnectionId) override {}
    void send_client(edge::ClientId client, std::string data) override {
        sent[client] += data.size();
    }
    void close_client(edge::ClientId) override {}
    void pause_client(edge::ClientId client, bool pause) override {
        if (pause)
            paused.insert(client);
        else
            paused.erase(client);
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

// Clients keep sending while no node replies. The edge must stop reading from them at the limit of
// buffered bytes and resume once their requests have failed.
TEST_CASE("256 connections with 128 writes each stay under the buffer limit, and all "
          "requests end") {
    constexpr std::size_t limit_bytes = 8 << 20, connections = 256, requests_each = 128,
                          size = 16384;
    OfflineShell shell;
    edge::Core core(
        shell, [](SchedulerActions &a) { return make_scheduler(a, 1); },
        edge::CoreConfig{0, 1, 256 << 10, 64 << 10, 64 << 10, {ShardId{0}}});
    auto &scheduler = core.scheduler();
    SchedulerConfig config;
    config.max_retry_after = sec;
    config.units = {2, 5, 1, 1};
    config.attempts = {3, false, true};
    scheduler.configure(config);
    scheduler.set_plan(PlanId{0}, {1, 100, 0, 1, 0, 0});
    for (std::uint32_t i = 0; i < 5; ++i) {
        WorkloadConfig workload;
        workload.latency_objective = sec;
        workload.deduplication_scope = DeduplicationScope::shard;
        scheduler.set_workload(WorkloadId{i}, workload);
        core.add_workload({WorkloadId{i}, static_cast<edge::Command>(i), ~0u, "", 2 * sec, 0});
    }
    core.set_admission_limits({requests_each, 1 << 20, 1 << 20, limit_bytes});
    core.add_volume(VolumeId{1}, {"v", 64 << 20, 512, PlanId{0}, 1});
    core.start(0);
    IgnoredReplies replies;
    std::string request;
    std::size_t peak_bytes = 0;
    for (std::uint64_t c = 1; c <= connections; ++c) {
        core.client_connected(0, edge::ClientId{c});
        load::Session session(replies, "v", true);
        std::string export_name_option;
        nbd::put(export_name_option, std::uint32_t{3});
        nbd::put(export_name_option, nbd::option_magic);
        nbd::put(export_name_option, nbd::opt_export_name);
        nbd::put(export_name_option, std::uint32_t{1});
        core.client_received(0, edge::ClientId{c}, export_name_option + "v");
        for (std::uint64_t i = 0; i < requests_each; ++i) {
            core.settle(0);
            if (shell.paused.contains(edge::ClientId{c}))
                break; // reading from this client is paused
            session.ask(nbd::cmd_write, 0, i, (c * requests_each + i) * size % (32 << 20), size,
                        std::string(size, 'x'));
            core.client_received(0, edge::ClientId{c}, session.take_out());
            peak_bytes = std::max(peak_bytes, core.buffered_bytes());
        }
    }
    core.settle(0);
    CHECK(shell.paused.size() == connections);
    // The request that reaches the limit may exceed it.
    CHECK(peak_bytes <= limit_bytes + size);
    CHECK(core.scheduled_requests() * size <= limit_bytes + size);
    // No node is listed: every request fails at its timeout, and reading from clients resumes.
    for (Time t = 0; t <= 4 * sec; t += 5 * ms)
        core.settle(t);
    CHECK(core.scheduled_requests() == 0);
    CHECK(shell.paused.empty());
}
// The scheduler estimates from disconnects how long clients wait. A client that disconnects with
// nine requests in flight must count once, not nine times.
TEST_CASE("a disconnect is reported to the scheduler once, however many requests were in flight") {
    struct CancellationCounter final : day::NoOpScheduler {
        int disconnects = 0, others = 0;
        void request_canceled(Time, RequestId, CancelReason reason) override {
            ++(reason == CancelReason::client_disconnected ? disconnects : others);
        }
    };
    OfflineShell shell;
    CancellationCounter *counter = nullptr;
    edge::Core core(
        shell,
        [&](SchedulerActions &) {
            auto scheduler = std::make_unique<CancellationCounter>();
            counter = scheduler.get();
            return scheduler;
        },
        edge::CoreConfig{0, 1, 256 << 10, 64 << 10, 64 << 10, {ShardId{0}}});
    core.add_workload({WorkloadId{0}, edge::Command::read, ~0u, "", sec, 0});
    core.add_volume(VolumeId{1}, {"v", 64 << 20, 512, PlanId{0}, 1});
    core.start(0);
    core.client_connected(0, edge::ClientId{1});
    std::string export_name_option;
    nbd::put(export_name_option, std::uint32_t{3});
    nbd::put(export_name_option, nbd::option_magic);
    nbd::put(export_name_option, nbd::opt_export_name);
    nbd::put(export_name_option, std::uint32_t{1});
    IgnoredReplies replies;
    load::Session session(replies, "v", true);
    for (std::uint64_t i = 0; i < 9; ++i)
        session.ask(nbd::cmd_read, 0, i, i * 4096, 4096);
    core.client_received(0, edge::ClientId{1}, export_name_option + "v" + session.take_out());
    core.client_disconnected(ms, edge::ClientId{1});
    CHECK(counter->disconnects == 1);
    CHECK(counter->others == 8);
}
