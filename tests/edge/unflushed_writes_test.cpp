// Which shards a flush has to reach, and the detection of writes that a restart has lost.
#include <doctest/doctest.h>

#include "edge/unflushed_writes.hpp"

using namespace knotvane;
using namespace knotvane::edge;

TEST_SUITE("unflushed writes") {
    TEST_CASE("a flush covers the writes before its mark but not those after it") {
        UnflushedWrites writes;
        writes.write_answered(ShardId{1}, 1);
        auto mark = writes.flush_mark();
        writes.write_answered(ShardId{1}, 1);
        writes.flush_answered(ShardId{1}, 1, mark);
        CHECK(writes.shards_to_flush().size() == 1);
        writes.flush_answered(ShardId{1}, 1, writes.flush_mark());
        CHECK(writes.shards_to_flush().empty());
        CHECK(writes.losses() == 0);
    }
    // A node restarts between a write and the flush that should make it durable. The new process
    // answers the flush with success, but it never received the write: the loss must be counted.
    TEST_CASE("unflushed writes count as lost once the store answers with another incarnation") {
        UnflushedWrites writes;
        writes.write_answered(ShardId{1}, 1);
        writes.flush_answered(ShardId{1}, 2, writes.flush_mark());
        CHECK(writes.losses() == 1);
        writes.write_answered(ShardId{2}, 1);
        writes.write_answered(ShardId{2}, 3);
        CHECK(writes.losses() == 2);
    }
}
