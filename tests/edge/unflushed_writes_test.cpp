// What a flush has to reach, and which writes a restart has lost.
#include <doctest/doctest.h>

#include "edge/unflushed_writes.hpp"

using namespace knotvane;
using namespace knotvane::edge;

TEST_SUITE("unflushed writes") {
    TEST_CASE("a flush covers what was written before it, and not what came meanwhile") {
        UnflushedWrites u;
        u.write_answered(ShardId{1}, 1);
        auto mark = u.flush_mark();
        u.write_answered(ShardId{1}, 1);
        u.flush_answered(ShardId{1}, 1, mark);
        CHECK(u.shards_to_flush().size() == 1);
        u.flush_answered(ShardId{1}, 1, u.flush_mark());
        CHECK(u.shards_to_flush().empty());
        CHECK(u.losses() == 0);
    }
    TEST_CASE("a store of another life has lost what was not flushed") {
        UnflushedWrites u;
        u.write_answered(ShardId{1}, 1);
        u.flush_answered(ShardId{1}, 2, u.flush_mark());
        CHECK(u.losses() == 1);
        u.write_answered(ShardId{2}, 1);
        u.write_answered(ShardId{2}, 3);
        CHECK(u.losses() == 2);
    }
}
