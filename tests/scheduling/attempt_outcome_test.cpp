#include "scheduling/attempt_outcome.hpp"

#include <doctest/doctest.h>

namespace knotvane::scheduling {
namespace {

Request request_with_attempt(Time started_at) {
    Request request;
    request.id = RequestId{1};
    request.units = 2;
    request.latency_deadline = sec;
    request.attempts.push_back({{NodeId{1}, ShardId{1}, ZoneId{0}}, started_at, false, false});
    return request;
}

struct Outcome {
    NodeRecord node = NodeRecord(NodeId{1}, 8, 8); // a window of one, half at least
    Request request = request_with_attempt(0);

    Outcome() {
        QueueRank rank = {0, request.latency_deadline, request.id};
        node.queue.enqueue(request.volume, 1, rank);
        node.queue.select(0);
        node.queue.request_sent(rank, request.units, request.units);
        node.units_in_flight = request.units;
        node.health.attempt_started({0, request.id, AttemptId{0}});
    }

    bool record(AttemptOutcome outcome, Time duration) {
        AttemptResult result = {request.id, AttemptId{0}, NodeId{1}, outcome, duration, false};
        return record_outcome(node, request, result, duration, 2);
    }
};

TEST_CASE("an attempt that ended is in flight no more, whatever its outcome") {
    for (int i = 0; i < 8; ++i) {
        Outcome outcome;
        outcome.record(static_cast<AttemptOutcome>(i), 10 * ms);
        CHECK_FALSE(outcome.node.health.any_in_flight());
        CHECK(outcome.node.units_in_flight == 0);
        CHECK(outcome.node.queue.volumes().at(VolumeId{}).attempts_in_flight == 0);
    }
}

TEST_CASE("an attempt given up after half of its objective halves the window, a quick one not") {
    for (auto given_up : {AttemptOutcome::timed_out, AttemptOutcome::canceled}) {
        Outcome slow;
        slow.record(given_up, 501 * ms);
        CHECK(slow.node.window.size() == doctest::Approx(0.5));
        Outcome quick;
        quick.record(given_up, 500 * ms);
        CHECK(quick.node.window.size() == doctest::Approx(1));
    }
}

TEST_CASE("an overloaded node's window halves, and it gets nothing for an expected duration") {
    Outcome outcome;
    outcome.node.latency.update(0, 0.01);
    outcome.record(AttemptOutcome::overloaded, ms);
    CHECK(outcome.node.window.size() == doctest::Approx(0.5));
    CHECK(outcome.node.overload_backoff.active(21 * ms - 1));
    CHECK_FALSE(outcome.node.overload_backoff.active(21 * ms));
}

TEST_CASE("only an answer or an error shows that a process is back") {
    for (int i = 0; i < 8; ++i) {
        auto kind = static_cast<AttemptOutcome>(i);
        Outcome outcome;
        outcome.node.health.attempt_unreachable(0);
        outcome.node.health.attempt_unreachable(0);
        bool responds = kind == AttemptOutcome::answered || kind == AttemptOutcome::error;
        CHECK(outcome.record(kind, 10 * ms) == responds);
        CHECK(outcome.node.health.unresponsive() != responds);
    }
}

} // namespace
} // namespace knotvane::scheduling
