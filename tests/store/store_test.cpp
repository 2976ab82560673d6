// Compares the store with a reference model; tests of damage, durability and incarnations.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "model.hpp"

using namespace knotvane;
using namespace knotvane::store;

TEST_SUITE("store") {
    TEST_CASE("after random writes, snapshots, clones and drops the content equals the model, also "
              "after reopening") {
        CHECK(rc::check([](std::uint16_t seed) {
            std::ranlux24_base random(seed);
            std::string bytes;
            auto medium = memory_medium(bytes);
            Store store(*medium, 3000);
            RandomChanges changes(store, random);
            for (int i = 0; i < 80; ++i)
                changes.step();
            RC_ASSERT(model_of(store) == changes.model);
            RC_ASSERT(store.check().empty());
            Store reopened(*medium, 3000);
            RC_ASSERT(model_of(reopened) == changes.model);
            while (store.reclaim(8)) {
            }
            RC_ASSERT(store.check().empty());
        }));
    }

    // The disk flips a bit of a block. Reads of that block must fail rather than return wrong
    // bytes, and a write to part of it must not give the damaged rest a valid checksum.
    TEST_CASE(
        "a flipped bit fails reads and partial writes of its block only, and check reports it") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store store(*medium);
        store.write(VolumeId{1}, 0, std::string(8192, 'x'));
        store.flip_bit(VolumeId{1}, 5000);
        std::string data;
        CHECK(store.read(VolumeId{1}, 0, 4096, data));
        CHECK_FALSE(store.read(VolumeId{1}, 4096, 512, data));
        CHECK_FALSE(store.write(VolumeId{1}, 4096, std::string(512, 'y')));
        CHECK(store.check() ==
              std::vector<std::string>{"volume 1: block 1 does not match its checksum"});
        CHECK(store.write(VolumeId{1}, 4096, std::string(4096, 'y')));
        CHECK(store.check().empty());
    }

    TEST_CASE("a store opened through an overlay reads the same data and changes no byte") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        {
            Store store(*medium);
            store.write(VolumeId{1}, 100, std::string(9000, 'x'));
        }
        auto before = bytes;
        auto overlay = overlay_medium(*medium);
        Store examined(*overlay);
        std::string data;
        CHECK(examined.read(VolumeId{1}, 100, 9000, data));
        CHECK(data == std::string(9000, 'x'));
        CHECK(examined.check().empty());
        CHECK(bytes == before);
    }

    // A node loses power between two flushes. Flushed changes and their marks must remain.
    // Unflushed changes must be lost together with their marks, so that repeats are applied again.
    // The new incarnation tells the edges that acknowledged changes may be lost.
    TEST_CASE(
        "discarding unflushed changes also discards their marks and increases the incarnation") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store store(*medium);
        store.write(VolumeId{1}, 0, std::string(512, 'a'));
        store.mark_applied({1, 1}, 10 * sec, 0);
        store.flush();
        store.write(VolumeId{1}, 0, std::string(512, 'b'));
        store.write(VolumeId{1}, 1 << 20, std::string(512, 'c'));
        store.mark_applied({1, 2}, 10 * sec, 0);
        auto incarnation = store.incarnation();
        store.discard_unflushed();
        std::string data;
        store.read(VolumeId{1}, 0, 512, data);
        store.read(VolumeId{1}, 1 << 20, 512, data);
        CHECK(data == std::string(512, 'a') + std::string(512, '\0'));
        CHECK(store.was_applied({1, 1}, 0));
        CHECK_FALSE(store.was_applied({1, 2}, 0));
        CHECK(store.incarnation() == incarnation + 1);
    }

    TEST_CASE("closing a store keeps the incarnation; ending without a close increases it") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        std::uint64_t incarnation = 0;
        {
            Store store(*medium);
            store.write(VolumeId{1}, 0, std::string(512, 'a'));
            store.close();
            incarnation = store.incarnation();
        }
        {
            Store store(*medium);
            CHECK(store.incarnation() == incarnation);
            store.write(VolumeId{1}, 0, std::string(512, 'b'));
            store.flush();
        }
        CHECK(Store(*medium).incarnation() == incarnation + 1);
    }

    TEST_CASE("marks survive reopening and are forgotten after their expiry time") {
        std::string bytes;
        auto medium = memory_medium(bytes);
        Store store(*medium);
        store.mark_applied({1, 7}, 5 * sec, 0);
        Store reopened(*medium);
        CHECK(reopened.was_applied({1, 7}, 5 * sec));
        CHECK_FALSE(reopened.was_applied({1, 7}, 5 * sec + 1));
        CHECK(reopened.mark_count() == 0);
    }
}
