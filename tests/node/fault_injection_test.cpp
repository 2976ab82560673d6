// Each kind of fault that can be injected into a node, and the times at which a node pauses.
#include <doctest/doctest.h>

#include "fixture.hpp"
#include "node/pause_schedule.hpp"

using namespace knotvane;
using namespace knotvane::node;

namespace {

// The answers to two reads, each on its own connection, with a fault that affects only one of them.
Answers answers_with(FaultKind kind, double magnitude = 0) {
    NodeFixture fixture;
    fixture.write(0, fixture.second_connection, {.tag = 1, .letter = 'a'});
    fixture.transport.answers.clear();
    fixture.node.inject_fault({kind, 0, sec, 1, magnitude});
    fixture.read(1, fixture.first_connection, 2);
    fixture.read(2, fixture.second_connection, 3);
    return fixture.transport.answers;
}

} // namespace

TEST_SUITE("fault injection") {
    TEST_CASE("each fault has its effect on as many requests as its count says") {
        const Answer second{3, Status::ok, "aaaa"};
        CHECK(answers_with(FaultKind::go_silent) == Answers{second});
        CHECK(answers_with(FaultKind::truncate_answer) == Answers{second});
        CHECK(answers_with(FaultKind::reset_connection) == Answers{second});
        CHECK(answers_with(FaultKind::corrupt_answer) == Answers{second}); // found by its checksum
        CHECK(answers_with(FaultKind::delay_answer, 0.5) == Answers{second});
        CHECK(answers_with(FaultKind::reject_requests) == Answers{{2, Status::rejected}, second});
        CHECK(answers_with(FaultKind::fail_requests) == Answers{{2, Status::error}, second});
        CHECK(answers_with(FaultKind::corrupt_block) ==
              Answers{{2, Status::bad_checksum}, {3, Status::bad_checksum}});
    }

    TEST_CASE(
        "during a hang no request is started, and during a refusal every connection is reset") {
        NodeFixture fixture;
        fixture.node.inject_fault({.kind = FaultKind::hang, .from = 0, .until = sec});
        fixture.read(1, fixture.first_connection, 2);
        CHECK(fixture.transport.answers.empty());
        CHECK(fixture.node.next_due() == sec);
        fixture.node.tick(sec);
        CHECK(fixture.transport.answers.size() == 1);
        fixture.node.inject_fault(
            {.kind = FaultKind::refuse_connections, .from = 2 * sec, .until = 3 * sec});
        fixture.node.tick(2 * sec);
        CHECK(fixture.transport.closed.size() == 2);
        fixture.node.connected(2 * sec, ConnectionId{9});
        CHECK(fixture.transport.closed.size() == 3);
    }

    TEST_CASE(
        "a slow node's execution time is multiplied by the factor, and delayed answers are sent "
        "when the delay is over") {
        NodeFixture fixture;
        fixture.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 5});
        fixture.node.inject_fault({.kind = FaultKind::slow, .until = sec, .magnitude = 3});
        fixture.read(0, fixture.first_connection, 1);
        CHECK(fixture.node.next_due() == 30 * ms);
        fixture.node.tick(30 * ms);
        fixture.node.inject_fault(
            {.kind = FaultKind::delay_answer, .until = sec, .magnitude = 0.5});
        fixture.read(40 * ms, fixture.first_connection, 2);
        fixture.node.tick(70 * ms);
        CHECK(fixture.transport.answers.size() == 1);
        fixture.node.tick(570 * ms);
        CHECK(fixture.transport.answers.size() == 2);
    }

    TEST_CASE("fault kinds are found by their names in scenario files, and unknown names are not") {
        CHECK(fault_kind_from_name("mute") == FaultKind::go_silent);
        CHECK(fault_kind_from_name("rot") == FaultKind::corrupt_block);
        CHECK(fault_kind_from_name("full") == FaultKind::reject_requests);
        CHECK_FALSE(fault_kind_from_name("none").has_value());
    }
}

TEST_SUITE("pause schedule") {
    TEST_CASE("a pause begins after the interval and lasts for the configured length") {
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
        // The next pause begins after half to one and a half of the interval.
        CHECK(pauses.next_due(false) >= sec + 500 * ms);
        CHECK(pauses.next_due(false) < sec + 1500 * ms);
    }

    TEST_CASE("all deferred work is done in one pause, divided among all cores") {
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
