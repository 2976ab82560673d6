#include "scheduling/scheduler_core.hpp"

#include <algorithm>
#include <iterator>

#include "scheduling/attempt_outcome.hpp"
#include "scheduling/load_shedding.hpp"

namespace knotvane::scheduling {
namespace {

constexpr TimerId scheduler_timer{1};

// Longest time between two settles while requests wait: the shortest time that makes a difference
// to any rule in this package.
constexpr Time waiting_interval = 5 * ms;

// Longest time between two settles while attempts are in flight and no request waits.
constexpr Time in_flight_interval = 50 * ms;

// A volume's requested rate is averaged over this time when its value is compared with that of
// other volumes: short enough to follow a surge while it lasts.
constexpr Time value_window = 5 * sec;

SchedulerConfig with_defaults(SchedulerConfig config) {
    config.time_step = std::max(config.time_step, ms);
    if (!(config.units.mean > 0))
        config.units.mean = 1;
    config.units.largest = std::max(1.0, config.units.largest);
    if (!(config.units.usual_unit_value > 0))
        config.units.usual_unit_value = 1;
    if (!(config.slow_start.initial_capacity > 0))
        config.slow_start.initial_capacity = 1;
    return config;
}

} // namespace

RequestScheduler::RequestScheduler(SchedulerActions &actions, std::uint64_t seed)
    : actions_(actions), random_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

void RequestScheduler::configure(const SchedulerConfig &config) {
    config_ = with_defaults(config);
    plans_.configure(config_.units);
    slow_start_.configure(config_);
    retry_budget_.configure(config_.retry_budget);
    endpoint_list_poll_.configure(config_.endpoint_list);
}

void RequestScheduler::set_workload(WorkloadId id, const WorkloadConfig &workload) {
    workloads_[id] = workload;
}

void RequestScheduler::set_plan(PlanId id, const PlanConfig &plan) {
    plans_.set(id, plan);
}

void RequestScheduler::start(Time now) {
    started_at_ = now;
    slow_start_.start(now);
    if (endpoint_list_poll_.on_request())
        watch_endpoints(now);
}

void RequestScheduler::settle(Time now) {
    now_ = now;
    if (endpoint_list_poll_.request_due(now))
        watch_endpoints(now);

    give_up_overdue();
    for (RequestId id : requests_.unplaced())
        advance(requests_.at(id));
    for (auto it = busy_nodes_.begin(); it != busy_nodes_.end();) {
        NodeRecord &node = nodes_.at(*it);
        dispatch(node);
        bool idle = !node.health.any_in_flight() && node.nothing_waits();
        it = idle ? busy_nodes_.erase(it) : std::next(it);
    }
    // A removed node may be listed again while its slow start goes on.
    nodes_.erase_removed(now - slow_start_.retention());

    key_order_.prune(now);
    repeat_detector_.prune(now);
    set_timer();
}

// Request events and the stages before the queue.

void RequestScheduler::request_received(Time now, const RequestInfo &info) {
    now_ = now;
    retry_budget_.request_received(now);
    Request &request = requests_.add(info.id);
    request.workload = info.workload;
    request.volume = info.volume;
    request.plan = info.plan;
    request.shard = info.shard;
    request.key = info.key;
    request.units = std::max(info.units, 0.0);
    request.sharers = std::max(info.sharers, 1.0);
    request.writes = info.writes;
    request.repeated = info.repeated;
    request.received_at = now;
    request.admission_draw =
        static_cast<double>(random_()) / static_cast<double>(RandomGenerator::max());

    request.answer_deadline = info.client_timeout - delivery_margin();
    request.latency_deadline =
        std::min(now + workloads_[request.workload].latency_objective, request.answer_deadline);
    repeat_detector_.detect_repeat(request, config_.clients_mark_repeats);

    requests_.set_unanswered(request);
    if (is_ordered(request))
        key_order_.enqueue(request.key, request.id);
    requests_.set_unplaced(request);
}

void RequestScheduler::request_canceled(Time now, RequestId id, CancelReason reason) {
    now_ = now;
    Request *request = requests_.find(id);
    if (!request || request->ended)
        return;
    if (reason == CancelReason::client_disconnected)
        early_disconnects_.client_disconnected(now, request->volume, now - request->received_at);
    repeat_detector_.record_unanswered(*request);
    finish(*request);
    erase_if_done(*request);
}

void RequestScheduler::advance(Request &request) {
    if (request.stage == RequestStage::key_order &&
        (!is_ordered(request) || key_order_.may_run(request.key, request.id, now_)))
        request.stage = RequestStage::quota;

    QuotaDecision quota = QuotaDecision::wait;
    if (request.stage == RequestStage::quota)
        quota = take_quota(request);
    if (quota == QuotaDecision::admitted)
        request.stage = RequestStage::placement;

    NodeRecord *node = nullptr;
    if (request.stage == RequestStage::placement)
        node = nodes_.placement().choose_node(request.shard, now_, random_);
    if (node)
        enqueue(*node, request);
    else if (now_ >= request.latency_deadline || quota == QuotaDecision::never_fits)
        give_up(request, config_.max_retry_after);
    erase_if_done(request);
}

QuotaDecision RequestScheduler::take_quota(Request &request) {
    const PlanConfig &plan = plans_.get(request.plan);
    if (plan.limit_rate <= 0 || request.quota_charged)
        return QuotaDecision::admitted;
    QuotaShare *share = quota_shares_.find_or_add(now_, request.volume, plan.limit_rate,
                                                  plan.limit_burst, started_at_);
    if (!share)
        return QuotaDecision::wait;
    share->set_limit(now_, plan.limit_rate, plan.limit_burst);
    QuotaDecision decision = share->try_take(now_, request.units, request.sharers);
    request.quota_charged = decision == QuotaDecision::admitted;
    return decision;
}

void RequestScheduler::quota_share_changed(Time now, VolumeId volume, double sharers) {
    now_ = now;
    if (QuotaShare *share = quota_shares_.find_or_add(now, volume, 0, 0, now))
        share->grant(now, sharers);
}

void RequestScheduler::enqueue(NodeRecord &node, Request &request) {
    requests_.clear_unplaced(request);
    request.stage = RequestStage::queue;
    request.node = node.location.node;
    node.units_waiting += request.units;
    busy_nodes_.insert(node.location.node);
    if (request.attempts.empty()) {
        SlowStart::request_enqueued(node.slow_start, now_, request.units);
        WindowedSum &units = requested_units_[request.volume];
        units.add(now_, request.units);
        units.sum_since(now_ - value_window);
    }
    QueueRank queue_rank = rank_of(request);
    node.queue.enqueue(request.volume, plans_.queue_weight(plans_.get(request.plan)), queue_rank);
    node.waiting_index.add(request.units, request.repeated, {request.volume, queue_rank});
    volume_retention_.used(node.location.node, request.volume, nodes_, requested_units_);
}

bool RequestScheduler::is_ordered(const Request &request) {
    return workloads_[request.workload].ordered_by_key && request.key != no_key;
}

// Requests of higher value go first. A client's repeat is past its latency deadline or close to it,
// so it is ranked with the value of a late answer.
QueueRank RequestScheduler::rank_of(const Request &request) {
    const WorkloadConfig &workload = workloads_[request.workload];
    double fraction = request.repeated ? workload.late_value_fraction : 1;
    return {-workload.value * fraction, request.latency_deadline, request.id};
}

// Dispatch from a node's queue.

void RequestScheduler::dispatch(NodeRecord &node) {
    if (node.state != NodeState::ready)
        return;
    node.health.update(now_, node.latency);
    if (node.nothing_waits())
        return;
    node.latency.update(now_, typical_unit_time_.seconds_per_unit());
    shed_load(node);

    while (auto volume = node.queue.select(now_)) {
        const QueueRank queue_rank = *node.queue.volumes().at(*volume).requests.begin();
        Request &request = requests_.at(queue_rank.request);
        if (!request.attempts.empty() && !may_retry(request, node)) {
            give_up(request, config_.max_retry_after);
            erase_if_done(request);
            continue;
        }
        double charge = FairQueue::charge_of(request.units, request.writes);
        if (!node.queue.fits_budget(charge)) {
            node.queue.end_exhausted_service(now_);
            continue;
        }
        if (!has_capacity(node, request))
            return;
        node.queue.request_sent(queue_rank, request.units, charge);
        node.waiting_index.remove(request.units, {*volume, queue_rank});
        start_attempt(node, request);
    }
}

void RequestScheduler::shed_load(NodeRecord &node) {
    for (RequestId id : requests_to_shed(node, requests_, early_disconnects_, now_)) {
        Request &request = requests_.at(id);
        give_up(request, config_.max_retry_after);
        erase_if_done(request);
    }
}

bool RequestScheduler::has_capacity(NodeRecord &node, const Request &request) {
    double value = node.window.pacing() ? relative_value(node) : 1;
    if (!node.window.has_capacity(node.health.occupied_window_slots(now_),
                                  now_ - node.health.last_attempt_at(),
                                  node.latency.expected_duration(request.units), value))
        return false;
    if (node.overload_backoff.active(now_))
        return false;
    bool unresponsive = node.health.unresponsive();
    if (unresponsive && !node.health.trial_allowed(now_, {config_.self, config_.scheduler_count}))
        return false;
    if (!unresponsive && !node.slow_start.active(now_))
        return true;
    return slow_start_.admits(node.slow_start, now_, unresponsive, request.units,
                              request.admission_draw);
}

// Returns the total unit value of the volumes that wait at the node, relative to the mean unit
// value of the plans at their usual rates.
double RequestScheduler::relative_value(const NodeRecord &node) {
    double plans_value = plans_.total_usual_value();
    double waiting_value = 0;
    for (VolumeId id : node.queue.waiting_volumes()) {
        const FairQueue::Volume &volume = node.queue.volumes().at(id);
        const Request &request = requests_.at(volume.requests.begin()->request);
        double rate = requested_units_[id].sum_since(now_ - value_window) / seconds(value_window);
        waiting_value +=
            plans_.unit_value(plans_.get(request.plan), std::max(rate * request.sharers, min_rate));
    }
    return waiting_value * plans_.size() / plans_value;
}

void RequestScheduler::start_attempt(NodeRecord &node, Request &request) {
    if (!request.attempts.empty())
        retry_budget_.retry_started(now_);
    else if (request.quota_charged)
        quota_shares_.at(request.volume).units_sent(request.units);
    slow_start_.attempt_started(node.slow_start, now_, request.units);
    node.units_waiting -= request.units;
    node.units_in_flight += request.units;
    AttemptId attempt{static_cast<std::uint32_t>(request.attempts.size())};
    node.health.attempt_started({now_, request.id, attempt});
    request.attempts.push_back({node.location, now_, true, false});
    request.stage = RequestStage::attempt;
    actions_.start_attempt(request.id, node.location.node, 0);
}

// Attempt results, retries and answers.

void RequestScheduler::attempt_completed(Time now, const AttemptResult &result) {
    now_ = now;
    Request *request = requests_.find(result.request);
    if (!request || result.attempt.value >= request->attempts.size())
        return;
    Attempt &attempt = request->attempts[result.attempt.value];
    if (!attempt.in_flight)
        return;
    attempt.in_flight = false;
    attempt.not_executed = proves_not_executed(result.outcome);

    NodeRecord &node = nodes_.at(attempt.location.node);
    bool may_have_restarted = record_outcome(node, *request, result, now, config_.scheduler_count);
    // The endpoint list may report the restart only later.
    if (may_have_restarted)
        slow_start_.node_started(node.slow_start, now);
    if (result.outcome == AttemptOutcome::answered)
        typical_unit_time_.add(effective_units(*request), result.duration);

    bool may_still_run = result.outcome == AttemptOutcome::timed_out ||
                         result.outcome == AttemptOutcome::reset ||
                         result.outcome == AttemptOutcome::canceled;
    if (may_still_run && is_ordered(*request))
        key_order_.block_until(request->key, now + workloads_[request->workload].key_cooldown);

    if (result.client_answered && !request->ended) {
        early_disconnects_.client_answered(request->volume, now - request->received_at);
        finish(*request);
    } else if (!request->ended && !request->any_in_flight()) {
        retry_or_give_up(*request);
    }
    erase_if_done(*request);
}

// Called when an attempt has ended without an answer to the client: enqueues another one if that is
// allowed and can be in time, otherwise gives the request up.
void RequestScheduler::retry_or_give_up(Request &request) {
    leave_queue(request);
    request.stage = RequestStage::placement;
    NodeRecord *node = nodes_.placement().choose_node(request.shard, now_, random_);
    if (node && may_retry(request, *node))
        enqueue(*node, request);
    else
        give_up(request, config_.max_retry_after);
}

bool RequestScheduler::may_retry(const Request &request, const NodeRecord &node) {
    return may_start_attempt(request, workloads_[request.workload], config_.attempts,
                             repeat_target(node, now_)) &&
           retry_budget_.allows_retry(now_) &&
           now_ + node.latency.expected_duration(request.units) < request.latency_deadline;
}

RepeatTarget RequestScheduler::repeat_target(const NodeRecord &node, Time now) const {
    return {node.location, now, delivery_margin()};
}

// Two time steps: an action is sent with the batch of its step, and the batch may arrive one step
// later.
Time RequestScheduler::delivery_margin() const {
    return 2 * config_.time_step;
}

// Connecting may have taken long: meanwhile the client may have disconnected, the node may have
// started to drain, or the deduplication window may have ended.
bool RequestScheduler::may_send_attempt(Time now, RequestId id, AttemptId attempt) const {
    const Request *request = requests_.find(id);
    if (!request || request->ended)
        return false;
    const NodeRecord &node = nodes_.at(request->attempts[attempt.value].location.node);
    return node.state == NodeState::ready &&
           is_repeat_safe(*request, attempt.value, workloads_.at(request->workload),
                          repeat_target(node, now));
}

void RequestScheduler::give_up_overdue() {
    while (auto id = requests_.past_answer_deadline(now_)) {
        Request &request = requests_.at(*id);
        // No Retry-After: the client's timeout is about to expire anyway.
        give_up(request, 0);
        erase_if_done(request);
    }
}

void RequestScheduler::give_up(Request &request, Time retry_after) {
    if (may_reject(request, workloads_[request.workload]))
        actions_.reject(request.id, std::min(retry_after, config_.max_retry_after));
    else
        actions_.fail(request.id);
    repeat_detector_.record_unanswered(request);
    finish(request);
}

void RequestScheduler::finish(Request &request) {
    leave_queue(request);
    if (request.quota_charged && request.attempts.empty())
        quota_shares_.at(request.volume).return_units(request.units);
    requests_.clear_unanswered(request);
    request.ended = true;
    if (!config_.attempts.cancel_abandoned)
        return;
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].in_flight)
            actions_.cancel_attempt(request.id, AttemptId{i});
}

void RequestScheduler::leave_queue(Request &request) {
    requests_.clear_unplaced(request);
    if (request.stage != RequestStage::queue)
        return;
    NodeRecord &node = nodes_.at(request.node);
    QueueRank queue_rank = rank_of(request);
    node.queue.remove(request.volume, queue_rank);
    node.waiting_index.remove(request.units, {request.volume, queue_rank});
    node.units_waiting -= request.units;
}

// A request that has ended is kept while attempts are in flight: the next request of its key must
// not start before they have completed.
void RequestScheduler::erase_if_done(Request &request) {
    if (!request.ended || request.any_in_flight())
        return;
    if (is_ordered(request))
        key_order_.remove(request.key, request.id);
    requests_.erase(request.id);
}

// The endpoint list and the timer.

void RequestScheduler::endpoint_list_begin(Time now, EndpointListKind kind) {
    now_ = now;
    endpoint_list_poll_.reset_age(now);
    nodes_.begin_list(kind);
}

void RequestScheduler::endpoint_listed(const Endpoint &endpoint) {
    nodes_.apply_endpoint(endpoint, now_, config_, slow_start_);
}

void RequestScheduler::endpoint_list_end() {
    for (NodeRecord *node : nodes_.end_list(now_))
        requeue_waiting_requests(*node);
}

void RequestScheduler::endpoint_list_failed(Time now) {
    endpoint_list_poll_.request_failed(now, random_);
}

// Returns requests that wait at a node which drains or was removed to the placement stage.
void RequestScheduler::requeue_waiting_requests(const NodeRecord &node) {
    if (node.waiting_index.empty())
        return;
    for (auto &[id, request] : requests_.all()) {
        if (request.stage != RequestStage::queue || request.node != node.location.node ||
            request.ended)
            continue;
        leave_queue(request);
        request.stage = RequestStage::placement;
        requests_.set_unplaced(request);
    }
}

void RequestScheduler::watch_endpoints(Time now) {
    endpoint_list_poll_.reset_age(now);
    actions_.watch_endpoints();
}

void RequestScheduler::timer_expired(Time now, TimerId /*timer*/) {
    if (now >= timer_due_)
        timer_due_ = never;
}

void RequestScheduler::set_timer() {
    Time due = std::min(endpoint_list_poll_.next_check(), requests_.next_answer_deadline());
    if (requests_.any_unplaced())
        due = std::min(due, now_ + waiting_interval);
    for (NodeId id : busy_nodes_) {
        bool waiting = nodes_.at(id).units_waiting > negligible_units;
        due = std::min(due, now_ + (waiting ? waiting_interval : in_flight_interval));
    }
    if (due >= timer_due_)
        return;
    actions_.set_timer(scheduler_timer, std::max<Time>(due - now_, 0));
    timer_due_ = due;
}

} // namespace knotvane::scheduling

namespace knotvane {

std::unique_ptr<Scheduler> make_scheduler(SchedulerActions &actions, std::uint64_t seed) {
    return std::make_unique<scheduling::RequestScheduler>(actions, seed);
}

} // namespace knotvane
