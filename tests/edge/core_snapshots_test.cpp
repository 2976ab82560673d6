// The edge's core while a snapshot is taken: one client, two shards, every frame looked at.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

namespace {

constexpr VolumeId v{7}, as{90};
constexpr std::uint64_t extent = 256 << 10, span = 64 << 10;

struct Rig final : Shell, load::Replies, node_protocol::FrameHandler {
    Core core{*this, [](SchedulerActions &a) { return make_scheduler(a, 1); },
              CoreConfig{0, 5, extent, span, 64 << 10, {ShardId{0}, ShardId{1}}}};
    control::ClusterState table;
    std::unique_ptr<load::Session> client = std::make_unique<load::Session>(*this, "v", true);
    Lines asked, ended_with, steps; // asked: "tag epoch units"
    std::map<NodeConnectionId, node_protocol::FrameReader> readers;
    std::map<NodeConnectionId, std::uint64_t> node_of;
    std::map<std::uint64_t, NodeConnectionId> link_of; // by tag
    NodeConnectionId reading{};
    Time now = sec;

    explicit Rig(double copy = 0) {
        auto &s = core.scheduler();
        SchedulerConfig config;
        config.max_retry_after = sec;
        config.units = {2, 9, 0.35, 0.08};
        config.attempts = {3, false, true};
        s.configure(config);
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
            s.set_workload(WorkloadId{i}, workload);
            core.add_workload(
                {WorkloadId{i}, static_cast<Command>(i), ~0u, "", 3 * sec, deduplicated ? sec : 0});
        }
        core.set_copy_on_write_units(copy);
        control::Volume f;
        f.name = "v", f.size = 64 << 20;
        table.put(PlanId{0}, control::Plan{"p", 1, 1000, 0, 1, 0, 0});
        table.put(v, f);
        core.set_plan(PlanId{0}, {1, 1000, 0, 1, 0, 0});
        core.follow_cluster_state(table);
        core.start(now);
        core.endpoint_list_begin(now, 1);
        for (std::uint64_t n : {1u, 2u})
            core.endpoint_listed({NodeId{n}, ShardId{static_cast<std::int32_t>(n) - 1}, ZoneId{0},
                                  NodeState::ready, 0},
                                 std::to_string(n));
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
    void node_says(std::uint64_t tag, node_protocol::Status status, std::uint32_t epoch = 0) {
        core.node_received(now, link_of.at(tag),
                           node_protocol::encode({.kind = node_protocol::FrameKind::answer,
                                                  .status = status,
                                                  .tag = tag,
                                                  .volume = v,
                                                  .incarnation = 1,
                                                  .epoch = epoch}));
        settle();
    }
    // ---- Shell
    void connect(NodeConnectionId l, const std::string &address) override {
        node_of[l] = std::stoull(address), fresh.push_back(l);
    }
    void send(NodeConnectionId l, std::string b) override {
        reading = l;
        readers[l].feed(b, *this);
    }
    void close(NodeConnectionId) override {}
    void send_client(ClientId, std::string b) override { client->bytes(b); }
    void close_client(ClientId) override {}
    void pause_client(ClientId, bool) override {}
    void log_event(std::string) override {}
    void attempt_completed(RequestId, NodeId, AttemptOutcome, Time) override {}
    void snapshot_step_done(VolumeId, control::SnapshotStep s, control::EdgeIncarnation) override {
        steps.push_back(std::to_string(static_cast<int>(s)));
    }
    std::vector<NodeConnectionId> fresh;
    // Connections come up and are greeted.
    void greet() {
        for (auto l : std::exchange(fresh, {})) {
            core.node_connected(now, l);
            core.node_received(now, l, welcome(node_of[l], now));
        }
        settle();
    }
    bool on_frame(const node_protocol::Frame &frame) override {
        if (frame.kind == node_protocol::FrameKind::hello ||
            frame.kind == node_protocol::FrameKind::cancel_attempt)
            return true;
        link_of[frame.tag] = reading;
        asked.push_back(std::to_string(frame.tag) + " " + std::to_string(frame.epoch) + " " +
                        std::to_string(frame.milliunits));
        return true;
    }
    // ---- Replies
    void opened(std::uint64_t, std::uint16_t) override {}
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t c, std::uint32_t error, std::string_view) override {
        ended_with.push_back(std::to_string(c) + " " + std::to_string(error));
    }
    void broken(std::string_view) override { ended_with.push_back("broken"); }
    Lines take_asked() { return std::exchange(asked, {}); }
};

} // namespace

TEST_SUITE("the edge while a snapshot is taken") {
    TEST_CASE("changes are kept back and begin in the new epoch; reads go on; what began before is "
              "waited for") {
        Rig r;
        r.write(1, 0, 4096), r.greet();
        CHECK(r.take_asked() == Lines{"1 0 1062"});
        r.core.hold_snapshot(r.now, {v, as, 4}, sec);
        r.write(2, 64 << 10, 4096);
        CHECK(r.take_asked().empty());
        r.client->ask(nbd::cmd_read, 0, 3, 0, 4096), r.settle();
        CHECK(r.take_asked() == Lines{"2 0 1062"});
        r.core.resume_snapshot(r.now, {v, as, 4}), r.settle();
        CHECK(r.take_asked() == Lines{"3 4 1062"});
        CHECK(r.steps == Lines{"0", "1"});
        r.node_says(1, node_protocol::Status::ok);
        CHECK(r.steps == Lines{"0", "1", "2"});
        r.node_says(3, node_protocol::Status::ok);
        CHECK(r.ended_with == Lines{"1 0", "2 0"});
    }
    // The planner stops in the middle of a snapshot, so that no resume comes. Clients must not wait
    // for it: the hold expires by itself, the changes go on in the old epoch, and the snapshot
    // counts as lapsed.
    TEST_CASE("a hold that runs out lets them go in the old epoch, well before their time is up") {
        Rig r;
        r.core.hold_snapshot(r.now, {v, as, 4}, 100 * ms);
        r.write(1, 0, 4096), r.greet();
        CHECK(r.core.next_due() <= r.now + 100 * ms);
        r.now += 100 * ms, r.settle(), r.greet();
        CHECK(r.take_asked() == Lines{"1 0 1062"});
        CHECK(r.steps == Lines{"0", "3"});
    }
    // A client disconnects while its write is held back. The write must neither reach a node later
    // nor keep the snapshot from being drained.
    TEST_CASE("a client that leaves takes with it what was kept back") {
        Rig r;
        r.core.hold_snapshot(r.now, {v, as, 4}, sec);
        r.write(1, 0, 4096);
        r.core.client_disconnected(r.now, ClientId{1});
        r.core.resume_snapshot(r.now, {v, as, 4}), r.settle(), r.greet();
        CHECK(r.take_asked().empty());
        CHECK(r.core.scheduled_requests() == 0);
        CHECK(r.steps == Lines{"0", "1", "2"});
    }
    // A store seals the snapshot before a write of the old epoch reaches it, and answers that the
    // epoch is stale. Nothing of the write was executed, so it may be sent again in the new epoch.
    TEST_CASE("told that its epoch is over, a change of one part goes on in the one in force") {
        Rig r;
        r.write(1, 0, 4096), r.greet(), r.take_asked();
        r.node_says(1, node_protocol::Status::stale_epoch, 6);
        r.now += 100 * ms, r.settle();
        CHECK(r.take_asked() == Lines{"2 6 1062"});
        r.node_says(2, node_protocol::Status::ok);
        CHECK(r.ended_with == Lines{"1 0"});
        r.write(2, 0, 4096);
        CHECK(r.take_asked() == Lines{"3 6 1062"});
    }
    // The same with a write of two parts that are both in flight: one may be in the snapshot and
    // the other not. The write must fail, so that the client knows that it may be torn.
    TEST_CASE("one of several parts, of which another was sent, is errored: its parts may be on "
              "both sides") {
        Rig r;
        r.write(1, 0, 128 << 10), r.greet();
        REQUIRE(r.take_asked().size() == 2);
        r.node_says(1, node_protocol::Status::stale_epoch, 6);
        CHECK(r.ended_with == Lines{"1 5"});
        r.node_says(2, node_protocol::Status::ok);
        CHECK(r.ended_with.size() == 1);
        CHECK(r.core.scheduled_requests() == 0);
    }
    // Two parts of one write find their stores full. The client must get one error, not two.
    TEST_CASE("no space at the node is ENOSPC, once") {
        Rig r;
        r.write(1, 0, 128 << 10), r.greet();
        r.node_says(1, node_protocol::Status::no_space);
        r.node_says(2, node_protocol::Status::no_space);
        CHECK(r.ended_with == Lines{"1 28"});
    }
    TEST_CASE("the first change of a span in an epoch costs what a copy does, where that is told") {
        Rig r(0.25);
        r.write(1, 0, 4096), r.greet();
        r.core.hold_snapshot(r.now, {v, as, 4}, sec), r.core.resume_snapshot(r.now, {v, as, 4});
        r.take_asked();
        r.node_says(1, node_protocol::Status::ok);
        for (std::uint64_t i = 2; i <= 4; ++i) {
            r.write(i, i == 4 ? 64 << 10 : 0, 4096);
            r.node_says(i, node_protocol::Status::ok);
        }
        CHECK(r.take_asked() == Lines{"2 4 1312", "3 4 1062", "4 4 1312"});
    }
    // An operator drops a snapshot that a client has open. A read must fail with ESHUTDOWN and
    // reach no node, where the bytes may be another volume's by then.
    TEST_CASE("a snapshot that is dropped is said to be, and never read as something else") {
        Rig r;
        control::Volume s = r.table.volumes.at(v);
        s.name = "v@a", s.source = s.layout_volume = s.quota_volume = v, s.frozen = true;
        r.table.put(as, s);
        r.core.cluster_state_changed(r.now);
        r.client = std::make_unique<load::Session>(r, "v@a", true);
        r.core.client_disconnected(r.now, ClientId{1});
        r.core.client_connected(r.now, ClientId{1});
        r.settle();
        r.table.drop_volume(as);
        r.core.cluster_state_changed(r.now);
        r.client->ask(nbd::cmd_read, 0, 1, 0, 4096), r.settle(), r.greet();
        CHECK(r.take_asked().empty());
        CHECK(r.ended_with == Lines{"1 108"});
    }
}
