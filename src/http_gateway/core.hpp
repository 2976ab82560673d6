// The front at work, without I/O: clients, attempts, discovery and the decisions. Bytes and time
// in, bytes and calls out.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http_gateway/client_connections.hpp"
#include "http_gateway/connection_pool.hpp"
#include "http_gateway/discovery.hpp"
#include "http_gateway/transport.hpp"
#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::http_gateway {

class Core final : public SchedulerActions,
                   public AttemptsTold,
                   public RequestsTold,
                   public ListTold {
public:
    // `sockets`: descriptors the process may hold. Throws scheduler_setup::MalformedInput on
    // settings that are wrong.
    Core(Transport &transport,
         const std::function<std::unique_ptr<Scheduler>(SchedulerActions &)> &scheduler,
         const scheduler_setup::Options &settings, std::vector<std::string> workloads,
         std::vector<std::string> plans, std::vector<std::string> zones, std::uint64_t seed,
         std::size_t sockets);

    // Once, first: the list as last had, empty for none; then the watch. Gives back why a list was
    // refused.
    std::string start(Time now, const std::string &known, const std::string &discovery);
    void discovery_at(Time now, const std::string &address) { discovery_.watch(now, address); }
    // Serves on, on the connections that there are, for as long as may be: who sits behind them has
    // no other way to a node until this scheduler is back. Everything is answered before it may be
    // killed.
    void stop(Time now);
    bool over() const { return over_; }

    // Nothing where there is no room for one more.
    std::optional<ConnId> client_came(Time now) { return clients_.came(now); }
    void up(Time now, ConnId conn);
    // `tried`: it left this machine; else a descriptor was lacking, which is not the other side's
    // doing.
    void failed(Time now, ConnId conn, bool tried = true);
    void bytes(Time now, ConnId conn, std::string_view in);
    void gone(Time now, ConnId conn, Gone how);
    void written(Time now, ConnId conn, std::size_t bytes);
    // At the end of a moment: what is due, then the outcomes, then the decisions.
    void settle(Time now);
    Time next_due() const;

    const Clients &clients() const { return clients_; }
    const Pools &pools() const { return pools_; }
    std::size_t requests() const { return requests_.size(); }

    void start_attempt(RequestId request, NodeId node, Time timeout) override;
    void cancel_attempt(RequestId request, AttemptId attempt) override;
    void reject(RequestId request, Time retry_after) override;
    void fail(RequestId request) override;
    void set_timer(TimerId alarm, Time wait) override { alarms_.insert({now_ + wait, alarm}); }
    void watch_endpoints() override {} // the watch always stands or is being set up

    bool may_send_attempt(Time now, RequestId request, AttemptId attempt,
                          NodeId node) const override;
    void attempt_over(Time now, RequestId request, AttemptId attempt, NodeId node,
                      AttemptOutcome how, Time took, std::string body) override;
    void request_came(Time now, ConnId client, WorkloadId workload, VolumeId volume, PlanId plan,
                      ShardId shard, KeyId key, double units, double hosts, bool writes,
                      bool repeated, Time deadline, std::shared_ptr<const Work> work) override;
    void request_left(Time now, ConnId client) override;
    bool serves() const override { return discovery_.listed() && !stopping_; }
    void endpoint_list_begin(Time now, EndpointListKind kind) override;
    void endpoint_listed(NodeId node, const std::string &address, ShardId shard, ZoneId zone,
                         NodeState state, Time started) override;
    void endpoint_list_end() override;

private:
    static constexpr Time never = std::numeric_limits<Time>::max();
    struct Request {
        ConnId client;
        std::shared_ptr<const Work> work;
        Time until;
        std::uint32_t attempts = 0, out = 0;
        bool ended = false;
    };
    struct Over {
        RequestId request;
        AttemptId attempt;
        NodeId node;
        AttemptOutcome how;
        Time took;
        Time since; // it was over
        std::string body;
    };
    void tell(Time now, Over o);
    std::optional<ConnId> end(RequestId request);
    void forget_if_done(RequestId request);
    void trace_counts(Time now);

    Transport &transport_;
    Conns conns_;
    Clients clients_;
    Pools pools_;
    Discovery discovery_;
    std::unique_ptr<Scheduler> scheduler_;
    std::map<RequestId, Request> requests_;
    std::map<ConnId, RequestId> asked_; // open requests by their connection
    std::deque<Over>
        overs_; // told at the end of the moment: the decisions are not called from within
    std::set<std::pair<Time, TimerId>> alarms_;
    std::map<NodeId, bool> nodes_; // listed, and whether ready
    std::set<NodeId> left_out_;    // of these, not named so far by the whole list being told
    std::map<NodeId, std::size_t>
        counted_; // attempts that the decisions count out, by node; for the trace
    Time traced_ = 0, due_ = never;
    std::uint64_t last_request_ = 0;
    // Of a stop: answers end their connections, resting ones end, and all are answered.
    Time now_ = 0, longest_ = 0, last_calls_ = 0, rest_ends_ = 0, ends_ = 0;
    bool stopping_ = false, over_ = false;
};

} // namespace knotvane::http_gateway
