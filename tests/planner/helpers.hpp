// What the planner's tests share: a shell and a keeper written down, and an edge's side of a
// connection.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "planner/core.hpp"

namespace knotvane::planner {

struct RecordingTransport final : PlannerTransport, StateStore {
    std::map<SessionId, std::string> sent;
    std::vector<SessionId> closed;
    std::vector<std::string> logged;
    bool is_retired = false, durable = true;
    int commits = 0;
    std::map<std::tuple<Row, std::uint64_t, std::uint64_t>, std::pair<Version, std::string>> rows;
    Version version;

    void send(SessionId session, std::string bytes) override { sent[session] += bytes; }
    void close(SessionId session) override { closed.push_back(session); }
    void log_event(std::string text) override { logged.push_back(std::move(text)); }
    void retired() override { is_retired = true; }
    void keep(Row row, std::uint64_t a, std::uint64_t b, Version stamp, std::string body) override {
        rows[{row, a, b}] = {stamp, std::move(body)};
    }
    void drop(Row row, std::uint64_t a, std::uint64_t b) override { rows.erase({row, a, b}); }
    bool commit(Term, std::uint64_t, Version v, Version, std::uint64_t) override {
        commits += durable;
        if (durable)
            version = v;
        return durable;
    }
};

// One plan with a limit, one volume (7), nodes 1 and 2 of shards 0 and 1.
inline DesiredState desired(std::uint64_t version = 1) {
    DesiredState w;
    w.version = version;
    w.plans["p"] = {"p", 1, 100, 0, 1, 100, 50};
    w.volumes[VolumeId{7}] = {{"v", 1 << 20, 512, {}}, "p", 12};
    w.nodes[NodeId{1}] = {ShardId{0}, ZoneId{0}, false, "", 20};
    w.nodes[NodeId{2}] = {ShardId{1}, ZoneId{0}, false, "", 25};
    return w;
}

// What an edge makes of what it is sent.
struct FakeEdge final : control::MessageHandler {
    control::Reader reader;
    control::ClusterStateReplica replica;
    control::UpdateResult last = control::UpdateResult::old;
    std::vector<Version> renewals;
    std::string status_text, effect_text;
    bool allowed = false, done = false;
    void begins(control::Term t, std::uint64_t i, std::uint64_t l, Version v, Version from,
                Time) override {
        replica.begins(t, i, l, v, from);
    }
    void node(NodeId id, control::Node n) override { replica.put(id, std::move(n)); }
    void plan(PlanId id, control::Plan p) override { replica.put(id, std::move(p)); }
    void volume(VolumeId id, control::Volume v) override { replica.put(id, std::move(v)); }
    void part(VolumeId id, control::QuotaShare p) override { replica.put(id, p); }
    void no_node(NodeId id) override { replica.drop(id); }
    void no_volume(VolumeId id) override { replica.drop_volume(id); }
    void no_part(VolumeId id) override { replica.drop_quota_share(id); }
    void ends(Version v, std::uint64_t count) override { last = replica.ends(v, count); }
    void renewed(Time, control::Term, Time, Time, Version least) override {
        renewals.push_back(least);
    }
    void status(const std::string &json) override { status_text = json; }
    void effect(bool may, bool was, const std::string &text) override {
        allowed = may, done = was, effect_text = text;
    }
    void unexpected(const char *) override {}
};

// A planner that has started, with nodes 1 and 2 registered; lease 1s, margin 100ms, fade 10s.
struct PlannerFixture {
    RecordingTransport recorded;
    Core core{recorded, recorded, sec, 100 * ms, 10 * sec, 500 * ms, 200 * ms, 200 * ms, sec};
    std::map<std::uint64_t, FakeEdge> edges;

    explicit PlannerFixture(Term term = Term{1}, bool rebuilt = false) {
        core.start(0, term, 11, 5, Version{0}, Version{0}, 0, rebuilt);
        std::vector<std::pair<int, std::string>> faults;
        core.apply_desired_state(0, desired(), faults);
        node(0, 1), node(0, 2);
        core.settle(0);
    }
    void node(Time now, std::uint64_t id, std::uint64_t incarnation = 1, Time age = 3600 * sec) {
        deliver(now, 100 + id + 1000 * incarnation,
                control::node_hello(NodeId{id}, ShardId{static_cast<std::int32_t>(id) - 1},
                                    ZoneId{0}, "n", incarnation, age));
    }
    void deliver(Time now, std::uint64_t session, const std::string &bytes) {
        if (seen.insert(session).second)
            core.connected(now, SessionId{session});
        core.received(now, SessionId{session}, bytes);
    }
    // An edge comes, with what it holds; its side has its own number.
    void hello(Time now, std::uint64_t edge, std::vector<VolumeId> serving = {}) {
        auto &c = edges[edge].replica;
        deliver(now, edge,
                control::edge_hello(EdgeId{edge}, "e", c.term(), c.instance(), c.lineage(),
                                    c.version(), {}, serving));
        core.settle(now);
        read(edge);
    }
    void renew(Time now, std::uint64_t edge) {
        auto &c = edges[edge].replica;
        deliver(now, edge, control::renew(now, c.term(), c.version()));
        core.settle(now);
        read(edge);
    }
    void read(std::uint64_t edge) {
        auto bytes = std::exchange(recorded.sent[SessionId{edge}], {});
        edges[edge].reader.bytes(bytes, edges[edge]);
    }
    std::uint32_t part(std::uint64_t edge) {
        auto &quota_shares = edges[edge].replica.cluster_state().quota_shares;
        return quota_shares.contains(VolumeId{7}) ? quota_shares.at(VolumeId{7}).millionths : 0;
    }
    std::set<std::uint64_t> seen;
};

} // namespace knotvane::planner
