// How a storage node treats changes while a snapshot is open: which changes of an earlier epoch are
// applied to the snapshot, which are rejected, and which edges are told the new epoch.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;
using control::EdgeIncarnation;

namespace {

constexpr VolumeId snapshot{90};
constexpr VolumeId next_snapshot{91};

// The incarnations of an edge that no longer begins changes of the old epoch, and of one that
// still does.
constexpr std::uint64_t draining_edge = 11;
constexpr std::uint64_t other_edge = 12;

// A change of the volume's first block by an edge.
struct TestChange {
    std::uint64_t tag = 0;
    std::uint64_t edge = 0;
    std::uint32_t epoch = 0;
    char letter = 0;
    std::uint64_t request_number = 0; // 0: not deduplicated
    FrameKind kind = FrameKind::write;
};

struct SnapshotFixture : NodeFixture {
    SnapshotResult open(VolumeId id, std::uint32_t epoch, std::set<EdgeIncarnation> draining = {}) {
        return node.open_snapshot(test_volume, id, epoch, std::move(draining));
    }
    bool seal(VolumeId id) { return node.seal_snapshot(test_volume, id); }

    Answer change(const TestChange &change) {
        std::uint8_t flags = change.request_number > 0 ? node_protocol::flag_deduplicated : 0;
        std::string payload(change.kind == FrameKind::zero ? 0 : 4096, change.letter);
        receive(0, first_connection,
                {.kind = change.kind,
                 .flags = flags,
                 .tag = change.tag,
                 .volume = test_volume,
                 .length = 4096,
                 .milliunits = 1000,
                 .incarnation = change.edge,
                 .request_number = change.request_number,
                 .not_after = sec,
                 .payload = payload,
                 .epoch = change.epoch});
        return last_answer();
    }

    Answer last_answer() const {
        return transport.answers.empty() ? Answer{} : transport.answers.back();
    }

    std::string content(VolumeId id) {
        std::string data;
        store.read(id, 0, 2, data);
        return data;
    }
};

} // namespace

TEST_SUITE("storage node with an open snapshot") {
    TEST_CASE(
        "until the snapshot is sealed, a draining edge's changes of the old epoch are applied "
        "to volume and snapshot, those of the new epoch only to the volume") {
        SnapshotFixture fixture;
        fixture.change({1, draining_edge, 0, 'a'});
        CHECK(fixture.open(snapshot, 4, {EdgeIncarnation{draining_edge}}) ==
              SnapshotResult::created);
        fixture.change({2, draining_edge, 4, 'b'});
        CHECK(fixture.content(test_volume) == "bb");
        CHECK(fixture.content(snapshot) == "aa");
        fixture.change({3, draining_edge, 0, 'c'});
        CHECK(fixture.content(test_volume) == "cc");
        CHECK(fixture.content(snapshot) == "cc");
        fixture.change({4, draining_edge, 0, 0, 0, FrameKind::zero});
        CHECK(fixture.content(snapshot) == std::string(2, '\0'));
        CHECK(fixture.seal(snapshot));
        CHECK(fixture.change({5, draining_edge, 0, 'd'}) == Answer{5, Status::stale_epoch});
        CHECK(fixture.content(test_volume) == std::string(2, '\0'));
    }

    // Found by simulation: an edge restarted from an old plan while its earlier process was
    // draining, and its writes were applied to the snapshot as if they were the earlier process's.
    // If the edge were told the new epoch at once, it would begin changes of that epoch at nodes
    // that have not opened the snapshot yet.
    TEST_CASE("while the snapshot is open, changes of an edge that is not draining are rejected, "
              "even if an earlier process of it is draining") {
        SnapshotFixture fixture;
        fixture.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        CHECK(fixture.change({1, other_edge, 0, 'x'}) == Answer{1, Status::rejected});
        fixture.seal(snapshot);
        CHECK(fixture.change({2, other_edge, 0, 'x'}) == Answer{2, Status::stale_epoch});
        CHECK(fixture.change({3, other_edge, 4, 'x'}) == Answer{3, Status::ok});
        CHECK(fixture.content(snapshot) == std::string(2, '\0'));
    }

    // Found by simulation: one part of a request was executed before the snapshot of epoch 4, and
    // the other part arrived while that of epoch 5 was open. If it were executed, the first
    // snapshot would hold only half of the request.
    TEST_CASE(
        "a change of an epoch before a sealed snapshot is refused, even from an edge that drains "
        "for the next snapshot") {
        SnapshotFixture fixture;
        fixture.open(snapshot, 4);
        fixture.seal(snapshot);
        fixture.open(next_snapshot, 5, {EdgeIncarnation{draining_edge}});
        CHECK(fixture.change({1, draining_edge, 3, 'x'}) == Answer{1, Status::stale_epoch});
        CHECK(fixture.change({2, draining_edge, 4, 'y'}) == Answer{2, Status::ok});
        CHECK(fixture.content(next_snapshot) == "yy");
        // A snapshot that is dropped before it is sealed does not end an epoch.
        fixture.node.drop_snapshot(next_snapshot);
        fixture.open(VolumeId{92}, 6, {EdgeIncarnation{draining_edge}});
        CHECK(fixture.change({3, draining_edge, 4, 'z'}) == Answer{3, Status::ok});
    }

    // A write is executed and its answer is lost; a snapshot is opened, and the edge resends the
    // write.
    TEST_CASE(
        "a resent change that was executed before the snapshot is answered but not applied again") {
        SnapshotFixture fixture;
        fixture.change({1, draining_edge, 0, 'a', 77});
        fixture.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        fixture.change({2, draining_edge, 4, 'b'});
        CHECK(fixture.change({3, draining_edge, 0, 'a', 77}) == Answer{3, Status::ok});
        CHECK(fixture.content(test_volume) == "bb");
        CHECK(fixture.content(snapshot) == "aa");
    }

    // The planner gives up a snapshot and drops it, then the node restarts. A restarted node does
    // not know which edges are draining.
    TEST_CASE(
        "after a snapshot is dropped, changes of draining edges are still applied, but not after a "
        "restart of the node") {
        SnapshotFixture fixture;
        fixture.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        CHECK(fixture.node.drop_snapshot(snapshot));
        CHECK(fixture.node.drop_snapshot(snapshot)); // idempotent
        CHECK(fixture.change({1, draining_edge, 0, 'a'}) == Answer{1, Status::ok});
        CHECK(fixture.change({2, other_edge, 0, 'a'}) == Answer{2, Status::stale_epoch});
        fixture.node.restart(0, false);
        fixture.connect(0, fixture.first_connection);
        CHECK(fixture.change({3, draining_edge, 0, 'a'}) == Answer{3, Status::stale_epoch});
    }

    TEST_CASE(
        "opening, sealing and cloning a snapshot again has no effect; a second snapshot with the "
        "same epoch is refused") {
        SnapshotFixture fixture;
        CHECK(fixture.open(snapshot, 4) == SnapshotResult::created);
        CHECK(fixture.open(snapshot, 4) == SnapshotResult::already_exists);
        CHECK(fixture.seal(snapshot));
        CHECK(fixture.seal(snapshot));
        CHECK(fixture.open(next_snapshot, 4) == SnapshotResult::id_taken);
        CHECK(fixture.node.clone(snapshot, VolumeId{92}) == SnapshotResult::created);
        CHECK(fixture.node.clone(snapshot, VolumeId{92}) == SnapshotResult::already_exists);
        CHECK(!fixture.seal(VolumeId{93}));
    }

    // A snapshot is dropped while a client has it open. The client's reads must fail; without the
    // check they would return zeroes, as reads of any volume that the store does not have.
    TEST_CASE("a read of a dropped snapshot is answered with an error, not with zeroes") {
        SnapshotFixture fixture;
        fixture.open(snapshot, 4);
        fixture.seal(snapshot);
        fixture.node.drop_snapshot(snapshot);
        fixture.receive(0, fixture.first_connection,
                        {.kind = FrameKind::read,
                         .flags = node_protocol::flag_snapshot,
                         .tag = 1,
                         .volume = snapshot,
                         .length = 512,
                         .milliunits = 1000});
        CHECK(fixture.last_answer() == Answer{1, Status::error});
    }

    TEST_CASE(
        "a change that does not fit into the store is answered with no_space and not applied") {
        std::string bytes;
        auto medium = store::memory_medium(bytes);
        Store small_store(*medium, 8);
        RecordingTransport transport;
        StorageNode node(NodeId{1}, ShardId{0}, small_store, transport, 7, 0);
        ConnectionId connection{1};
        node.connected(0, connection);
        node.received(0, connection,
                      node_protocol::encode(
                          {.kind = FrameKind::hello, .volume = VolumeId{1}, .incarnation = 1}));
        for (std::uint64_t tag = 1; tag <= 12; ++tag)
            node.received(0, connection,
                          node_protocol::encode({.kind = FrameKind::write,
                                                 .tag = tag,
                                                 .volume = test_volume,
                                                 .offset = tag * 4096,
                                                 .length = 4096,
                                                 .milliunits = 1000,
                                                 .incarnation = 1,
                                                 .payload = std::string(4096, 'x')}));
        CHECK(transport.answers.back() == Answer{12, Status::no_space});
        CHECK(small_store.check().empty());
    }
}
