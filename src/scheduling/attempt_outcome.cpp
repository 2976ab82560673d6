#include "scheduling/attempt_outcome.hpp"

#include <algorithm>

namespace knotvane::scheduling {
namespace {

void record_abandoned(NodeRecord &node, const Request &request, const AttemptResult &result,
                      Time now, bool slow) {
    Time started_at = request.attempts[result.attempt.value].started_at;
    double units = effective_units(request);
    // The duration is a lower bound of the node's answer time. Without abandoned attempts the
    // window would be based on fast answers only, and would grow.
    node.window.record_duration(now, units, result.duration, slow);
    if (!node.health.overtaken(started_at))
        node.latency.add_abandoned(now, units, result.duration);
    node.health.attempt_abandoned(now, started_at, result.duration,
                                  node.latency.response_timeout());
}

void record_answer(NodeRecord &node, const Request &request, const AttemptResult &result, Time now,
                   bool slow) {
    double units = effective_units(request);
    node.health.attempt_answered(request.attempts[result.attempt.value].started_at);
    node.overload_backoff.reset();
    node.latency.add_answer(now, units, result.duration);
    node.window.record_duration(now, units, result.duration, slow);
}

} // namespace

bool record_outcome(NodeRecord &node, const Request &request, const AttemptResult &result, Time now,
                    std::uint32_t scheduler_count) {
    Time started_at = request.attempts[result.attempt.value].started_at;
    // The attempt took more than half of the request's latency objective.
    bool slow = 2 * result.duration > request.latency_deadline - request.received_at;

    node.units_in_flight -= request.units;
    node.queue.attempt_ended(request.volume);
    node.health.attempt_ended({started_at, request.id, result.attempt});
    bool may_have_restarted = false;
    switch (result.outcome) {
    case AttemptOutcome::timed_out:
    case AttemptOutcome::canceled:
        record_abandoned(node, request, result, now, slow);
        break;
    case AttemptOutcome::answered:
        may_have_restarted = node.health.node_responded(now);
        record_answer(node, request, result, now, slow);
        break;
    case AttemptOutcome::error:
        may_have_restarted = node.health.node_responded(now);
        break;
    case AttemptOutcome::overloaded:
        node.window.halve(now, node.latency.median_duration());
        node.overload_backoff.node_overloaded(now, node.latency.expected_duration(request.units),
                                              scheduler_count);
        break;
    case AttemptOutcome::unreachable:
        node.health.attempt_unreachable(started_at);
        break;
    case AttemptOutcome::reset:
    case AttemptOutcome::not_sent:
        break;
    }
    return may_have_restarted;
}

double effective_units(const Request &request) {
    return std::max(request.units, 1.0);
}

} // namespace knotvane::scheduling
