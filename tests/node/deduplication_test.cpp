// Delayed copies of a write that arrive after another attempt of the same write was answered.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("deduplication") {
    // An edge sends a write twice, on two connections, and the first copy is delayed. Meanwhile the
    // second copy is answered, and the client writes other data to the same range. The delayed copy
    // must not overwrite that data.
    TEST_CASE("a delayed copy that arrives by its not-after time is answered with success but not "
              "applied") {
        NodeFixture fixture;
        fixture.write(1 * sec, fixture.second_connection,
                      {2, 77, 3 * sec, 'x'}); // the second copy, on another connection
        fixture.write(1 * sec, fixture.second_connection, {3, 78, 3 * sec, 'y'}); // the later write
        fixture.write(2 * sec, fixture.first_connection,
                      {1, 77, 3 * sec, 'x'}); // the first copy, delayed
        fixture.read(2 * sec, fixture.first_connection, 4);
        CHECK(fixture.transport.answers == Answers{{2}, {3}, {1}, {4, Status::ok, "yyyy"}});
    }

    // The same, with a copy so late that its deduplication mark may already be removed.
    TEST_CASE("a delayed copy that arrives after its not-after time is answered as expired") {
        NodeFixture fixture;
        fixture.write(1 * sec, fixture.second_connection, {2, 77, 3 * sec, 'x'});
        fixture.write(2 * sec, fixture.second_connection, {3, 78, 4 * sec, 'y'});
        fixture.write(3 * sec + 1, fixture.first_connection, {1, 77, 3 * sec, 'x'});
        fixture.read(4 * sec, fixture.first_connection, 4);
        CHECK(fixture.transport.answers ==
              Answers{{2}, {3}, {1, Status::expired}, {4, Status::ok, "yyyy"}});
    }

    // The node is busy: a write arrives by its not-after time but waits in the queue for longer.
    TEST_CASE("a write that is queued past its not-after time is answered as expired") {
        NodeFixture fixture;
        fixture.node.set_service_model({.unit_time = 100 * ms, .queue_capacity = 10});
        fixture.write(0, fixture.first_connection, {1, 1, 10 * sec, 'a'});
        fixture.write(0, fixture.first_connection, {2, 2, 150 * ms, 'b'});
        fixture.run_until(sec - 1, 10 * ms);
        CHECK(fixture.transport.answers == Answers{{1}, {2, Status::expired}});
    }

    // The node restarts between a write and its delayed copy.
    TEST_CASE("after a restart deduplication marks are still in force, and earlier connections are "
              "ignored") {
        NodeFixture fixture;
        fixture.write(1 * sec, fixture.second_connection, {2, 77, 9 * sec, 'x'});
        fixture.write(1 * sec, fixture.second_connection, {3, 78, 9 * sec, 'y'});
        fixture.node.restart(2 * sec, false);
        fixture.write(2 * sec, fixture.first_connection, {1, 77, 9 * sec, 'x'});
        ConnectionId new_connection{3};
        fixture.connect(2 * sec, new_connection);
        fixture.write(3 * sec, new_connection, {5, 77, 9 * sec, 'x'});
        fixture.read(3 * sec, new_connection, 6);
        CHECK(fixture.transport.answers == Answers{{2}, {3}, {5}, {6, Status::ok, "yyyy"}});
    }
}
