// Copies of a write that come late, after another attempt of it was answered.
#include <doctest/doctest.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("deduplication") {
    // An edge sends a write twice, on two connections, and the first copy is delayed. Meanwhile the
    // client has its answer and writes something else to the same place. The delayed copy must not
    // overwrite that.
    TEST_CASE("until its not-after time a delayed copy is answered and not done") {
        NodeFixture f;
        f.write(1 * sec, f.b, {2, 77, 3 * sec, 'x'}); // the second copy, on another connection
        f.write(1 * sec, f.b, {3, 78, 3 * sec, 'y'}); // the later write
        f.write(2 * sec, f.a, {1, 77, 3 * sec, 'x'}); // the first copy, delayed
        f.read(2 * sec, f.a, 4);
        CHECK(f.transport.answers == Answers{{2}, {3}, {1}, {4, Status::ok, "yyyy"}});
    }

    // The same, with a copy so late that its mark is forgotten.
    TEST_CASE("past its not-after time a delayed copy is refused") {
        NodeFixture f;
        f.write(1 * sec, f.b, {2, 77, 3 * sec, 'x'});
        f.write(2 * sec, f.b, {3, 78, 4 * sec, 'y'});
        f.write(3 * sec + 1, f.a, {1, 77, 3 * sec, 'x'});
        f.read(4 * sec, f.a, 4);
        CHECK(f.transport.answers ==
              Answers{{2}, {3}, {1, Status::expired}, {4, Status::ok, "yyyy"}});
    }

    // The node is busy: a write comes in time and its turn does not.
    TEST_CASE("a copy that waited at the node past its time is not done either") {
        NodeFixture f;
        f.node.set_service_model({.unit_time = 100 * ms, .queue_capacity = 10});
        f.write(0, f.a, {1, 1, 10 * sec, 'a'});
        f.write(0, f.a, {2, 2, 150 * ms, 'b'});
        f.run_until(sec - 1, 10 * ms);
        CHECK(f.transport.answers == Answers{{1}, {2, Status::expired}});
    }

    // The node restarts between a write and its delayed copy.
    TEST_CASE("after a restart marks still drop a copy; connections of before are not heard") {
        NodeFixture f;
        f.write(1 * sec, f.b, {2, 77, 9 * sec, 'x'});
        f.write(1 * sec, f.b, {3, 78, 9 * sec, 'y'});
        f.node.restart(2 * sec, false);
        f.write(2 * sec, f.a, {1, 77, 9 * sec, 'x'});
        ConnectionId later{3};
        f.connect(2 * sec, later);
        f.write(3 * sec, later, {5, 77, 9 * sec, 'x'});
        f.read(3 * sec, later, 6);
        CHECK(f.transport.answers == Answers{{2}, {3}, {5}, {6, Status::ok, "yyyy"}});
    }
}
