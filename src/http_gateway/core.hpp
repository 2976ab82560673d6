/// \file
/// The logic of the HTTP gateway, without I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http_gateway/client_connections.hpp"
#include "http_gateway/connection_pool.hpp"
#include "http_gateway/discovery.hpp"
#include "http_gateway/graceful_shutdown.hpp"
#include "http_gateway/host.hpp"
#include "http_gateway/trace_id_history.hpp"
#include "http_gateway/transport.hpp"
#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::http_gateway {

/// The configuration of a gateway's core. The names of workloads, plans and zones are in the order
/// of their ids.
struct CoreConfig {
    /// The scheduler's settings. The gateway itself uses some of them, too.
    scheduler_setup::Options settings;
    std::vector<std::string> workloads;
    std::vector<std::string> plans;
    std::vector<std::string> zones;
    /// Seed of the random choices.
    std::uint64_t seed = 0;
    /// The most descriptors that the process may have open.
    std::size_t max_sockets = 0;
    /// The memory in bytes over which the process is ended.
    std::size_t max_memory = smallest_host_memory;
};

/// How many requests were received, and how they ended.
struct RequestCounts {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    /// Their clients disconnected first.
    std::uint64_t canceled = 0;
};

/// Creates a scheduler that acts through the given interface.
using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(SchedulerActions &)>;

/// Combines the connections of clients, the connections to nodes, discovery and the scheduler into
/// a gateway. Its owner passes in the time, connection events and received bytes, and the core acts
/// through the Transport. After all events of one moment the owner calls settle once.
class Core final : public SchedulerActions,
                   public UpstreamAttemptEvents,
                   public ClientRequestEvents,
                   public EndpointListEvents {
public:
    /// @param transport must outlive the core.
    /// @throws scheduler_setup::MalformedInput if a setting is missing or invalid.
    Core(Transport &transport, const SchedulerFactory &scheduler_factory, const CoreConfig &config);

    /// Must be called once, before anything else.
    /// @param known_endpoints the endpoint list that was last known, in discovery's format; empty
    /// for none.
    /// @param discovery the address of discovery, "host:port".
    /// @return why the known list was not accepted; empty if it was, or if there is none.
    std::string start(Time now, const std::string &known_endpoints, const std::string &discovery);
    /// Discovery has moved to this address.
    void set_discovery_address(Time now, const std::string &address) {
        discovery_.watch(now, address);
    }
    /// Starts the graceful shutdown.
    void stop(Time now);
    /// Whether the shutdown was complete at the last call of settle.
    bool stopped() const { return stopped_; }

    /// A client's connection was accepted.
    /// @return its id, or nothing if there are too many connections; the caller then closes it.
    std::optional<ConnectionId> client_connected(Time now) { return clients_.connected(now); }
    void connected(Time now, ConnectionId id);
    /// @param attempted whether a connection was attempted over the network. False if no descriptor
    /// was available, which says nothing about the other side.
    void connect_failed(Time now, ConnectionId id, bool attempted = true);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id, CloseReason reason);
    /// Bytes that were given to Transport::send have been written to the socket.
    void sent(Time now, ConnectionId id, std::size_t bytes);
    /// Ends a moment: handles timeouts that have passed, then reports outcomes of attempts to the
    /// scheduler, then lets it decide.
    void settle(Time now);
    /// When settle must be called next; the largest Time if nothing is pending.
    Time next_due() const;

    const ClientConnections &clients() const { return clients_; }
    const ConnectionPool &pool() const { return pool_; }
    const Discovery &discovery() const { return discovery_; }
    const Scheduler &scheduler() const { return *scheduler_; }
    /// The counts since the start.
    const RequestCounts &request_counts() const { return request_counts_; }
    /// The number of nodes in the endpoint list.
    std::size_t listed_node_count() const { return nodes_.size(); }
    /// The number of requests that aren't answered yet or have attempts in flight.
    std::size_t request_count() const { return requests_.size(); }

    void start_attempt(RequestId request, NodeId node, Time timeout) override;
    void cancel_attempt(RequestId request, AttemptId attempt) override;
    void reject(RequestId request, Time retry_after) override;
    void fail(RequestId request) override;
    void set_timer(TimerId timer, Time delay) override { timers_.insert({now_ + delay, timer}); }
    /// Does nothing: the endpoint list is watched from the start.
    void watch_endpoints() override {}

    bool may_send_attempt(Time now, const AttemptKey &key) const override;
    void attempt_completed(CompletedAttempt attempt) override;
    void request_received(Time now, ConnectionId client, RequestInfo info,
                          std::shared_ptr<const OutboundRequest> outbound) override;
    void request_canceled(Time now, ConnectionId client) override;
    bool serving() const override { return discovery_.has_endpoint_list(); }

    void endpoint_list_begin(Time now, EndpointListKind kind) override;
    void endpoint_listed(const Endpoint &endpoint, const std::string &address) override;
    void endpoint_list_end() override;

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    /// A client's request that isn't answered yet or has attempts in flight.
    struct Request {
        ConnectionId client;
        std::shared_ptr<const OutboundRequest> outbound;
        /// The moment at which the client stops waiting.
        Time client_timeout = 0;
        Time received_at = 0;
        std::uint32_t attempts_started = 0;
        std::uint32_t attempts_in_flight = 0;
        /// The request was answered or its client disconnected.
        bool ended = false;
    };

    /// Answers the client if the attempt succeeded, and reports the outcome to the scheduler.
    void complete_attempt(Time now, const CompletedAttempt &attempt);
    void expire_timers(Time now);
    /// Writes how a request ended to the trace.
    void trace_request(RequestId id, const Request &request, const char *how);
    /// Marks a request as ended. Returns the client to answer, or nothing if it had ended before.
    /// @param how names the end in the trace.
    std::optional<ConnectionId> end_request(RequestId id, const char *how);
    /// Removes a request that has ended and has no attempts in flight.
    void erase_if_done(RequestId id);
    /// Carries out the steps of the graceful shutdown that are due.
    void shut_down(Time now);
    /// Writes the trace's events about the loop and the nodes.
    void trace_counts(Time now);

    Transport &transport_;
    ConnectionIds connection_ids_;
    TraceIdHistory trace_ids_;
    ClientConnections clients_;
    ConnectionPool pool_;
    Discovery discovery_;
    std::unique_ptr<Scheduler> scheduler_;
    std::map<RequestId, Request> requests_;
    std::map<ConnectionId, RequestId> requests_by_client_;
    std::uint64_t last_request_id_ = 0;
    RequestCounts request_counts_;
    /// Attempts whose outcome isn't reported to the scheduler yet. That is done in settle, as the
    /// scheduler must not be called from within one of its own calls.
    std::deque<CompletedAttempt> completed_attempts_;
    /// Clients with a request in flight whose close is known to the kernel, but not reported yet:
    /// bytes before it are to be read, or other events came first. Their requests are canceled in
    /// settle.
    std::vector<ConnectionId> closed_clients_;
    std::set<std::pair<Time, TimerId>> timers_;
    /// The nodes of the endpoint list.
    std::set<NodeId> nodes_;
    /// Nodes that the full list being received has not listed so far; those left at its end are
    /// removed.
    std::set<NodeId> unlisted_nodes_;
    GracefulShutdown shutdown_;
    bool stopped_ = false;
    Time now_ = 0;
    Time max_client_timeout_ = 0;

    // For the trace only: the attempts that the scheduler counts as in flight, by node; when these
    // counts were last written; and when the next call of settle is due.
    std::map<NodeId, std::size_t> scheduled_attempts_;
    Time counts_traced_at_ = 0;
    Time settle_due_at_ = never;
};

} // namespace knotvane::http_gateway
