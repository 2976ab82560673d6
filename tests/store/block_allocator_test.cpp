// When a block that was released may be written over.
#include <doctest/doctest.h>

#include "store/block_allocator.hpp"

using namespace knotvane::store;

TEST_SUITE("block allocator") {
    // The power fails right after a flush was made durable and before its record was. The next
    // opening still reads the blocks of the records before that flush; one that was released and
    // written over meanwhile would not match its checksum, and flushed changes would be lost.
    TEST_CASE("a released block is free after the second flush, not after the first") {
        BlockAllocator blocks(1);
        Slot slot = blocks.allocate();
        blocks.add_reference(slot);
        CHECK(blocks.used() == 1);
        blocks.remove_reference(slot);
        CHECK(blocks.used() == 0);
        CHECK(blocks.released_since_flush() == 1);
        CHECK(blocks.allocate() == no_slot);
        blocks.on_flush();
        CHECK(blocks.needs_flush());
        CHECK(blocks.allocate() == no_slot);
        blocks.on_flush();
        CHECK_FALSE(blocks.needs_flush());
        CHECK(blocks.allocate() == slot);
    }

    TEST_CASE("a checkpoint frees what was released; blocks of a failed change are free at once") {
        BlockAllocator blocks(2);
        Slot released = blocks.allocate();
        blocks.add_reference(released);
        blocks.remove_reference(released);
        Slot unused = blocks.allocate();
        blocks.return_unused({unused});
        CHECK(blocks.available() == 2);
        CHECK(blocks.allocate() == unused);
        CHECK(blocks.allocate() == no_slot);
        blocks.on_checkpoint();
        CHECK(blocks.allocate() == released);
        CHECK(blocks.is_free_list_sound());
    }
}
