// A storage node while a snapshot is open: which late changes go into it, which edges have to wait,
// and which learn of the new epoch.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;
using control::EdgeIncarnation;

namespace {

constexpr VolumeId snapshot{90};
constexpr VolumeId next_snapshot{91};

// The edge that has stopped to begin changes of the old epoch, and one that has not.
constexpr std::uint64_t draining_edge = 11;
constexpr std::uint64_t other_edge = 12;

// A change of a block by an edge.
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
        receive(0, a,
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
    TEST_CASE("late changes of a draining edge go into both, new ones into the volume alone, until "
              "it is sealed") {
        SnapshotFixture f;
        f.change({1, draining_edge, 0, 'a'});
        CHECK(f.open(snapshot, 4, {EdgeIncarnation{draining_edge}}) == SnapshotResult::created);
        f.change({2, draining_edge, 4, 'b'});
        CHECK(f.content(test_volume) == "bb");
        CHECK(f.content(snapshot) == "aa");
        f.change({3, draining_edge, 0, 'c'});
        CHECK(f.content(test_volume) == "cc");
        CHECK(f.content(snapshot) == "cc");
        f.change({4, draining_edge, 0, 0, 0, FrameKind::zero});
        CHECK(f.content(snapshot) == std::string(2, '\0'));
        CHECK(f.seal(snapshot));
        CHECK(f.change({5, draining_edge, 0, 'd'}) == Answer{5, Status::stale_epoch});
        CHECK(f.content(test_volume) == std::string(2, '\0'));
    }

    // Found by simulation: an edge restarted from an old plan, while its earlier process was
    // draining, and wrote into the snapshot under that one's name. Told of the epoch at once, it
    // would begin changes of it at nodes that have not opened the snapshot yet.
    TEST_CASE("an edge that is not draining, another process of the same edge too, waits while the "
              "snapshot is open") {
        SnapshotFixture f;
        f.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        CHECK(f.change({1, other_edge, 0, 'x'}) == Answer{1, Status::rejected});
        f.seal(snapshot);
        CHECK(f.change({2, other_edge, 0, 'x'}) == Answer{2, Status::stale_epoch});
        CHECK(f.change({3, other_edge, 4, 'x'}) == Answer{3, Status::ok});
        CHECK(f.content(snapshot) == std::string(2, '\0'));
    }

    // Found by simulation: one part of a request was executed before snapshot 4, and the other came
    // while snapshot 5 was open. Executed, it would be in one snapshot by half.
    TEST_CASE(
        "a change of before a sealed snapshot is refused, also of an edge that drains for the "
        "next one") {
        SnapshotFixture f;
        f.open(snapshot, 4);
        f.seal(snapshot);
        f.open(next_snapshot, 5, {EdgeIncarnation{draining_edge}});
        CHECK(f.change({1, draining_edge, 3, 'x'}) == Answer{1, Status::stale_epoch});
        CHECK(f.change({2, draining_edge, 4, 'y'}) == Answer{2, Status::ok});
        CHECK(f.content(next_snapshot) == "yy");
        // A snapshot that was dropped before it was sealed ends no epoch.
        f.node.drop_snapshot(next_snapshot);
        f.open(VolumeId{92}, 6, {EdgeIncarnation{draining_edge}});
        CHECK(f.change({3, draining_edge, 4, 'z'}) == Answer{3, Status::ok});
    }

    // A write is executed, its answer is lost, a snapshot is opened, and the edge sends it again.
    TEST_CASE(
        "a resent change that was executed before the snapshot is answered and not repeated") {
        SnapshotFixture f;
        f.change({1, draining_edge, 0, 'a', 77});
        f.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        f.change({2, draining_edge, 4, 'b'});
        CHECK(f.change({3, draining_edge, 0, 'a', 77}) == Answer{3, Status::ok});
        CHECK(f.content(test_volume) == "bb");
        CHECK(f.content(snapshot) == "aa");
    }

    // A snapshot is given up, and the node restarts. Draining edges may go on; after the restart
    // the node knows of none.
    TEST_CASE("a dropped snapshot lets draining edges go on; a restarted node knows of none") {
        SnapshotFixture f;
        f.open(snapshot, 4, {EdgeIncarnation{draining_edge}});
        CHECK(f.node.drop_snapshot(snapshot));
        CHECK(f.node.drop_snapshot(snapshot)); // ordered again
        CHECK(f.change({1, draining_edge, 0, 'a'}) == Answer{1, Status::ok});
        CHECK(f.change({2, other_edge, 0, 'a'}) == Answer{2, Status::stale_epoch});
        f.node.restart(0, false);
        f.connect(0, f.a);
        CHECK(f.change({3, draining_edge, 0, 'a'}) == Answer{3, Status::stale_epoch});
    }

    TEST_CASE("ordered again it is the same snapshot; an epoch that is in use is refused") {
        SnapshotFixture f;
        CHECK(f.open(snapshot, 4) == SnapshotResult::created);
        CHECK(f.open(snapshot, 4) == SnapshotResult::already_exists);
        CHECK(f.seal(snapshot));
        CHECK(f.seal(snapshot));
        CHECK(f.open(next_snapshot, 4) == SnapshotResult::id_taken);
        CHECK(f.node.clone(snapshot, VolumeId{92}) == SnapshotResult::created);
        CHECK(f.node.clone(snapshot, VolumeId{92}) == SnapshotResult::already_exists);
        CHECK(!f.seal(VolumeId{93}));
    }

    // A client has a snapshot open and somebody drops it. Its reads must fail: a volume that is not
    // there reads as zeroes.
    TEST_CASE("a read of a dropped snapshot is an error, not zeroes") {
        SnapshotFixture f;
        f.open(snapshot, 4);
        f.seal(snapshot);
        f.node.drop_snapshot(snapshot);
        f.receive(0, f.a,
                  {.kind = FrameKind::read,
                   .flags = node_protocol::flag_snapshot,
                   .tag = 1,
                   .volume = snapshot,
                   .length = 512,
                   .milliunits = 1000});
        CHECK(f.last_answer() == Answer{1, Status::error});
    }

    TEST_CASE("a full store says so, and the change is not done") {
        std::string bytes;
        auto medium = store::memory_medium(bytes);
        Store small(*medium, 8);
        RecordingTransport transport;
        StorageNode node(NodeId{1}, ShardId{0}, small, transport, 7, 0);
        ConnectionId connection{1};
        node.connected(0, connection);
        node.received(0, connection,
                      node_protocol::encode(
                          {.kind = FrameKind::hello, .volume = VolumeId{1}, .incarnation = 1}));
        for (std::uint64_t i = 1; i <= 12; ++i)
            node.received(0, connection,
                          node_protocol::encode({.kind = FrameKind::write,
                                                 .tag = i,
                                                 .volume = test_volume,
                                                 .offset = i * 4096,
                                                 .length = 4096,
                                                 .milliunits = 1000,
                                                 .incarnation = 1,
                                                 .payload = std::string(4096, 'x')}));
        CHECK(transport.answers.back() == Answer{12, Status::no_space});
        CHECK(small.check().empty());
    }
}
