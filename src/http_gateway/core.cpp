#include "http_gateway/core.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "scheduler_setup/setup.hpp"

namespace knotvane::http_gateway {
namespace {

// A stopping scheduler is killed no sooner than the longest client timeout (3 s at most) and 0.7 s
// after it was told. What is taken is answered well before, with time for a throttled processor;
// connections keep coming for 0.4 s.
constexpr Time killed_after = 700 * ms, longest_counted = 3 * sec, margin = 300 * ms,
               last_requests = 500 * ms, keep_coming = 500 * ms;
// Resting connections end so long before that: a client answers an end in a round trip, and what
// crosses it is read.
constexpr Time rest = 200 * ms;
// Descriptors for all that is neither a client nor a node: the loop's, the log's, discovery's, and
// those of connections that are ending.
constexpr std::size_t spare_sockets = 32;
// The part of the others for nodes: the window keeps attempts few, clients come in any number.
std::size_t for_nodes(std::size_t sockets) {
    return (sockets - spare_sockets / 2) / 3;
}
std::size_t for_clients(std::size_t sockets) {
    auto taken = for_nodes(sockets) + spare_sockets;
    return sockets > taken ? sockets - taken : 1;
}

// A time that a site may leave out: there is no such bound then.
Time bound(const scheduler_setup::Options &settings, const std::string &path) {
    Time t = settings.time(path);
    if (t < 0)
        throw scheduler_setup::MalformedInput("setting " + path + ": expected seconds, 0 or more");
    return t > 0 ? t : Pools::unbounded;
}

} // namespace

Core::Core(Transport &transport,
           const std::function<std::unique_ptr<Scheduler>(SchedulerActions &)> &scheduler,
           const scheduler_setup::Options &settings, std::vector<std::string> workloads,
           std::vector<std::string> plans, std::vector<std::string> zones, std::uint64_t seed,
           std::size_t sockets)
    : transport_(transport), clients_(transport, *this, conns_, std::move(workloads),
                                      std::move(plans), for_clients(sockets)),
      pools_(transport, *this, conns_, bound(settings, "Permissions.ConnectTimeoutS"),
             bound(settings, "Permissions.ConnIdleS"), for_nodes(sockets)),
      discovery_(transport, *this, conns_, std::move(zones),
                 settings.text("RegistryMode") == "on_request", seed),
      scheduler_(scheduler(*this)) {
    scheduler_setup::set_up(*scheduler_, settings);
    for (std::uint32_t i = 0; i < settings.count("Classes.count"); ++i) {
        auto path = "Classes." + std::to_string(i) + ".DeadlineS";
        if (settings.time(path) <= 0)
            throw scheduler_setup::MalformedInput("setting " + path + ": expected seconds above 0");
        longest_ = std::max(longest_, settings.time(path));
    }
}

std::string Core::start(Time now, const std::string &known, const std::string &discovery) {
    now_ = now;
    scheduler_->start(now);
    return discovery_.start(now, known, discovery);
}
void Core::stop(Time now) {
    if (stopping_)
        return;
    stopping_ = true;
    ends_ = now + std::min(longest_, longest_counted) + killed_after - margin;
    last_calls_ = std::max(ends_ - last_requests, now + keep_coming);
    ends_ = std::max(ends_, last_calls_ + last_requests);
    rest_ends_ = ends_ - rest;
    clients_.keep_idle();
}

void Core::up(Time now, ConnId conn) {
    now_ = now;
    pools_.owns(conn) ? pools_.up(now, conn) : discovery_.up(now, conn);
}
void Core::failed(Time now, ConnId conn, bool tried) {
    now_ = now;
    pools_.owns(conn) ? pools_.failed(now, conn, tried) : discovery_.failed(now, conn);
}
void Core::bytes(Time now, ConnId conn, std::string_view in) {
    now_ = now;
    if (clients_.owns(conn))
        return clients_.bytes(now, conn, in);
    pools_.owns(conn) ? pools_.bytes(now, conn, in) : discovery_.bytes(now, conn, in);
}
void Core::gone(Time now, ConnId conn, Gone how) {
    now_ = now;
    if (clients_.owns(conn))
        return clients_.gone(now, conn);
    pools_.owns(conn) ? pools_.gone(now, conn, how) : discovery_.gone(now, conn);
}

void Core::written(Time now, ConnId conn, std::size_t bytes) {
    clients_.owns(conn) ? clients_.written(now, conn, bytes) : pools_.written(now, conn, bytes);
}

void Core::settle(Time now) {
    now_ = now;
    if (transport_.traces())
        trace_counts(now);
    clients_.tick(now), pools_.tick(now), discovery_.tick(now);
    // A decision may end an attempt at once, which is told like any other outcome; a few rounds do.
    for (int round = 0; round < 8; ++round) {
        while (!overs_.empty()) {
            Over o = std::move(overs_.front());
            overs_.pop_front();
            tell(now, std::move(o));
        }
        while (!alarms_.empty() && alarms_.begin()->first <= now) {
            auto id = alarms_.begin()->second;
            alarms_.erase(alarms_.begin());
            scheduler_->timer_expired(now, id);
        }
        clients_.resume(now);
        scheduler_->settle(now);
        if (overs_.empty() && !clients_.resumes())
            break;
    }
    // Connections end with their answers. Those that rest stay to the last: their clients can make
    // no other any more. They end before the process does: a request that crosses the end is read
    // and not taken, none is reset unread.
    if (stopping_ && now >= last_calls_)
        clients_.stop();
    if (stopping_ && now >= rest_ends_)
        clients_.finish_resting(now);
    over_ =
        stopping_ && now >= last_calls_ && asked_.empty() && (clients_.held() == 0 || now >= ends_);
    if (transport_.traces())
        due_ = next_due();
}
// Ten times a second: how late the loop came to what was due, and what is believed to be out
// against what is.
void Core::trace_counts(Time now) {
    constexpr Time each = 100 * ms;
    if (due_ != never && now - due_ > 2 * ms)
        transport_.trace("late us=" + std::to_string((now - due_) / us));
    if (now - traced_ < each)
        return;
    traced_ = now;
    auto busy = pools_.busy();
    for (auto &[node, n] : counted_)
        transport_.trace("node id=" + std::to_string(node.value) + " counted=" + std::to_string(n) +
                         " open=" + std::to_string(busy[node]));
}
Time Core::next_due() const {
    Time at = std::min({clients_.next_due(), pools_.next_due(), discovery_.next_due()});
    if (!alarms_.empty())
        at = std::min(at, alarms_.begin()->first);
    if (!overs_.empty() || clients_.resumes())
        at = now_;
    if (stopping_)
        at = std::min(at, std::max(last_calls_, now_ + 20 * ms));
    return at;
}

void Core::tell(Time now, Over o) {
    --requests_.at(o.request).out;
    if (transport_.traces()) {
        --counted_[o.node];
        transport_.trace("told request=" + std::to_string(o.request.value) +
                         " attempt=" + std::to_string(o.attempt.value) +
                         " late=" + std::to_string((now - o.since) / us));
    }
    if (o.how == AttemptOutcome::answered)
        if (auto client = end(o.request))
            clients_.answer(now, *client, std::move(o.body));
    scheduler_->attempt_completed(
        now, {o.request, o.attempt, o.node, o.how, o.took, requests_.at(o.request).ended});
    forget_if_done(o.request);
}
// The request needs no answer any more; gives who is owed one, if anybody still is.
std::optional<ConnId> Core::end(RequestId request) {
    auto it = requests_.find(request);
    if (it == requests_.end() || it->second.ended)
        return std::nullopt;
    it->second.ended = true;
    asked_.erase(it->second.client);
    return it->second.client;
}
void Core::forget_if_done(RequestId request) {
    auto it = requests_.find(request);
    if (it != requests_.end() && it->second.ended && it->second.out == 0)
        requests_.erase(it);
}

void Core::start_attempt(RequestId request, NodeId node, Time timeout) {
    Request &t = requests_.at(request);
    AttemptId attempt{t.attempts++};
    ++t.out;
    if (transport_.traces())
        ++counted_[node];
    pools_.begin(now_, request, attempt, node, t.work,
                 timeout > 0 ? std::min(t.until, now_ + timeout) : t.until);
}
void Core::cancel_attempt(RequestId request, AttemptId attempt) {
    pools_.cancel_attempt(now_, request, attempt);
}
void Core::reject(RequestId request, Time retry_after) {
    if (auto client = end(request))
        clients_.refuse(now_, *client, retry_after);
    forget_if_done(request);
}
void Core::fail(RequestId request) {
    if (auto client = end(request))
        clients_.error(now_, *client);
    forget_if_done(request);
}

bool Core::may_send_attempt(Time now, RequestId request, AttemptId attempt, NodeId node) const {
    auto t = requests_.find(request);
    auto n = nodes_.find(node);
    return t != requests_.end() && !t->second.ended && n != nodes_.end() && n->second &&
           scheduler_->may_send_attempt(now, request, attempt);
}
void Core::attempt_over(Time now, RequestId request, AttemptId attempt, NodeId node,
                        AttemptOutcome how, Time took, std::string body) {
    overs_.push_back({request, attempt, node, how, took, now, std::move(body)});
}
void Core::request_came(Time now, ConnId client, WorkloadId workload, VolumeId volume, PlanId plan,
                        ShardId shard, KeyId key, double units, double hosts, bool writes,
                        bool repeated, Time deadline, std::shared_ptr<const Work> work) {
    if (stopping_)
        deadline = std::min(deadline, ends_);
    RequestId id{++last_request_};
    requests_.emplace(id, Request{client, std::move(work), deadline});
    asked_[client] = id;
    RequestInfo info;
    info.id = id;
    info.workload = workload;
    info.volume = volume;
    info.plan = plan;
    info.shard = shard;
    info.key = key;
    info.units = units;
    info.sharers = hosts;
    info.writes = writes;
    info.repeated = repeated;
    info.client_timeout = deadline;
    scheduler_->request_received(now, info);
}
void Core::request_left(Time now, ConnId client) {
    auto asked = asked_.find(client);
    if (asked == asked_.end())
        return;
    auto request = asked->second;
    end(request);
    pools_.withdraw(now,
                    request); // also where attempts may not be called off: these were not made yet
    scheduler_->request_canceled(now, request, CancelReason::client_disconnected);
    forget_if_done(request);
}

void Core::endpoint_list_begin(Time now, EndpointListKind kind) {
    left_out_.clear();
    if (kind == EndpointListKind::full)
        for (auto &[node, ready] : nodes_)
            left_out_.insert(node);
    scheduler_->endpoint_list_begin(now, kind);
}
void Core::endpoint_listed(NodeId node, const std::string &address, ShardId shard, ZoneId zone,
                           NodeState state, Time started) {
    left_out_.erase(node);
    if (state == NodeState::removed) {
        nodes_.erase(node), pools_.node_gone(now_, node);
    } else {
        nodes_[node] = state == NodeState::ready;
        pools_.node_at(now_, node, address);
        if (state == NodeState::draining)
            pools_.node_drains(now_, node);
    }
    scheduler_->endpoint_listed({node, shard, zone, state, started});
}
void Core::endpoint_list_end() {
    for (auto node : left_out_)
        nodes_.erase(node), pools_.node_gone(now_, node);
    scheduler_->endpoint_list_end();
}

} // namespace knotvane::http_gateway
