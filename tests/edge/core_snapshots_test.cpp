// The edge's core while a snapshot is taken, with one client and two shards. The tests check every
// frame that is sent to a node.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

namespace {

constexpr VolumeId volume{7}, snapshot{90};
constexpr std::uint64_t extent = 256 << 10, span = 64 << 10;

struct Fixture final : Shell, load::Replies, node_protocol::FrameHandler {
    Core core{*this, [](SchedulerActions &actions) { return make_scheduler(actions, 1); },
              CoreConfig{0, 5, extent, span, 64 << 10, {ShardId{0}, ShardId{1}}}};
    control::ClusterState cluster_state;
    std::unique_ptr<load::Session> client = std::make_unique<load::Session>(*this, "v", true);
    Lines sent_requests;  // each "tag epoch milliunits"
    Lines ended_requests; // each "cookie error"
    Lines steps;          // of the snapshot, as reported by the edge
    std::map<NodeConnectionId, node_protocol::FrameReader> readers;
    std::map<NodeConnectionId, std::uint64_t> node_of;
    std::map<std::uint64_t, NodeConnectionId> connection_of; // by tag
    NodeConnectionId receiving_connection{};
    Time now = sec;

    explicit Fixture(double copy_on_write_units = 0) {
        auto &scheduler = core.scheduler();
        SchedulerConfig config;
        config.max_retry_after = sec;
        config.units = {2, 9, 0.35, 0.08};
        config.attempts = {3, false, true};
        scheduler.configure(config);
        for (std::uint32_t i = 0; i < 5; ++i) {
            bool deduplicated = i == 1 || i == 2;
            WorkloadConfig workload;
            workload.latency_objective = sec;
            workload.late_value_fraction = 0.1;
            workload.deduplication_scope = DeduplicationScope::shard;
            if (deduplicated) {
                workload.idempotency = Idempotency::deduplicated;
                workload.deduplication_window = sec;
            }
            scheduler.set_workload(WorkloadId{i}, workload);
            core.add_workload(
                {WorkloadId{i}, static_cast<Command>(i), ~0u, "", 3 * sec, deduplicated ? sec : 0});
        }
        core.set_copy_on_write_units(copy_on_write_units);
        control::Volume volume_config;
        volume_config.name = "v", volume_config.size = 64 << 20;
        cluster_state.put(PlanId{0}, control::Plan{"p", 1, 1000, 0, 1, 0, 0});
        cluster_state.put(volume, volume_config);
        core.set_plan(PlanId{0}, {1, 1000, 0, 1, 0, 0});
        core.follow_cluster_state(cluster_state);
        core.start(now);
        core.endpoint_list_begin(now, 1);
        for (std::uint64_t node : {1u, 2u})
            core.endpoint_listed({NodeId{node}, ShardId{static_cast<std::int32_t>(node) - 1},
                                  ZoneId{0}, NodeState::ready, 0},
                                 std::to_string(node));
        core.endpoint_list_end();
        core.client_connected(now, ClientId{1});
        settle();
    }
    void settle() {
        for (int i = 0; i < 4; ++i) {
            core.settle(now);
            if (auto out = client->take_out(); !out.empty())
                core.client_received(now, ClientId{1}, out);
        }
    }
    void write(std::uint64_t cookie, std::uint64_t offset, std::uint32_t length) {
        client->ask(nbd::cmd_write, 0, cookie, offset, length, std::string(length, 'x'));
        settle();
    }
    void answer_from_node(std::uint64_t tag, node_protocol::Status status,
                          std::uint32_t epoch = 0) {
        core.node_received(now, connection_of.at(tag),
                           node_protocol::encode({.kind = node_protocol::FrameKind::answer,
                                                  .status = status,
                                                  .tag = tag,
                                                  .volume = volume,
                                                  .incarnation = 1,
                                                  .epoch = epoch}));
        settle();
    }
    // ---- Shell
    void connect(NodeConnectionId connection, const std::string &address) override {
        node_of[connection] = std::stoull(address), new_connections.push_back(connection);
    }
    void send(NodeConnectionId connection, std::string bytes) override {
        receiving_connection = connection;
        readers[connection].feed(bytes, *this);
    }
    void close(NodeConnectionId) override {}
    void send_client(ClientId, std::string bytes) override { client->bytes(bytes); }
    void close_client(ClientId) override {}
    void pause_client(ClientId, bool) override {}
    void log_event(std::string) override {}
    void attempt_completed(RequestId, NodeId, AttemptOutcome, Time) override {}
    void snapshot_step_done(VolumeId, control::SnapshotStep step,
                            control::EdgeIncarnation) override {
        steps.push_back(std::to_string(static_cast<int>(step)));
    }
    std::vector<NodeConnectionId> new_connections;
    // Completes new connections and answers their hello.
    void complete_connections() {
        for (auto connection : std::exchange(new_connections, {})) {
            core.node_connected(now, connection);
            core.node_received(now, connection, welcome(node_of[connection], now));
        }
        settle();
    }
    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == node_protocol::FrameKind::hello ||
            frame.kind == node_protocol::FrameKind::cancel_attempt)
            return true;
        connection_of[frame.tag] = receiving_connection;
        sent_requests.push_back(std::to_string(frame.tag) + " " + std::to_string(frame.epoch) +
                                " " + std::to_string(frame.milliunits));
        return true;
    }
    // ---- Replies
    void opened(std::uint64_t, std::uint16_t) override {}
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t cookie, std::uint32_t error, std::string_view) override {
        ended_requests.push_back(std::to_string(cookie) + " " + std::to_string(error));
    }
    void broken(std::string_view) override { ended_requests.push_back("broken"); }
    Lines take_sent_requests() { return std::exchange(sent_requests, {}); }
};

} // namespace

TEST_SUITE("the edge while a snapshot is taken") {
    TEST_CASE("a hold delays changes into the new epoch but not reads, and earlier changes are "
              "awaited") {
        Fixture fixture;
        fixture.write(1, 0, 4096), fixture.complete_connections();
        CHECK(fixture.take_sent_requests() == Lines{"1 0 1062"});
        fixture.core.hold_snapshot(fixture.now, {volume, snapshot, 4}, sec);
        fixture.write(2, 64 << 10, 4096);
        CHECK(fixture.take_sent_requests().empty());
        fixture.client->ask(nbd::cmd_read, 0, 3, 0, 4096), fixture.settle();
        CHECK(fixture.take_sent_requests() == Lines{"2 0 1062"});
        fixture.core.resume_snapshot(fixture.now, {volume, snapshot, 4}), fixture.settle();
        CHECK(fixture.take_sent_requests() == Lines{"3 4 1062"});
        CHECK(fixture.steps == Lines{"0", "1"});
        fixture.answer_from_node(1, node_protocol::Status::ok);
        CHECK(fixture.steps == Lines{"0", "1", "2"});
        fixture.answer_from_node(3, node_protocol::Status::ok);
        CHECK(fixture.ended_requests == Lines{"1 0", "2 0"});
    }
    // The planner stops in the middle of a snapshot, so that no resume comes. Clients must not wait
    // for it: the hold expires by itself, the changes go on in the old epoch, and the snapshot
    // counts as lapsed.
    TEST_CASE(
        "a hold that expires releases its changes in the old epoch, well before their deadline") {
        Fixture fixture;
        fixture.core.hold_snapshot(fixture.now, {volume, snapshot, 4}, 100 * ms);
        fixture.write(1, 0, 4096), fixture.complete_connections();
        CHECK(fixture.core.next_due() <= fixture.now + 100 * ms);
        fixture.now += 100 * ms, fixture.settle(), fixture.complete_connections();
        CHECK(fixture.take_sent_requests() == Lines{"1 0 1062"});
        CHECK(fixture.steps == Lines{"0", "3"});
    }
    // A client disconnects while its write is held back. The write must neither reach a node later
    // nor keep the snapshot from being drained.
    TEST_CASE("a held change of a client that disconnects is discarded") {
        Fixture fixture;
        fixture.core.hold_snapshot(fixture.now, {volume, snapshot, 4}, sec);
        fixture.write(1, 0, 4096);
        fixture.core.client_disconnected(fixture.now, ClientId{1});
        fixture.core.resume_snapshot(fixture.now, {volume, snapshot, 4}), fixture.settle(),
            fixture.complete_connections();
        CHECK(fixture.take_sent_requests().empty());
        CHECK(fixture.core.scheduled_requests() == 0);
        CHECK(fixture.steps == Lines{"0", "1", "2"});
    }
    // A store seals the snapshot before a write of the old epoch reaches it, and answers that the
    // epoch is stale. Nothing of the write was executed, so it may be sent again in the new epoch.
    TEST_CASE("a change of one part that is refused as stale continues in the current epoch") {
        Fixture fixture;
        fixture.write(1, 0, 4096), fixture.complete_connections(), fixture.take_sent_requests();
        fixture.answer_from_node(1, node_protocol::Status::stale_epoch, 6);
        fixture.now += 100 * ms, fixture.settle();
        CHECK(fixture.take_sent_requests() == Lines{"2 6 1062"});
        fixture.answer_from_node(2, node_protocol::Status::ok);
        CHECK(fixture.ended_requests == Lines{"1 0"});
        fixture.write(2, 0, 4096);
        CHECK(fixture.take_sent_requests() == Lines{"3 6 1062"});
    }
    // The same with a write of two parts that are both in flight: one may be in the snapshot and
    // the other not. The write must fail, so that the client knows that it may be torn.
    TEST_CASE("a change of several parts fails if one is refused as stale and another was sent, as "
              "its parts may lie in different epochs") {
        Fixture fixture;
        fixture.write(1, 0, 128 << 10), fixture.complete_connections();
        REQUIRE(fixture.take_sent_requests().size() == 2);
        fixture.answer_from_node(1, node_protocol::Status::stale_epoch, 6);
        CHECK(fixture.ended_requests == Lines{"1 5"});
        fixture.answer_from_node(2, node_protocol::Status::ok);
        CHECK(fixture.ended_requests.size() == 1);
        CHECK(fixture.core.scheduled_requests() == 0);
    }
    // Two parts of one write find their stores full. The client must get one error, not two.
    TEST_CASE("a client gets ENOSPC once if several parts find no space at their nodes") {
        Fixture fixture;
        fixture.write(1, 0, 128 << 10), fixture.complete_connections();
        fixture.answer_from_node(1, node_protocol::Status::no_space);
        fixture.answer_from_node(2, node_protocol::Status::no_space);
        CHECK(fixture.ended_requests == Lines{"1 28"});
    }
    TEST_CASE("the first change of a span in an epoch costs the configured units of a copy") {
        Fixture fixture(0.25);
        fixture.write(1, 0, 4096), fixture.complete_connections();
        fixture.core.hold_snapshot(fixture.now, {volume, snapshot, 4}, sec),
            fixture.core.resume_snapshot(fixture.now, {volume, snapshot, 4});
        fixture.take_sent_requests();
        fixture.answer_from_node(1, node_protocol::Status::ok);
        for (std::uint64_t i = 2; i <= 4; ++i) {
            fixture.write(i, i == 4 ? 64 << 10 : 0, 4096);
            fixture.answer_from_node(i, node_protocol::Status::ok);
        }
        CHECK(fixture.take_sent_requests() == Lines{"2 4 1312", "3 4 1062", "4 4 1312"});
    }
    // An operator drops a snapshot that a client has open. A read must fail with ESHUTDOWN and
    // reach no node, where the bytes may be another volume's by then.
    TEST_CASE("a read of a dropped snapshot fails with ESHUTDOWN and reaches no node") {
        Fixture fixture;
        control::Volume snapshot_config = fixture.cluster_state.volumes.at(volume);
        snapshot_config.name = "v@a", snapshot_config.frozen = true;
        snapshot_config.source = snapshot_config.layout_volume = snapshot_config.quota_volume =
            volume;
        fixture.cluster_state.put(snapshot, snapshot_config);
        fixture.core.cluster_state_changed(fixture.now);
        fixture.client = std::make_unique<load::Session>(fixture, "v@a", true);
        fixture.core.client_disconnected(fixture.now, ClientId{1});
        fixture.core.client_connected(fixture.now, ClientId{1});
        fixture.settle();
        fixture.cluster_state.drop_volume(snapshot);
        fixture.core.cluster_state_changed(fixture.now);
        fixture.client->ask(nbd::cmd_read, 0, 1, 0, 4096), fixture.settle(),
            fixture.complete_connections();
        CHECK(fixture.take_sent_requests().empty());
        CHECK(fixture.ended_requests == Lines{"1 108"});
    }
}
