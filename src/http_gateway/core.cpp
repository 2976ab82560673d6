#include "http_gateway/core.hpp"

#include <algorithm>
#include <utility>

#include "http_gateway/trace_line.hpp"
#include "scheduler_setup/setup.hpp"

namespace knotvane::http_gateway {
namespace {

using scheduler_setup::MalformedInput;
using scheduler_setup::Options;

// Descriptors reserved for everything but connections to clients and nodes: those of the loop, the
// log and discovery, and of connections that are being closed.
constexpr std::size_t reserved_sockets = 32;

// Connections to nodes may use one part in this many of the descriptors. Clients get the rest:
// their number isn't bounded, while the scheduler's window keeps the number of attempts low.
constexpr std::size_t node_socket_divisor = 3;

// What clients have sent and not yet read may use one part in this many of the memory, and so may
// incomplete responses of nodes. The rest is for the program itself, the endpoint list and
// responses on their way to the clients, and for what the allocator can't use again at once.
constexpr std::size_t client_memory_divisor = 8;
constexpr std::size_t response_memory_divisor = 8;

std::size_t max_node_connections(std::size_t max_sockets) {
    return (max_sockets - reserved_sockets / 2) / node_socket_divisor;
}

std::size_t max_client_connections(std::size_t max_sockets) {
    auto other_sockets = max_node_connections(max_sockets) + reserved_sockets;
    return max_sockets > other_sockets ? max_sockets - other_sockets : 1;
}

/// Returns the timeout at a path of the settings; ConnectionPool::unbounded_timeout if it is absent
/// or 0.
Time optional_timeout(const Options &settings, const std::string &path) {
    Time timeout = settings.time(path);
    if (timeout < 0)
        throw MalformedInput("setting " + path +
                             ": expected a time in seconds of 0 (no limit) or more");
    return timeout > 0 ? timeout : ConnectionPool::unbounded_timeout;
}

ConnectionPoolOptions pool_options(const CoreConfig &config) {
    ConnectionPoolOptions options;
    options.connect_timeout = optional_timeout(config.settings, "Permissions.ConnectTimeoutS");
    options.node_idle_timeout = optional_timeout(config.settings, "Permissions.ConnIdleS");
    options.max_connections = max_node_connections(config.max_sockets);
    options.max_response_memory = config.max_memory / response_memory_divisor;
    return options;
}

Time longest_client_timeout(const Options &settings) {
    Time longest = 0;
    for (std::uint32_t index = 0; index < settings.count("Classes.count"); ++index) {
        auto path = "Classes." + std::to_string(index) + ".DeadlineS";
        if (settings.time(path) <= 0)
            throw MalformedInput("setting " + path + ": expected a time in seconds above 0");
        longest = std::max(longest, settings.time(path));
    }
    return longest;
}

} // namespace

Core::Core(Transport &transport, const SchedulerFactory &scheduler_factory,
           const CoreConfig &config)
    : transport_(transport), clients_(transport, *this, connection_ids_,
                                      RequestParser(config.workloads, config.plans, trace_ids_),
                                      {max_client_connections(config.max_sockets),
                                       config.max_memory / client_memory_divisor}),
      pool_(transport, *this, connection_ids_, pool_options(config)),
      discovery_(transport, *this, connection_ids_, config.zones,
                 {config.settings.text("RegistryMode") == "on_request", config.seed}),
      scheduler_(scheduler_factory(*this)) {
    scheduler_setup::configure_scheduler(*scheduler_, config.settings);
    max_client_timeout_ = longest_client_timeout(config.settings);
}

std::string Core::start(Time now, const std::string &known_endpoints,
                        const std::string &discovery) {
    now_ = now;
    scheduler_->start(now);
    return discovery_.start(now, known_endpoints, discovery);
}

void Core::stop(Time now) {
    shutdown_.start(now, max_client_timeout_);
    clients_.keep_idle();
}

void Core::connected(Time now, ConnectionId id) {
    now_ = now;
    if (pool_.owns(id))
        pool_.connected(now, id);
    else
        discovery_.connected(now, id);
}

void Core::connect_failed(Time now, ConnectionId id, bool attempted) {
    now_ = now;
    if (pool_.owns(id))
        pool_.connect_failed(now, id, attempted);
    else
        discovery_.connect_failed(now, id);
}

void Core::received(Time now, ConnectionId id, std::string_view bytes) {
    now_ = now;
    if (clients_.owns(id))
        clients_.received(now, id, bytes);
    else if (pool_.owns(id))
        pool_.received(now, id, bytes);
    else
        discovery_.received(now, id, bytes);
}

void Core::disconnected(Time now, ConnectionId id, CloseReason reason) {
    now_ = now;
    if (clients_.owns(id))
        clients_.disconnected(now, id);
    else if (pool_.owns(id))
        pool_.disconnected(now, id, reason);
    else
        discovery_.disconnected(now, id);
}

void Core::sent(Time now, ConnectionId id, std::size_t bytes) {
    if (clients_.owns(id))
        clients_.sent(now, id, bytes);
    else
        pool_.sent(now, id, bytes);
}

void Core::settle(Time now) {
    now_ = now;
    if (transport_.tracing())
        trace_counts(now);
    clients_.begin_iteration();
    clients_.handle_timeouts(now);
    pool_.handle_timeouts(now);
    discovery_.handle_timeouts(now);

    // A decision of the scheduler may end an attempt at once, and a response may make room for the
    // next pipelined request. Both are handled in a further round; a few rounds are enough.
    constexpr int max_rounds = 8;
    for (int round = 0; round < max_rounds; ++round) {
        for (ConnectionId client : std::exchange(closed_clients_, {}))
            request_canceled(now, client);
        while (!completed_attempts_.empty()) {
            CompletedAttempt attempt = std::move(completed_attempts_.front());
            completed_attempts_.pop_front();
            complete_attempt(now, attempt);
        }
        expire_timers(now);
        clients_.process_pipelined(now);
        scheduler_->settle(now);
        if (completed_attempts_.empty() && !clients_.has_pipelined())
            break;
    }
    if (completed_attempts_.empty())
        pool_.bodies_delivered();
    shut_down(now);
    if (transport_.tracing())
        settle_due_at_ = next_due();
}

void Core::expire_timers(Time now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        auto timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        scheduler_->timer_expired(now, timer);
    }
}

void Core::shut_down(Time now) {
    if (shutdown_.closes_after_responses(now))
        clients_.close_after_responses();
    if (shutdown_.closes_idle_connections(now))
        clients_.close_idle(now);
    stopped_ = shutdown_.closes_after_responses(now) && requests_by_client_.empty() &&
               (clients_.count() == 0 || shutdown_.past_deadline(now));
}

/// Writes by how much this call is late if it is more than 2 ms, and ten times a second the number
/// of attempts that the scheduler counts as in flight at each node next to the node's busy
/// connections.
void Core::trace_counts(Time now) {
    constexpr Time min_lateness = 2 * ms;
    constexpr Time interval = 100 * ms;
    if (settle_due_at_ != never && now - settle_due_at_ > min_lateness)
        transport_.trace(TraceLine("late").microseconds("us", now - settle_due_at_).text());
    if (now - counts_traced_at_ < interval)
        return;
    counts_traced_at_ = now;
    auto busy = pool_.busy_connections();
    for (const auto &[node, count] : scheduled_attempts_)
        transport_.trace(TraceLine("node")
                             .field("id", node.value)
                             .field("counted", count)
                             .field("open", busy[node])
                             .text());
}

Time Core::next_due() const {
    if (!completed_attempts_.empty() || clients_.has_pipelined() || clients_.waits_for_iteration())
        return now_;
    Time due = std::min(
        {clients_.next_due(), pool_.next_due(), discovery_.next_due(), shutdown_.next_due(now_)});
    return timers_.empty() ? due : std::min(due, timers_.begin()->first);
}

void Core::complete_attempt(Time now, const CompletedAttempt &attempt) {
    RequestId id = attempt.key.request;
    --requests_.at(id).attempts_in_flight;
    if (transport_.tracing()) {
        --scheduled_attempts_[attempt.node];
        transport_.trace(TraceLine("told")
                             .field("request", id.value)
                             .field("attempt", attempt.key.attempt.value)
                             .microseconds("late", now - attempt.completed_at)
                             .text());
    }

    if (attempt.outcome == AttemptOutcome::answered)
        if (auto client = end_request(id, "answered")) {
            ++request_counts_.answered;
            clients_.respond(now, *client, attempt.body);
        }
    AttemptResult result;
    result.request = id;
    result.attempt = attempt.key.attempt;
    result.node = attempt.node;
    result.outcome = attempt.outcome;
    result.duration = attempt.duration;
    result.client_answered = requests_.at(id).ended;
    scheduler_->attempt_completed(now, result);
    erase_if_done(id);
}

void Core::trace_request(RequestId id, const Request &request, const char *how) {
    transport_.trace(TraceLine("request")
                         .field("request", id.value)
                         .field("trace", request.outbound->trace_id)
                         .field("client", request.client.value)
                         .field("how", how)
                         .field("attempts", request.attempts_started)
                         .field("in_flight", request.attempts_in_flight)
                         .microseconds("at", request.received_at)
                         .microseconds("over", now_ - request.received_at)
                         .text());
}

std::optional<ConnectionId> Core::end_request(RequestId id, const char *how) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.ended)
        return std::nullopt;
    it->second.ended = true;
    if (transport_.tracing())
        trace_request(id, it->second, how);
    requests_by_client_.erase(it->second.client);
    return it->second.client;
}

void Core::erase_if_done(RequestId id) {
    auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.ended || it->second.attempts_in_flight > 0)
        return;
    bool sent = it->second.attempts_started > 0;
    trace_ids_.request_done(now_, it->second.outbound->trace_id, sent);
    requests_.erase(it);
}

void Core::start_attempt(RequestId request, NodeId node, Time timeout) {
    Request &state = requests_.at(request);
    AttemptId attempt{state.attempts_started};
    ++state.attempts_started;
    ++state.attempts_in_flight;
    if (transport_.tracing())
        ++scheduled_attempts_[node];
    if (transport_.peer_closed(state.client)) {
        closed_clients_.push_back(state.client);
        return attempt_completed({{request, attempt}, node, AttemptOutcome::not_sent, 0, now_, {}});
    }
    Time timeout_at =
        timeout > 0 ? std::min(state.client_timeout, now_ + timeout) : state.client_timeout;
    pool_.start_attempt(now_, {request, attempt}, node, state.outbound, timeout_at);
}

void Core::cancel_attempt(RequestId request, AttemptId attempt) {
    pool_.cancel_attempt(now_, {request, attempt});
}

void Core::reject(RequestId request, Time retry_after) {
    if (auto client = end_request(request, "rejected")) {
        ++request_counts_.rejected;
        clients_.reject(now_, *client, retry_after);
    }
    erase_if_done(request);
}

void Core::fail(RequestId request) {
    if (auto client = end_request(request, "failed")) {
        ++request_counts_.failed;
        clients_.fail(now_, *client);
    }
    erase_if_done(request);
}

bool Core::may_send_attempt(Time now, const AttemptKey &key) const {
    // The client may have closed while the connection was being established.
    auto request = requests_.find(key.request);
    if (request == requests_.end() || transport_.peer_closed(request->second.client))
        return false;
    return scheduler_->may_send_attempt(now, key.request, key.attempt);
}

void Core::attempt_completed(CompletedAttempt attempt) {
    completed_attempts_.push_back(std::move(attempt));
}

void Core::request_received(Time now, ConnectionId client, RequestInfo info,
                            std::shared_ptr<const OutboundRequest> outbound) {
    ++last_request_id_;
    ++request_counts_.received;
    info.id = RequestId{last_request_id_};
    info.client_timeout = shutdown_.limit_timeout(info.client_timeout);
    requests_.emplace(info.id, Request{client, std::move(outbound), info.client_timeout, now});
    requests_by_client_[client] = info.id;
    scheduler_->request_received(now, info);
}

void Core::request_canceled(Time now, ConnectionId client) {
    auto it = requests_by_client_.find(client);
    if (it == requests_by_client_.end())
        return;
    auto request = it->second;
    end_request(request, "canceled");
    ++request_counts_.canceled;
    // Attempts that aren't sent yet are ended even if the settings don't allow the scheduler to
    // cancel attempts.
    pool_.cancel_unsent(now, request);
    scheduler_->request_canceled(now, request, CancelReason::client_disconnected);
    erase_if_done(request);
}

void Core::endpoint_list_begin(Time now, EndpointListKind kind) {
    unlisted_nodes_.clear();
    if (kind == EndpointListKind::full)
        unlisted_nodes_ = nodes_;
    scheduler_->endpoint_list_begin(now, kind);
}

void Core::endpoint_listed(const Endpoint &endpoint, const std::string &address) {
    NodeId node = endpoint.node;
    unlisted_nodes_.erase(node);
    if (endpoint.state == NodeState::removed) {
        nodes_.erase(node);
        pool_.remove_node(now_, node);
    } else {
        nodes_.insert(node);
        pool_.set_address(now_, node, address);
        if (endpoint.state == NodeState::draining)
            pool_.drain_node(now_, node);
    }
    scheduler_->endpoint_listed(endpoint);
}

void Core::endpoint_list_end() {
    for (auto node : unlisted_nodes_) {
        nodes_.erase(node);
        pool_.remove_node(now_, node);
    }
    scheduler_->endpoint_list_end();
}

} // namespace knotvane::http_gateway
