// Each fault that a node can be told to have, and the times at which it pauses.
#include <doctest/doctest.h>

#include "fixture.hpp"
#include "node/pause_schedule.hpp"

using namespace knotvane;
using namespace knotvane::node;

namespace {

// The answers to two reads, on a connection each, of which a fault meets one.
Answers answers_with(FaultKind kind, double magnitude = 0) {
    NodeFixture f;
    f.write(0, f.b, {.tag = 1, .letter = 'a'});
    f.transport.answers.clear();
    f.node.inject_fault({kind, 0, sec, 1, magnitude});
    f.read(1, f.a, 2);
    f.read(2, f.b, 3);
    return f.transport.answers;
}

} // namespace

TEST_SUITE("fault injection") {
    TEST_CASE("each fault does what it is named for, to as many as it was told") {
        const Answer second{3, Status::ok, "aaaa"};
        CHECK(answers_with(FaultKind::go_silent) == Answers{second});
        CHECK(answers_with(FaultKind::truncate_answer) == Answers{second});
        CHECK(answers_with(FaultKind::reset_connection) == Answers{second});
        CHECK(answers_with(FaultKind::corrupt_answer) == Answers{second}); // by its checksum
        CHECK(answers_with(FaultKind::delay_answer, 0.5) == Answers{second});
        CHECK(answers_with(FaultKind::reject_requests) == Answers{{2, Status::rejected}, second});
        CHECK(answers_with(FaultKind::fail_requests) == Answers{{2, Status::error}, second});
        CHECK(answers_with(FaultKind::corrupt_block) ==
              Answers{{2, Status::bad_checksum}, {3, Status::bad_checksum}});
    }

    TEST_CASE("a hang starts nothing until it ends, a refusal accepts no connection") {
        NodeFixture f;
        f.node.inject_fault({.kind = FaultKind::hang, .from = 0, .until = sec});
        f.read(1, f.a, 2);
        CHECK(f.transport.answers.empty());
        CHECK(f.node.next_due() == sec);
        f.node.tick(sec);
        CHECK(f.transport.answers.size() == 1);
        f.node.inject_fault(
            {.kind = FaultKind::refuse_connections, .from = 2 * sec, .until = 3 * sec});
        f.node.tick(2 * sec);
        CHECK(f.transport.closed.size() == 2);
        f.node.connected(2 * sec, ConnectionId{9});
        CHECK(f.transport.closed.size() == 3);
    }

    TEST_CASE("a slow node takes the factor longer; delayed answers come in the end") {
        NodeFixture f;
        f.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 5});
        f.node.inject_fault({.kind = FaultKind::slow, .until = sec, .magnitude = 3});
        f.read(0, f.a, 1);
        CHECK(f.node.next_due() == 30 * ms);
        f.node.tick(30 * ms);
        f.node.inject_fault({.kind = FaultKind::delay_answer, .until = sec, .magnitude = 0.5});
        f.read(40 * ms, f.a, 2);
        f.node.tick(70 * ms);
        CHECK(f.transport.answers.size() == 1);
        f.node.tick(570 * ms);
        CHECK(f.transport.answers.size() == 2);
    }

    TEST_CASE("a kind is found by the name that scenarios call it, and no other") {
        CHECK(fault_kind_from_name("mute") == FaultKind::go_silent);
        CHECK(fault_kind_from_name("rot") == FaultKind::corrupt_block);
        CHECK(fault_kind_from_name("full") == FaultKind::reject_requests);
        CHECK_FALSE(fault_kind_from_name("none").has_value());
    }
}

TEST_SUITE("pause schedule") {
    TEST_CASE("a pause begins after its interval and lasts its length") {
        std::ranlux24_base random(1);
        PauseSchedule pauses;
        pauses.configure_pauses({.interval = sec, .length = 50 * ms}, 0);
        CHECK(pauses.next_due(false) == sec);
        pauses.tick(sec - 1, {}, random);
        CHECK_FALSE(pauses.is_paused(sec - 1));
        pauses.tick(sec, {}, random);
        CHECK(pauses.is_paused(sec + 50 * ms - 1));
        CHECK_FALSE(pauses.is_paused(sec + 50 * ms));
        CHECK(pauses.next_due(true) == sec + 50 * ms);
        // From half to one and a half of the interval.
        CHECK(pauses.next_due(false) >= sec + 500 * ms);
        CHECK(pauses.next_due(false) < sec + 1500 * ms);
    }

    TEST_CASE("deferred work is done all at once, by all cores") {
        std::ranlux24_base random(1);
        PauseSchedule pauses;
        pauses.configure_deferred_work({.fraction = 0.25, .interval = sec}, 0);
        CHECK(pauses.defer_fraction_of(8) == 6);
        CHECK(pauses.defer_fraction_of(8) == 6);
        pauses.tick(sec, {.unit_time = 10 * ms, .cores = 2}, random);
        CHECK(pauses.is_paused(sec + 20 * ms - 1));
        CHECK_FALSE(pauses.is_paused(sec + 20 * ms));
        pauses.tick(2 * sec, {.unit_time = 10 * ms, .cores = 2}, random);
        CHECK_FALSE(pauses.is_paused(2 * sec));
    }
}
