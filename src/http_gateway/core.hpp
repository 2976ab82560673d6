/// \file
/// The HTTP gateway without I/O.
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
#include "http_gateway/transport.hpp"
#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::http_gateway {

/// What a gateway is set up with. Names are in the order of their ids.
struct CoreConfig {
    /// The scheduler's settings; some of them are the gateway's, too.
    scheduler_setup::Options settings;
    std::vector<std::string> workloads;
    std::vector<std::string> plans;
    std::vector<std::string> zones;
    /// Of the random choices.
    std::uint64_t seed = 0;
    /// Descriptors that the process may hold.
    std::size_t max_sockets = 0;
};

/// Makes a scheduler that acts through what it is given.
using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(SchedulerActions &)>;

/// Clients, attempts, discovery and the scheduler put together: time and bytes in, bytes and calls
/// out. All that happens in one moment is followed by one call of settle.
class Core final : public SchedulerActions,
                   public UpstreamAttemptEvents,
                   public ClientRequestEvents,
                   public EndpointListEvents {
public:
    /// @throws scheduler_setup::MalformedInput on settings that are wrong.
    Core(Transport &transport, const SchedulerFactory &scheduler_factory, const CoreConfig &config);

    /// To be called once, first.
    /// @param known_endpoints the list as last had, in discovery's form; empty for none.
    /// @param discovery where to watch for the list.
    /// @return why the list was refused; empty if it was not.
    std::string start(Time now, const std::string &known_endpoints, const std::string &discovery);
    /// Discovery is at this address from now on.
    void set_discovery_address(Time now, const std::string &address) {
        discovery_.watch(now, address);
    }
    /// Starts the graceful shutdown.
    void stop(Time now);
    /// Whether the shutdown is complete, as of the last call of settle.
    bool stopped() const { return stopped_; }

    /// @return nothing if there is no room for one more.
    std::optional<ConnectionId> client_connected(Time now) { return clients_.connected(now); }
    void connected(Time now, ConnectionId id);
    /// @param tried the attempt to connect left this machine; else a descriptor was lacking, which
    /// is not the other side's doing.
    void connect_failed(Time now, ConnectionId id, bool tried = true);
    void received(Time now, ConnectionId id, std::string_view bytes);
    void disconnected(Time now, ConnectionId id, CloseReason reason);
    void sent(Time now, ConnectionId id, std::size_t bytes);
    /// Ends a moment: what is due, then outcomes, then decisions.
    void settle(Time now);
    /// When settle is due next; the largest Time if nothing is.
    Time next_due() const;

    const ClientConnections &clients() const { return clients_; }
    const ConnectionPool &pool() const { return pool_; }
    /// Requests that aren't answered or have attempts in flight.
    std::size_t request_count() const { return requests_.size(); }

    void start_attempt(RequestId request, NodeId node, Time timeout) override;
    void cancel_attempt(RequestId request, AttemptId attempt) override;
    void reject(RequestId request, Time retry_after) override;
    void fail(RequestId request) override;
    void set_timer(TimerId timer, Time delay) override { timers_.insert({now_ + delay, timer}); }
    /// Nothing: the list is always watched.
    void watch_endpoints() override {}

    bool may_send_attempt(Time now, const AttemptKey &key) const override;
    void attempt_completed(CompletedAttempt attempt) override;
    void request_received(Time now, ConnectionId client, RequestInfo info,
                          std::shared_ptr<const OutboundRequest> outbound) override;
    void request_canceled(Time now, ConnectionId client) override;
    bool serving() const override { return discovery_.listed(); }

    void endpoint_list_begin(Time now, EndpointListKind kind) override;
    void endpoint_listed(const Endpoint &endpoint, const std::string &address) override;
    void endpoint_list_end() override;

private:
    static constexpr Time never = std::numeric_limits<Time>::max();

    struct Request {
        ConnectionId client;
        std::shared_ptr<const OutboundRequest> outbound;
        Time client_timeout = 0;
        std::uint32_t attempts_started = 0;
        std::uint32_t attempts_in_flight = 0;
        /// Nobody is owed an answer any more.
        bool ended = false;
    };

    void complete_attempt(Time now, const CompletedAttempt &attempt);
    void expire_timers(Time now);
    /// Ends a request; returns the client that is owed an answer, if one is.
    std::optional<ConnectionId> end_request(RequestId id);
    void forget_if_done(RequestId id);
    void shut_down(Time now);
    void trace_counts(Time now);

    Transport &transport_;
    ConnectionIds connection_ids_;
    ClientConnections clients_;
    ConnectionPool pool_;
    Discovery discovery_;
    std::unique_ptr<Scheduler> scheduler_;
    std::map<RequestId, Request> requests_;
    std::map<ConnectionId, RequestId> requests_by_client_;
    std::uint64_t last_request_id_ = 0;
    /// The scheduler learns of them at the moment's end: it isn't called while it decides.
    std::deque<CompletedAttempt> completed_attempts_;
    std::set<std::pair<Time, TimerId>> timers_;
    /// Nodes of the endpoint list.
    std::set<NodeId> nodes_;
    /// Of these, not named so far by the full list that is being received.
    std::set<NodeId> unnamed_nodes_;
    GracefulShutdown shutdown_;
    bool stopped_ = false;
    Time now_ = 0;
    Time max_client_timeout_ = 0;

    // For the trace: attempts that the scheduler counts in flight by node, when that was last
    // written, and when the last moment was due.
    std::map<NodeId, std::size_t> scheduled_attempts_;
    Time counts_traced_at_ = 0;
    Time due_ = never;
};

} // namespace knotvane::http_gateway
