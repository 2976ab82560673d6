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

/// A node with one attempt in flight, whose outcome is recorded.
struct OutcomeFixture {
    // Eight schedulers: the window is 1 and at least 0.5.
    NodeRecord node = NodeRecord(NodeId{1}, 8, 8);
    Request request = request_with_attempt(0);

    OutcomeFixture() {
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

TEST_CASE("an attempt that ended isn't in flight any more, whatever its outcome") {
    for (int i = 0; i < 8; ++i) {
        OutcomeFixture fixture;
        fixture.record(static_cast<AttemptOutcome>(i), 10 * ms);
        CHECK_FALSE(fixture.node.health.any_in_flight());
        CHECK(fixture.node.units_in_flight == 0);
        CHECK(fixture.node.queue.volumes().at(VolumeId{}).attempts_in_flight == 0);
    }
}

TEST_CASE(
    "an abandoned attempt halves the window only if it took over half of its latency objective") {
    for (auto outcome : {AttemptOutcome::timed_out, AttemptOutcome::canceled}) {
        OutcomeFixture slow;
        slow.record(outcome, 501 * ms);
        CHECK(slow.node.window.size() == doctest::Approx(0.5));
        OutcomeFixture quick;
        quick.record(outcome, 500 * ms);
        CHECK(quick.node.window.size() == doctest::Approx(1));
    }
}

TEST_CASE("an overload halves the window and blocks the node for one expected duration") {
    OutcomeFixture fixture;
    fixture.node.latency.update(0, 0.01);
    fixture.record(AttemptOutcome::overloaded, ms);
    CHECK(fixture.node.window.size() == doctest::Approx(0.5));
    CHECK(fixture.node.overload_backoff.active(21 * ms - 1));
    CHECK_FALSE(fixture.node.overload_backoff.active(21 * ms));
}

TEST_CASE("only an answer or an error shows that an unreachable node responds again") {
    for (int i = 0; i < 8; ++i) {
        auto outcome = static_cast<AttemptOutcome>(i);
        OutcomeFixture fixture;
        fixture.node.health.attempt_unreachable(0);
        fixture.node.health.attempt_unreachable(0);
        bool responds = outcome == AttemptOutcome::answered || outcome == AttemptOutcome::error;
        CHECK(fixture.record(outcome, 10 * ms) == responds);
        CHECK(fixture.node.health.unresponsive() != responds);
    }
}

} // namespace
} // namespace knotvane::scheduling
