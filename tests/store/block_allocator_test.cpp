// Tests of when a released block may be reused.
#include <doctest/doctest.h>

#include "store/block_allocator.hpp"

using namespace knotvane::store;

TEST_SUITE("block allocator") {
    // The power fails after a flush synced the data but before the flush's own record is durable.
    // Recovery then still verifies the blocks of the records before that flush. If one of them had
    // been released and overwritten, its checksum would not match and flushed changes would be
    // lost.
    TEST_CASE("a released block is free after the second flush, not after the first") {
        BlockAllocator blocks(1);
        Slot slot = blocks.allocate();
        blocks.add_reference(slot);
        CHECK(blocks.used() == 1);
        blocks.remove_reference(slot);
        CHECK(blocks.used() == 0);
        CHECK(blocks.released_since_flush_count() == 1);
        CHECK(blocks.allocate() == no_slot);
        blocks.on_flush();
        CHECK(blocks.needs_flush());
        CHECK(blocks.allocate() == no_slot);
        blocks.on_flush();
        CHECK_FALSE(blocks.needs_flush());
        CHECK(blocks.allocate() == slot);
    }

    TEST_CASE("a checkpoint frees released blocks; blocks of a failed change are free at once") {
        BlockAllocator blocks(2);
        Slot released = blocks.allocate();
        blocks.add_reference(released);
        blocks.remove_reference(released);
        Slot unused = blocks.allocate();
        blocks.free_unused({unused});
        CHECK(blocks.available() == 2);
        CHECK(blocks.allocate() == unused);
        CHECK(blocks.allocate() == no_slot);
        blocks.on_checkpoint();
        CHECK(blocks.allocate() == released);
        CHECK(blocks.is_free_list_sound());
    }
}
