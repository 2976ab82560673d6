// A node in the middle of a cut: whose late changes go into both, who waits, who is told of the
// epoch; and what it does of an evening with space to reclaim.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::node;
using Lines = std::vector<std::string>;
using control::EdgeIncarnation;

namespace {
constexpr VolumeId v{5}, snap{90};
struct Cutting : Rig {
    // A change of an edge's process that began in an epoch.
    void change(std::uint64_t tag, std::uint64_t incarnation, std::uint32_t epoch, char fill,
                std::uint64_t number = 0,
                node_protocol::FrameKind kind = node_protocol::FrameKind::write) {
        bool zero = kind == node_protocol::FrameKind::zero;
        node.received(0, a,
                      node_protocol::encode(
                          {.kind = kind,
                           .flags = number > 0 ? node_protocol::flag_deduplicated : std::uint8_t{0},
                           .tag = tag,
                           .volume = v,
                           .length = 4096,
                           .milliunits = 1000,
                           .incarnation = incarnation,
                           .request_number = number,
                           .not_after = sec,
                           .payload = zero ? "" : std::string(4096, fill),
                           .epoch = epoch}));
    }
    std::string holds(VolumeId id) {
        std::string got;
        store.read(id, 0, 2, got);
        return got;
    }
    std::string last() { return told.answers.empty() ? "" : told.answers.back(); }
};
} // namespace

TEST_SUITE("a node in the middle of a cut") {
    TEST_CASE("late changes of who has stopped go into both, new ones into the volume alone, until "
              "it is sealed") {
        Cutting r;
        r.change(1, 11, 0, 'a');
        CHECK(r.node.open_snapshot(v, snap, 4, {EdgeIncarnation{11}}) == SnapshotResult::created);
        r.change(2, 11, 4, 'b');
        CHECK(r.holds(v) == "bb");
        CHECK(r.holds(snap) == "aa");
        r.change(3, 11, 0, 'c');
        CHECK(r.holds(v) == "cc");
        CHECK(r.holds(snap) == "cc");
        r.change(4, 11, 0, 0, 0, node_protocol::FrameKind::zero);
        CHECK(r.holds(snap) == std::string(2, '\0'));
        CHECK(r.node.seal_snapshot(v, snap));
        r.change(5, 11, 0, 'd');
        CHECK(r.last() == "5 7 ");
        CHECK(r.holds(v) == std::string(2, '\0'));
    }
    // Found in virtual time: an edge that restarted from an old plan wrote into the cut under its
    // former life's name.
    TEST_CASE("whoever has not stopped, another process of the same edge too, waits while the cut "
              "is open") {
        Cutting r;
        r.node.open_snapshot(v, snap, 4, {EdgeIncarnation{11}});
        r.change(1, 12, 0, 'x');
        CHECK(r.last() == "1 2 ");
        // Told of the epoch now, it would begin changes of it at nodes that have not cut yet.
        r.node.seal_snapshot(v, snap);
        r.change(2, 12, 0, 'x');
        CHECK(r.last() == "2 7 ");
        r.change(3, 12, 4, 'x');
        CHECK(r.last() == "3 0 ");
        CHECK(r.holds(snap) == std::string(2, '\0'));
    }
    // Found in virtual time: the first part had run before cut 4, the second came in the middle of
    // cut 5.
    TEST_CASE("what is of before a sealed cut is refused, also of who is late in the next one") {
        Cutting r;
        r.node.open_snapshot(v, snap, 4, {}), r.node.seal_snapshot(v, snap);
        r.node.open_snapshot(v, VolumeId{91}, 5, {EdgeIncarnation{11}});
        r.change(1, 11, 3, 'x');
        CHECK(r.last() == "1 7 ");
        r.change(2, 11, 4, 'y');
        CHECK(r.last() == "2 0 ");
        CHECK(r.holds(VolumeId{91}) == "yy");
        // One that was undone seals nothing off.
        r.node.drop_snapshot(VolumeId{91});
        r.node.open_snapshot(v, VolumeId{92}, 6, {EdgeIncarnation{11}});
        r.change(3, 11, 4, 'z');
        CHECK(r.last() == "3 0 ");
    }
    TEST_CASE("a resent change whose first copy ran before the cut is answered, and is in once") {
        Cutting r;
        r.change(1, 11, 0, 'a', 77);
        r.node.open_snapshot(v, snap, 4, {EdgeIncarnation{11}});
        r.change(2, 11, 4, 'b');
        r.change(3, 11, 0, 'a', 77);
        CHECK(r.last() == "3 0 ");
        CHECK(r.holds(v) == "bb");
        CHECK(r.holds(snap) == "aa");
    }
    TEST_CASE(
        "a cut that is undone lets who was late go on; a restarted node knows nobody who was") {
        Cutting r;
        r.node.open_snapshot(v, snap, 4, {EdgeIncarnation{11}});
        CHECK(r.node.drop_snapshot(snap));
        CHECK(r.node.drop_snapshot(snap)); // said again
        r.change(1, 11, 0, 'a');
        CHECK(r.last() == "1 0 ");
        r.change(2, 12, 0, 'a');
        CHECK(r.last() == "2 7 ");
        r.node.restart(0, false);
        r.node.connected(0, r.a);
        r.node.received(0, r.a,
                        node_protocol::encode({.kind = node_protocol::FrameKind::hello,
                                               .volume = VolumeId{1},
                                               .incarnation = 1}));
        r.change(3, 11, 0, 'a');
        CHECK(r.last() == "3 7 ");
    }
    TEST_CASE("ordered again it is the same cut; an epoch that is in use is no cut's") {
        Cutting r;
        CHECK(r.node.open_snapshot(v, snap, 4, {}) == SnapshotResult::created);
        CHECK(r.node.open_snapshot(v, snap, 4, {}) == SnapshotResult::already_exists);
        CHECK(r.node.seal_snapshot(v, snap));
        CHECK(r.node.seal_snapshot(v, snap));
        CHECK(r.node.open_snapshot(v, VolumeId{91}, 4, {}) == SnapshotResult::id_taken);
        CHECK(r.node.clone(snap, VolumeId{92}) == SnapshotResult::created);
        CHECK(r.node.clone(snap, VolumeId{92}) == SnapshotResult::already_exists);
        CHECK(!r.node.seal_snapshot(v, VolumeId{93}));
    }
    TEST_CASE("a snapshot that was dropped is an error to who has it open, not zeroes") {
        Cutting r;
        r.node.open_snapshot(v, snap, 4, {}), r.node.seal_snapshot(v, snap),
            r.node.drop_snapshot(snap);
        r.node.received(0, r.a,
                        node_protocol::encode({.kind = node_protocol::FrameKind::read,
                                               .flags = node_protocol::flag_snapshot,
                                               .tag = 1,
                                               .volume = snap,
                                               .length = 512,
                                               .milliunits = 1000}));
        CHECK(r.last() == "1 1 ");
    }
    TEST_CASE("a full store says so, and the change is not done") {
        std::string bytes;
        auto medium = store::memory_medium(bytes);
        Store small(*medium, 8);
        Told told;
        StorageNode node(NodeId{1}, ShardId{0}, small, told, 7, 0);
        ConnectionId a{1};
        node.connected(0, a);
        node.received(0, a,
                      node_protocol::encode({.kind = node_protocol::FrameKind::hello,
                                             .volume = VolumeId{1},
                                             .incarnation = 1}));
        for (std::uint64_t i = 1; i <= 12; ++i)
            node.received(0, a,
                          node_protocol::encode({.kind = node_protocol::FrameKind::write,
                                                 .tag = i,
                                                 .volume = v,
                                                 .offset = i * 4096,
                                                 .length = 4096,
                                                 .milliunits = 1000,
                                                 .incarnation = 1,
                                                 .payload = std::string(4096, 'x')}));
        CHECK(told.answers.back() == "12 8 ");
        CHECK(small.check().empty());
    }
}

TEST_SUITE("work in the background") {
    TEST_CASE("takes a tenth at most while idle, waits behind tasks, and goes on all the same") {
        BackgroundSchedule b;
        CHECK(b.may_begin(0, {0, 4, 0}));
        b.step_began(0, 10 * ms);
        CHECK(!b.may_begin(99 * ms, {0, 4, 0}));
        CHECK(b.may_begin(100 * ms, {0, 4, 0}));
        b.step_began(100 * ms, 2 * ms);
        CHECK(b.next_due({0, 4, 0}) == 120 * ms);
        CHECK(b.next_due({2, 4, 0}) == 120 * ms);
        CHECK(b.next_due({3, 4, 0}) == 150 * ms); // the last slot is the tasks'
        CHECK(b.next_due({0, 4, 1}) == 150 * ms);
        CHECK(b.may_begin(150 * ms, {4, 4, 9}));
    }
    TEST_CASE("space of a dropped snapshot comes back on a node that is never idle") {
        Cutting r;
        r.node.set_service_model({ms, 1, 2, 100});
        for (std::uint64_t i = 0; i < 300; ++i)
            r.store.write(v, i * 64 * 4096, std::string(4096, 'x'));
        r.store.take_snapshot(v, snap);
        for (std::uint64_t i = 0; i < 300; ++i)
            r.store.write(v, i * 64 * 4096, std::string(4096, 'y'));
        CHECK(r.store.blocks_used() == 600);
        r.node.drop_snapshot(snap);
        Time now = 0;
        for (std::uint64_t tag = 1; r.store.has_reclaimable_space() && now < 3 * sec; now += ms) {
            r.read(now, r.a, tag++), r.read(now, r.a, tag++);
            r.node.tick(now);
        }
        CHECK(r.store.blocks_used() == 300);
        CHECK(now > 200 * ms); // behind them, a piece at a time
    }
}
