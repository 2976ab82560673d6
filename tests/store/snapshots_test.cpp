// Tests of the content, space and differences of snapshots and clones in one store.
#include <doctest/doctest.h>

#include "store/store.hpp"

using namespace knotvane;
using namespace knotvane::store;

namespace {

constexpr std::uint64_t block = block_size; // as 64 bits, for offsets

// A store in memory. Writes fill whole blocks with one letter.
struct Fixture {
    explicit Fixture(std::uint64_t capacity = 1000) : store(*medium, capacity) {}

    // Reads the letter at an offset; '!' if the read fails.
    char letter_at(std::uint64_t volume, std::uint64_t offset = 0) {
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
    TEST_CASE(
        "a resent order has no effect, an id in use is refused, and a snapshot is read-only") {
        Fixture fixture;
        fixture.fill(1, 'a');
        CHECK(fixture.take_snapshot(1, 2) == SnapshotResult::created);
        fixture.fill(1, 'b');
        CHECK(fixture.take_snapshot(1, 2) == SnapshotResult::already_exists);
        CHECK(fixture.letter_at(2) == 'a');
        CHECK(fixture.store.clone(VolumeId{1}, VolumeId{2}) == SnapshotResult::id_taken);
        CHECK(fixture.take_snapshot(3, 2) == SnapshotResult::id_taken);
        CHECK(fixture.take_snapshot(1, 1) == SnapshotResult::id_taken);
        CHECK_FALSE(fixture.store.write(VolumeId{2}, 0, "x"));
        CHECK_FALSE(fixture.store.zero(VolumeId{2}, 0, 512));
        // A snapshot can be cloned, and the clone is writable.
        CHECK(fixture.store.clone(VolumeId{2}, VolumeId{4}) == SnapshotResult::created);
        fixture.fill(4, 'c');
        CHECK(fixture.letter_at(2) == 'a');
        CHECK(fixture.letter_at(4) == 'c');
        CHECK(fixture.store.drop(VolumeId{2}));
        CHECK_FALSE(fixture.store.drop(VolumeId{2}));
    }

    TEST_CASE(
        "unchanged blocks are shared; the space of a dropped snapshot is reclaimed in steps") {
        Fixture fixture;
        fixture.fill(1, 'a', 500);
        CHECK(fixture.take_snapshot(1, 2) == SnapshotResult::created);
        CHECK(fixture.store.blocks_used() == 500);
        CHECK(fixture.store.is_shared(VolumeId{1}, 0));
        fixture.fill(1, 'b', 100);
        CHECK_FALSE(fixture.store.is_shared(VolumeId{1}, 0));
        CHECK(fixture.store.is_shared(VolumeId{1}, 499 * block));
        CHECK(fixture.store.blocks_used() == 600);
        fixture.store.drop(VolumeId{2});
        CHECK(fixture.store.blocks_used() == 600);
        int steps = 1;
        while (fixture.store.reclaim(1))
            ++steps;
        CHECK(steps > 1);
        CHECK(fixture.store.blocks_used() == 500);
        CHECK(fixture.store.check().empty());
    }

    TEST_CASE("diff returns the differing ranges, also of volumes with maps of different heights") {
        Fixture fixture;
        fixture.fill(1, 'a', 200);
        fixture.take_snapshot(1, 2);
        fixture.fill(1, 'b', 2, 5);
        fixture.fill(1, 'b', 1, 190);
        fixture.store.zero(VolumeId{1}, 100 * block, block_size);
        fixture.store.write(VolumeId{1}, 5000 * block, std::string(block, 'z'));
        CHECK(fixture.store.diff(VolumeId{2}, VolumeId{1}) ==
              std::vector<ByteRange>{{5 * block, 2 * block},
                                     {100 * block, block},
                                     {190 * block, block},
                                     {5000 * block, block}});
        CHECK(fixture.store.diff(VolumeId{2}, VolumeId{2}).empty());
    }

    // Snapshots keep blocks in use until the store is full. New snapshots must be refused while
    // writes still succeed, and writes only later. Neither refusal may damage stored data, and a
    // dropped snapshot must make space again.
    TEST_CASE(
        "a store that fills up refuses snapshots first and writes later; a drop makes space") {
        Fixture fixture(500);
        fixture.fill(1, 'a', 300);
        CHECK(fixture.take_snapshot(1, 2) == SnapshotResult::created);
        fixture.fill(1, 'b', 160);
        CHECK(fixture.take_snapshot(1, 3) == SnapshotResult::no_space);
        fixture.fill(1, 'c', 40, 200);
        CHECK_FALSE(fixture.store.write(VolumeId{1}, 0, std::string(2 * block, 'd')));
        CHECK(fixture.letter_at(1) == 'b');
        CHECK(fixture.letter_at(2) == 'a');
        CHECK(fixture.store.check().empty());
        fixture.store.drop(VolumeId{2});
        while (fixture.store.reclaim(100)) {
        }
        fixture.fill(1, 'd', 2);
        CHECK(fixture.take_snapshot(1, 3) == SnapshotResult::created);
    }
}
