#include "scheduling/node_health.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

// A node that hangs keeps its connections and answers nothing. Without a bound the scheduler would
// fill it with requests that are all late when it wakes.
TEST_CASE("a node with two overdue attempts gets no more than trial attempts") {
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

// A network that drops some answers loses single attempts at nodes that live. If one were enough,
// most nodes would pass for hanging, and lost attempts would fill the window.
TEST_CASE("one lost attempt neither takes a place of the window nor makes its node unresponsive") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    fixture.receive(0, 1);
    fixture.scheduler->settle(0);
    for (std::uint64_t i = 2; i < 10; ++i)
        fixture.receive(600 * ms, i);
    fixture.scheduler->settle(600 * ms);
    CHECK(fixture.actions.count("start") == 3);
}

TEST_CASE("after a lost attempt the window has one more place") {
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
    CHECK(fixture.actions.count("start") == 5); // two, then a window of two and one more place
}

// Clients leave a node that hangs, so that no attempt stays in flight long enough to be overdue.
// The attempts that they left count instead.
TEST_CASE("abandoned attempts with no response make a node unresponsive, too") {
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

// Where connections come up late or never, two that were lost together made a node that answered
// others pass for one that had just started.
TEST_CASE("connections lost while the node answers others don't start its slow start") {
    for (bool answers : {true, false}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        for (std::uint64_t i = 1; i < 40; ++i) { // until more than two may be in flight
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

// Now and then one connection is lost. When one was enough, most nodes of a day passed for new.
TEST_CASE("one unreachable attempt doesn't start a slow start; two in a row do") {
    for (int lost : {1, 2}) {
        SchedulerFixture fixture;
        fixture.list_endpoints(0);
        fixture.receive(3 * sec, 1);
        fixture.scheduler->settle(3 * sec);
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(lost); ++i) {
            fixture.complete(3 * sec, 1, AttemptOutcome::unreachable, us, i);
            fixture.scheduler->settle(3 * sec + 600 * ms * i);
        }
        fixture.scheduler->settle(4 * sec);
        fixture.complete(4 * sec, 1, AttemptOutcome::answered, ms,
                         static_cast<std::uint32_t>(lost));
        // Its share in slow start is 16 units within two seconds; the window allows more.
        for (std::uint64_t i = 10; i < 30; ++i) {
            fixture.receive(4 * sec, i, 1, 0, 4);
            fixture.scheduler->settle(4 * sec);
            fixture.complete(4 * sec + ms, i, AttemptOutcome::answered, ms);
        }
        CHECK((fixture.actions.count("start") >= 20) == (lost == 1));
    }
}

// A node goes on working on a request whose client has left. If its place were free at once, the
// node would fill with work that nobody waits for.
TEST_CASE("an attempt that its client left keeps its place in the window") {
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

TEST_CASE("two overdue attempts with nothing heard make a node unresponsive, one doesn't") {
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

TEST_CASE("an overtaken attempt is overdue past three median durations") {
    LatencyEstimate latency;
    latency.add_answer(0, 1, 10 * ms);
    NodeHealth health;
    health.attempt_started(attempt_at(0, 1));
    health.update(31 * ms, latency);
    CHECK(health.in_flight_not_overdue() == 1);
    health.attempt_answered(5 * ms); // one that started later
    health.update(30 * ms, latency);
    CHECK(health.in_flight_not_overdue() == 1);
    health.update(30 * ms + 1, latency);
    CHECK(health.in_flight_not_overdue() == 0);
}

TEST_CASE("abandoned work takes a place until a later attempt is answered") {
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

TEST_CASE("with nothing in flight one attempt may always go") {
    NodeHealth health;
    health.attempt_abandoned(20 * ms, 5 * ms, 15 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(20 * ms) == 0);
}

TEST_CASE("a lost attempt gives the window one more place for two seconds") {
    NodeHealth health;
    health.attempt_answered(10 * ms);
    health.attempt_started(attempt_at(600 * ms));
    health.attempt_abandoned(600 * ms, 0, 600 * ms, 500 * ms);
    CHECK(health.occupied_window_slots(600 * ms) == 0);
    CHECK(health.occupied_window_slots(2599 * ms) == 0);
    CHECK(health.occupied_window_slots(2600 * ms) == 1);
}

TEST_CASE("an answer after refused connections or a long silence may be a new process's") {
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

TEST_CASE("schedulers send trial attempts in turns") {
    NodeHealth health;
    const TrialRotation first = {SchedulerId{0}, 2};
    const TrialRotation second = {SchedulerId{1}, 2};
    CHECK(health.trial_allowed(500 * ms, first));
    CHECK_FALSE(health.trial_allowed(500 * ms, second));
    CHECK(health.trial_allowed(750 * ms, second));
    // All of twenty schedulers have their turn, of 100 ms, within two seconds.
    CHECK(health.trial_allowed(1900 * ms, {SchedulerId{19}, 20}));
    CHECK_FALSE(health.trial_allowed(1900 * ms, {SchedulerId{18}, 20}));
    // But one scheduler's trials are a turn of 250 ms apart.
    health.attempt_started(attempt_at(500 * ms));
    CHECK_FALSE(health.trial_allowed(749 * ms, {SchedulerId{0}, 1}));
    CHECK(health.trial_allowed(750 * ms, {SchedulerId{0}, 1}));
}

// A node that had nothing to do for a while was not silent: after a short pause it must not pass
// for one that restarted.
TEST_CASE("a node's silence begins with the first attempt in flight") {
    NodeHealth health;
    health.attempt_started(attempt_at(10 * sec, 1));
    health.attempt_started(attempt_at(10 * sec, 2));
    health.update(10600 * ms, LatencyEstimate());
    REQUIRE(health.unresponsive());
    CHECK_FALSE(health.node_responded(11 * sec));
}

TEST_CASE("abandoned work is taken for done four response timeouts after its start") {
    NodeHealth health;
    health.attempt_abandoned(ms, 0, ms, 500 * ms);
    health.attempt_started(attempt_at(1900 * ms));
    health.update(2 * sec, LatencyEstimate());
    CHECK(health.occupied_window_slots(2 * sec) == 2);
    health.update(2 * sec + 1, LatencyEstimate());
    CHECK(health.occupied_window_slots(2 * sec + 1) == 1);
}

TEST_CASE("a new process isn't unresponsive for what its predecessor left unanswered") {
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
