// Snapshots and clones of one store: what they hold, what they cost, what they differ in.
#include <doctest/doctest.h>

#include "store/store.hpp"

using namespace knotvane;
using namespace knotvane::store;

namespace {

constexpr std::uint64_t block = block_size;

// A store in memory whose volumes are written by whole blocks of a letter.
struct Fixture {
    explicit Fixture(std::uint64_t capacity = 1000) : store(*medium, capacity) {}

    // The letter at an offset; '!' if it can't be read.
    char at(std::uint64_t volume, std::uint64_t offset = 0) {
        std::string data;
        return store.read(VolumeId{volume}, offset, 1, data) ? data[0] : '!';
    }
    void fill(std::uint64_t volume, char letter, std::uint64_t blocks = 1,
              std::uint64_t first = 0) {
        CHECK(store.write(VolumeId{volume}, first * block, std::string(blocks * block, letter)));
    }
    SnapshotResult take_snapshot(std::uint64_t source, std::uint64_t snapshot) {
        return store.take_snapshot(VolumeId{source}, VolumeId{snapshot});
    }

    std::string bytes;
    std::unique_ptr<Medium> medium = memory_medium(bytes);
    Store store;
};

} // namespace

TEST_SUITE("snapshots and clones") {
    TEST_CASE("a resend is harmless, an id that is another's is refused, a snapshot can't be "
              "written") {
        Fixture f;
        f.fill(1, 'a');
        CHECK(f.take_snapshot(1, 2) == SnapshotResult::created);
        f.fill(1, 'b');
        CHECK(f.take_snapshot(1, 2) == SnapshotResult::already_exists);
        CHECK(f.at(2) == 'a');
        CHECK(f.store.clone(VolumeId{1}, VolumeId{2}) == SnapshotResult::id_taken);
        CHECK(f.take_snapshot(3, 2) == SnapshotResult::id_taken);
        CHECK(f.take_snapshot(1, 1) == SnapshotResult::id_taken);
        CHECK_FALSE(f.store.write(VolumeId{2}, 0, "x"));
        CHECK_FALSE(f.store.zero(VolumeId{2}, 0, 512));
        // A clone of a snapshot.
        CHECK(f.store.clone(VolumeId{2}, VolumeId{4}) == SnapshotResult::created);
        f.fill(4, 'c');
        CHECK(f.at(2) == 'a');
        CHECK(f.at(4) == 'c');
        CHECK(f.store.drop(VolumeId{2}));
        CHECK_FALSE(f.store.drop(VolumeId{2}));
    }

    TEST_CASE(
        "what is unchanged is shared; a dropped snapshot's space comes back, some at a time") {
        Fixture f;
        f.fill(1, 'a', 500);
        CHECK(f.take_snapshot(1, 2) == SnapshotResult::created);
        CHECK(f.store.blocks_used() == 500);
        CHECK(f.store.is_shared(VolumeId{1}, 0));
        f.fill(1, 'b', 100);
        CHECK_FALSE(f.store.is_shared(VolumeId{1}, 0));
        CHECK(f.store.is_shared(VolumeId{1}, 499 * block));
        CHECK(f.store.blocks_used() == 600);
        f.store.drop(VolumeId{2});
        CHECK(f.store.blocks_used() == 600);
        int steps = 1;
        while (f.store.reclaim(1))
            ++steps;
        CHECK(steps > 1);
        CHECK(f.store.blocks_used() == 500);
        CHECK(f.store.check().empty());
    }

    TEST_CASE("diff tells the ranges, also of volumes of different heights") {
        Fixture f;
        f.fill(1, 'a', 200);
        f.take_snapshot(1, 2);
        f.fill(1, 'b', 2, 5);
        f.fill(1, 'b', 1, 190);
        f.store.zero(VolumeId{1}, 100 * block, block_size);
        f.store.write(VolumeId{1}, 5000 * block, std::string(block, 'z'));
        CHECK(f.store.diff(VolumeId{2}, VolumeId{1}) ==
              std::vector<ByteRange>{{5 * block, 2 * block},
                                     {100 * block, block},
                                     {190 * block, block},
                                     {5000 * block, block}});
        CHECK(f.store.diff(VolumeId{2}, VolumeId{2}).empty());
    }

    // Snapshots hold on to blocks, and the store runs full. Snapshots must be refused while writes
    // still work, then writes, both without harm to what is there, and a drop must make room.
    TEST_CASE("a full store refuses snapshots first, writes next; a drop makes room") {
        Fixture f(500);
        f.fill(1, 'a', 300);
        CHECK(f.take_snapshot(1, 2) == SnapshotResult::created);
        f.fill(1, 'b', 160);
        CHECK(f.take_snapshot(1, 3) == SnapshotResult::no_space);
        f.fill(1, 'c', 40, 200);
        CHECK_FALSE(f.store.write(VolumeId{1}, 0, std::string(2 * block, 'd')));
        CHECK(f.at(1) == 'b');
        CHECK(f.at(2) == 'a');
        CHECK(f.store.check().empty());
        f.store.drop(VolumeId{2});
        while (f.store.reclaim(100)) {
        }
        f.fill(1, 'd', 2);
        CHECK(f.take_snapshot(1, 3) == SnapshotResult::created);
    }
}
