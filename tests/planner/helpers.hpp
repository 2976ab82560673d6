/// \file
/// Shared by the planner's tests: a recording transport and store, fake peers and a fixture.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "control/cluster_state_replica.hpp"
#include "control/encode.hpp"
#include "planner/core.hpp"

namespace knotvane::planner {

/// Records what the planner sends, logs and stores.
struct RecordingTransport final : PlannerTransport, StateStore {
    std::map<SessionId, std::string> sent;
    std::vector<SessionId> closed;
    std::vector<std::string> logged;
    bool is_retired = false;
    bool commits_succeed = true;
    int commits = 0;
    std::map<std::tuple<Row, std::uint64_t, std::uint64_t>, std::pair<Version, std::string>> rows;
    Version version;

    void send(SessionId session, std::string bytes) override { sent[session] += bytes; }
    void close(SessionId session) override { closed.push_back(session); }
    void log_event(std::string text) override { logged.push_back(std::move(text)); }
    void retired() override { is_retired = true; }
    void put(Row row, std::uint64_t first_id, std::uint64_t second_id, Version stamp,
             std::string body) override {
        rows[{row, first_id, second_id}] = {stamp, std::move(body)};
    }
    void erase(Row row, std::uint64_t first_id, std::uint64_t second_id) override {
        rows.erase({row, first_id, second_id});
    }
    bool commit(const StorePosition &position) override {
        commits += commits_succeed;
        if (commits_succeed)
            version = position.version;
        return commits_succeed;
    }
};

inline DesiredState::Volume desired_volume(const std::string &name, std::uint64_t size, int line) {
    DesiredState::Volume out;
    out.volume.name = name;
    out.volume.size = size;
    out.plan = "p";
    out.line = line;
    return out;
}

/// One plan with a limit, one volume (7), nodes 1 and 2 of shards 0 and 1.
inline DesiredState desired(std::uint64_t version = 1) {
    DesiredState out;
    out.version = version;
    out.plans["p"] = {"p", 1, 100, 0, 1, 100, 50};
    out.volumes[VolumeId{7}] = desired_volume("v", 1 << 20, 12);
    out.nodes[NodeId{1}] = {ShardId{0}, ZoneId{0}, false, "", 20};
    out.nodes[NodeId{2}] = {ShardId{1}, ZoneId{0}, false, "", 25};
    return out;
}

/// An edge that applies the updates it receives; also receives the replies to an operator.
struct FakeEdge final : control::MessageHandler {
    control::MessageDecoder decoder;
    control::ClusterStateReplica replica;
    control::UpdateResult last = control::UpdateResult::outdated;
    std::vector<Version> renewals; // the min_version of each
    std::string status;
    control::OperationResult result;

    using MessageHandler::handle;
    void handle(const control::UpdateBegin &message) override { replica.begin(message); }
    void handle(const control::NodeUpdate &message) override { replica.apply(message); }
    void handle(const control::PlanUpdate &message) override { replica.apply(message); }
    void handle(const control::VolumeUpdate &message) override { replica.apply(message); }
    void handle(const control::QuotaShareUpdate &message) override { replica.apply(message); }
    void handle(const control::NodeRemoval &message) override { replica.apply(message); }
    void handle(const control::VolumeRemoval &message) override { replica.apply(message); }
    void handle(const control::QuotaShareRemoval &message) override { replica.apply(message); }
    void handle(const control::UpdateEnd &message) override { last = replica.end(message); }
    void handle(const control::LeaseRenewed &message) override {
        renewals.push_back(message.min_version);
    }
    void handle(const control::Status &message) override { status = message.json; }
    void handle(const control::OperationResult &message) override { result = message; }
    void handle_unexpected(std::string_view) override {}
};

/// The hello of an edge that follows a planner with this term and instance and with lineage 5.
inline control::EdgeHello edge_hello(std::uint64_t edge, Term term, std::uint64_t instance,
                                     Version version = {}) {
    control::EdgeHello hello;
    hello.edge = EdgeId{edge};
    hello.listen_address = "e";
    hello.term = term;
    hello.instance = instance;
    hello.lineage = 5;
    hello.version = version;
    return hello;
}

/// Lease 1s, margin 100ms, fade 10s.
inline PlannerConfig test_config() {
    PlannerConfig config;
    config.lease = sec;
    config.lease_margin = 100 * ms;
    config.fade = 10 * sec;
    config.node_silence = 500 * ms;
    config.node_removal_delay = 200 * ms;
    config.node_return_delay = 200 * ms;
    config.drain_time = sec;
    return config;
}

/// A planner that has started, with nodes 1 and 2 registered.
struct PlannerFixture {
    RecordingTransport recorded;
    Core core{recorded, recorded, test_config()};
    std::map<std::uint64_t, FakeEdge> edges;
    std::set<std::uint64_t> connected_sessions;

    explicit PlannerFixture(Term term = Term{1}, bool rebuilt = false) {
        core.start(0, {{term, 5, Version{0}, Version{0}, 0}, 11, rebuilt});
        core.apply_desired_state(0, desired());
        node(0, 1);
        node(0, 2);
        core.settle(0);
    }
    static std::uint64_t node_session(std::uint64_t id, std::uint64_t incarnation = 1) {
        return 100 + id + 1000 * incarnation;
    }
    void node(Time now, std::uint64_t id, std::uint64_t incarnation = 1, Time age = 3600 * sec) {
        control::NodeHello hello;
        hello.node = NodeId{id};
        hello.shard = ShardId{static_cast<std::int32_t>(id) - 1};
        hello.address = "n";
        hello.incarnation = incarnation;
        hello.age = age;
        deliver(now, node_session(id, incarnation), hello);
    }
    void deliver(Time now, std::uint64_t session, const std::string &bytes) {
        if (connected_sessions.insert(session).second)
            core.connected(now, SessionId{session});
        core.received(now, SessionId{session}, bytes);
    }
    template <class Message>
    void deliver(Time now, std::uint64_t session,
                 const Message &message) requires(!std::is_convertible_v<Message, std::string>) {
        deliver(now, session, control::encode(message));
    }
    // Connects an edge with the state that it holds; its session id is its edge id.
    void hello(Time now, std::uint64_t edge, std::vector<VolumeId> serving = {}) {
        const auto &replica = edges[edge].replica;
        auto hello = edge_hello(edge, replica.term(), replica.instance(), replica.version());
        hello.lineage = replica.lineage();
        hello.served_volumes = std::move(serving);
        deliver(now, edge, hello);
        core.settle(now);
        read(edge);
    }
    void renew(Time now, std::uint64_t edge) {
        const auto &replica = edges[edge].replica;
        deliver(now, edge, control::LeaseRenewal{now, replica.term(), replica.version()});
        core.settle(now);
        read(edge);
    }
    // Delivers to the edge or operator everything that was sent to it.
    void read(std::uint64_t session) {
        auto bytes = std::exchange(recorded.sent[SessionId{session}], {});
        edges[session].decoder.decode(bytes, edges[session]);
    }
    // The edge's share of volume 7 in millionths.
    std::uint32_t share(std::uint64_t edge) {
        const auto &shares = edges[edge].replica.cluster_state().quota_shares;
        return shares.contains(VolumeId{7}) ? shares.at(VolumeId{7}).millionths : 0;
    }
};

} // namespace knotvane::planner
