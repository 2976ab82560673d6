#include "scheduling/node_health.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// A node that hangs keeps its connections open but answers nothing. Without a limit the scheduler
// would fill it with requests that are all late when the node resumes.
TEST_CASE("a node with two overdue attempts gets only trial attempts") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.receive(0, 2);
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 3; i < 10; ++i)
        fixture.receive(600 * ms, i);
    fixture.scheduler->settle(600 * ms);
    CHECK(fixture.actions.count("start") <= 3);
}

// In a network that drops some messages, single attempts at healthy nodes are lost. If one were
// enough, most nodes would count as unresponsive, and lost attempts would fill the window.
TEST_CASE("one lost attempt neither occupies the window nor makes its node unresponsive") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 2; i < 10; ++i)
        fixture.receive(600 * ms, i);
    fixture.scheduler->settle(600 * ms);
    CHECK(fixture.actions.count("start") == 3);
}

TEST_CASE("the window has one extra slot after a lost attempt") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.receive(ms, 2);
    fixture.scheduler->settle(ms);
    fixture.complete(11 * ms, 2, AttemptOutcome::answered);
    fixture.complete(900 * ms, 1, AttemptOutcome::timed_out, 900 * ms);
    for (std::uint64_t i = 3; i < 10; ++i)
        fixture.receive(901 * ms, i);
    fixture.scheduler->settle(901 * ms);
    CHECK(fixture.actions.count("start") == 5); // two, then a window of two and one extra slot
}

// When clients disconnect early, no attempt at a node that hangs stays in flight long enough to be
// overdue. The attempts that were canceled then count instead.
TEST_CASE("two abandoned attempts without any response also make a node unresponsive") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    fixture.receive(ms, 2);
    fixture.scheduler->settle(ms);
    fixture.complete(100 * ms, 1, AttemptOutcome::canceled, 100 * ms);
    fixture.complete(100 * ms, 2, AttemptOutcome::canceled, 99 * ms);
    fixture.receive(700 * ms, 3);
    fixture.scheduler->settle(700 * ms);
    CHECK(fixture.actions.count("start") == 2);
}

// In a network that delays or drops connections, two failed connections at the same time made a
// node count as restarted although it answered other attempts.
TEST_CASE("failed connections don't start a slow start if the node answers others meanwhile") {
    for (bool answers : {true, false}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        for (std::uint64_t i = 1; i < 40; ++i) { // until the window exceeds two
            fixture.receive(3 * sec, i);
            fixture.scheduler->settle(3 * sec);
            fixture.complete(3 * sec + ms, i, AttemptOutcome::answered, ms);
        }
        for (std::uint64_t i = 40; i < 43; ++i)
            fixture.receive(4 * sec, i);
        fixture.scheduler->settle(4 * sec);
        REQUIRE(fixture.actions.count("start 42") == 1);
        if (answers)
            fixture.complete(4 * sec + 50 * ms, 42, AttemptOutcome::answered, 50 * ms);
        for (std::uint64_t i = 40; i < 42; ++i)
            fixture.complete(4 * sec + 100 * ms, i, AttemptOutcome::unreachable, 100 * ms);
        if (!answers)
            fixture.complete(4 * sec + 150 * ms, 42, AttemptOutcome::answered, 150 * ms);
        for (std::uint64_t i = 50; i < 70; ++i) {
            fixture.receive(5 * sec, i, 1, 0, 4);
            fixture.scheduler->settle(5 * sec);
            fixture.complete(5 * sec + ms, i, AttemptOutcome::answered, ms);
        }
        CHECK((fixture.actions.count("start") >= 60) == answers);
    }
}

// Single connections fail now and then. When one was enough, most nodes counted as restarted.
TEST_CASE("two unreachable attempts in a row start a slow start, a single one doesn't") {
    for (int failures : {1, 2}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        fixture.receive(3 * sec, 1);
        fixture.scheduler->settle(3 * sec);
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(failures); ++i) {
            fixture.complete(3 * sec, 1, AttemptOutcome::unreachable, us, i);
            fixture.scheduler->settle(3 * sec + 600 * ms * i);
        }
        fixture.scheduler->settle(4 * sec);
        fixture.complete(4 * sec, 1, AttemptOutcome::answered, ms,
                         static_cast<std::uint32_t>(failures));
        // In slow start the node gets 16 units within two seconds; the window allows more.
        for (std::uint64_t i = 10; i < 30; ++i) {
            fixture.receive(4 * sec, i, 1, 0, 4);
            fixture.scheduler->settle(4 * sec);
            fixture.complete(4 * sec + ms, i, AttemptOutcome::answered, ms);
        }
        CHECK((fixture.actions.count("start") >= 20) == (failures == 1));
    }
}

// A node may still work on a request whose client disconnected. If its window slot were free
// immediately, the node would fill with work that nobody waits for.
TEST_CASE("a canceled attempt still occupies its window slot") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 6; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    fixture.complete(10 * ms, 1, AttemptOutcome::canceled);
    fixture.scheduler->settle(10 * ms);
    CHECK(fixture.actions.count("start") == 2);
}

AttemptInFlight attempt_at(Time started_at, std::uint64_t request = 1) {
    return {started_at, RequestId{request}, AttemptId{0}};
}

TEST_CASE("two overdue attempts without any response make a node unresponsive, one doesn't") {
    LatencyEstimate latency; // the response timeout is half a second
    NodeHealth health;
    health.attempt_started(attempt_at(0, 1));
    health.update(500 * ms + 1, latency);
    CHECK_FALSE(health.unresponsive());
    CHECK(health.in_flight_not_overdue() == 0);
    health.attempt_started(attempt_at(ms, 2));
    health.update(501 * ms, latency); // the second isn't overdue yet
    CHECK_FALSE(health.unresponsive());
    health.update(501 * ms + 1, latency);
    CHECK(health.unresponsive());
    health.node_responded(502 * ms);
    CHECK_FALSE(health.unresponsive());
}

TEST_CASE("an overtaken attempt is overdue after three median durations") {
    LatencyEstimate latency;
    latency.add_answer(0, 1, 10 * ms);
    NodeHealth health;
    health.attempt_started(attempt_at(0, 1));
    health.update(31 * ms, latency);
    CHECK(health.in_flight_not_overdue() == 1);
    health.attempt_answered(5 * ms); // an attempt that started later
    health.update(30 * ms, latency);
    CHECK(health.in_flight_not_overdue() == 1);
    health.update(30 * ms + 1, latency);
    CHECK(health.in_flight_not_overdue() == 0);
}

TEST_CASE("abandoned work occupies a window slot until a later attempt is answered") {
    NodeHealth health;
    health.attempt_started(attempt_at(10 * ms));
    health.attempt_abandoned(20 * ms, 5 * ms, 15 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(20 * ms) == 2);
    health.attempt_answered(4 * ms);
    CHECK(health.occupied_window_slots(20 * ms) == 2);
    health.attempt_answered(6 * ms);
    CHECK(health.occupied_window_slots(20 * ms) == 1);
    // An attempt that was overtaken before it was abandoned leaves no work behind.
    health.attempt_abandoned(30 * ms, 5 * ms, 25 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(30 * ms) == 1);
}

TEST_CASE("with nothing in flight, abandoned work doesn't stop the next attempt") {
    NodeHealth health;
    health.attempt_abandoned(20 * ms, 5 * ms, 15 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(20 * ms) == 0);
}

TEST_CASE("a lost attempt gives the window one extra slot for two seconds") {
    NodeHealth health;
    health.attempt_answered(10 * ms);
    health.attempt_started(attempt_at(600 * ms));
    health.attempt_abandoned(600 * ms, 0, 600 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(600 * ms) == 0);
    CHECK(health.occupied_window_slots(2599 * ms) == 0);
    CHECK(health.occupied_window_slots(2600 * ms) == 1);
}

TEST_CASE("an answer after refused connections or a long silence may come from a new process") {
    NodeHealth refused;
    refused.attempt_unreachable(0);
    refused.attempt_unreachable(0);
    CHECK(refused.unresponsive());
    CHECK(refused.node_responded(ms));
    CHECK_FALSE(refused.node_responded(2 * ms));

    for (Time silence : {2 * sec, 2 * sec + 1}) {
        NodeHealth silent;
        silent.attempt_started(attempt_at(0, 1));
        silent.attempt_started(attempt_at(0, 2));
        silent.update(sec, LatencyEstimate());
        REQUIRE(silent.unresponsive());
        CHECK(silent.node_responded(silence) == (silence > 2 * sec));
    }
}

TEST_CASE("schedulers take turns in sending trial attempts") {
    NodeHealth health;
    const TrialRotation first = {SchedulerId{0}, 2};
    const TrialRotation second = {SchedulerId{1}, 2};
    CHECK(health.trial_allowed(500 * ms, first));
    CHECK_FALSE(health.trial_allowed(500 * ms, second));
    CHECK(health.trial_allowed(750 * ms, second));
    // Twenty schedulers get a slot of 100 ms each, so that all have one within two seconds.
    CHECK(health.trial_allowed(1900 * ms, {SchedulerId{19}, 20}));
    CHECK_FALSE(health.trial_allowed(1900 * ms, {SchedulerId{18}, 20}));
    // Two trial attempts of the same scheduler are at least 250 ms apart.
    health.attempt_started(attempt_at(500 * ms));
    CHECK_FALSE(health.trial_allowed(749 * ms, {SchedulerId{0}, 1}));
    CHECK(health.trial_allowed(750 * ms, {SchedulerId{0}, 1}));
}

// A node that was idle for a while wasn't silent: if it then pauses for a short time, it must not
// count as restarted.
TEST_CASE("a node's silence is counted from the first attempt in flight") {
    NodeHealth health;
    health.attempt_started(attempt_at(10 * sec, 1));
    health.attempt_started(attempt_at(10 * sec, 2));
    health.update(10600 * ms, LatencyEstimate());
    REQUIRE(health.unresponsive());
    CHECK_FALSE(health.node_responded(11 * sec));
}

TEST_CASE("abandoned work stops counting four response timeouts after its start") {
    NodeHealth health;
    health.attempt_abandoned(ms, 0, ms, 500 * ms);
    health.attempt_started(attempt_at(1900 * ms));
    health.update(2 * sec, LatencyEstimate());
    CHECK(health.occupied_window_slots(2 * sec) == 2);
    health.update(2 * sec + 1, LatencyEstimate());
    CHECK(health.occupied_window_slots(2 * sec + 1) == 1);
}

TEST_CASE("a new process isn't unresponsive because of what its predecessor left unanswered") {
    NodeHealth health;
    health.attempt_started(attempt_at(0, 1));
    health.attempt_started(attempt_at(0, 2));
    health.update(sec, LatencyEstimate());
    REQUIRE(health.unresponsive());
    health.node_restarted(sec);
    CHECK_FALSE(health.unresponsive());
    health.update(1100 * ms, LatencyEstimate());
    CHECK_FALSE(health.unresponsive());
}

} // namespace
} // namespace knotvane::scheduling
