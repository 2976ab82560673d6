// The interface of the decisions: what a scheduler is told and what it may do about it.
//
// Call order: make_scheduler; the set-up calls, each once (workload and plan once for each); ready;
// then events in the order in which they happen. A plan and its limit may be told anew at any time
// and count for what comes after. A run of events that share one moment ends with settle, in which
// waiting work goes. A list of nodes comes as list_begins, node_listed for each line, list_ends.
#pragma once

#include "common/ids.hpp"
#include "scheduling/node_record.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace knotvane {

enum class EndpointListKind { full, delta };
// How a shot ended. Only full, unreachable and unsent prove that it did not run.
enum class AttemptOutcome {
    answered,
    error,
    overloaded,
    timed_out,
    unreachable,
    reset,
    canceled,
    not_sent
};
enum class Column { active, waiting, busy, latency, served, errors, other };

// What a scheduler may do.
class SchedulerActions {
public:
    virtual ~SchedulerActions() = default;
    virtual void start_attempt(RequestId task, NodeId node, Time timeout) = 0;
    virtual void cancel_attempt(RequestId task, AttemptId shot) = 0;
    virtual void reject(RequestId task, Time retry_after) = 0;
    virtual void error(RequestId task) = 0;
    virtual void set_timer(TimerId alarm, Time wait) = 0;
    virtual void watch_endpoints() = 0;
    virtual void ask_list() = 0;
    virtual void probe(NodeId node) = 0;
    virtual void tell_all(std::string_view text) = 0;
    virtual void note(std::string_view text) = 0;
};

// What a scheduler is told.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    // Set-up, one call for each concern. A figure of zero means that the site does not have
    // it. A call with a body of its own may be left out by a scheduler that has no use for it.
    virtual void set_place(PeerId self, std::uint32_t schedulers, ZoneId zone) = 0;
    virtual void set_clock(Time step, Time answer_grace) = 0;
    virtual void add_workload(WorkloadId id, Time due, Time client_timeout, double value,
                              double late_part) = 0;
    virtual void set_repeat(WorkloadId id, Idempotency repeat, DeduplicationScope group, Time window) = 0;
    virtual void set_turns(WorkloadId id, Time key_rest) = 0;
    virtual void add_plan(PlanId id, double weight, double usual, double reserve, double price) = 0;
    virtual void set_limit(PlanId id, double rate, double burst) = 0;
    virtual void set_units(double mean, double largest, double share_worth, double spare_worth) = 0;
    virtual void set_shots(std::uint32_t most, bool parallel, bool may_call_off) = 0;
    virtual void set_further_shots(double each_task, double free, Time span) = 0;
    virtual void set_denials(Time longest_wait) = 0;
    virtual void set_clients(bool mark_repeats) = 0;
    virtual void set_list(bool on_request, Time ask_within, Time drain_grace) = 0;
    virtual void set_cold(double units, Time span, Time warm_after, double start_part) = 0;
    virtual void set_probes(bool /*allowed*/) {}
    virtual void set_peers(bool /*allowed*/) {}
    virtual void add_report_column(Column /*column*/) {}
    virtual void set_usage(Time /*meter*/, bool /*tells_elsewhere*/) {}
    virtual void ready(Time now) = 0;

    // Events.
    virtual void endpoint_list_begin(Time now, EndpointListKind kind) = 0;
    virtual void endpoint_listed(NodeId node, ShardId shard, ZoneId zone, NodeState state,
                             Time started) = 0;
    virtual void endpoint_list_end() = 0;
    virtual void endpoint_list_failed(Time now) = 0;
    // This scheduler's part of a volume's limit is one over `hosts`, endless for none yet, and
    // others' parts are kept from adding past the whole. Untold, a task's hosts count.
    virtual void quota_share_changed(Time, VolumeId, double /*hosts*/) {}
    virtual void request_received(Time now, RequestId task, WorkloadId workload, VolumeId volume,
                            PlanId plan, ShardId shard, KeyId key, double units, double hosts,
                            bool writes, bool repeated, Time client_timeout) = 0;
    // `repeated`: the client says that it asked before.
    // `ended`: the client has its answer. `meter`: what the volume was served everywhere,
    // in parts of its plan's usual rate, below 0 if untold.
    // `elsewhere`: units this node served to the volume for other schedulers.
    virtual void attempt_completed(Time now, RequestId task, AttemptId shot, NodeId node, AttemptOutcome how, Time took,
                            bool ended, double meter, double elsewhere,
                            std::span<const float> report) = 0;
    // `by_client`: its client left, which tells how long clients wait; told once for each client
    // that leaves, of the first task that it had waiting.
    virtual void request_canceled(Time now, RequestId task, bool by_client) = 0;
    virtual void probe_ended(Time, NodeId, bool /*well*/, Time /*took*/,
                             std::span<const float> /*report*/) {}
    virtual void peer_told(Time, PeerId, std::string_view /*text*/) {}
    // Asked before a shot's first byte where that comes later than shoot: whether it may still be
    // made. One that may not comes back as unsent.
    virtual bool may_send_attempt(Time /*now*/, RequestId, AttemptId) const { return true; }
    virtual void alarm(Time now, TimerId alarm) = 0;
    virtual void settle(Time now) = 0;
};

std::unique_ptr<Scheduler> make_scheduler(SchedulerActions &actions, std::uint64_t seed);

} // namespace knotvane
