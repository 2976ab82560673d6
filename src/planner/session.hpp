// A connection to the planner, for its core alone.
#pragma once

#include <optional>
#include <string>

#include "planner/core.hpp"

namespace knotvane::planner {

inline std::string text(auto id) {
    return std::to_string(id.value);
}

// One connection. What it says it is decides what it may say.
struct Core::Session final : control::MessageHandler {
    enum class Role { unknown, edge, node, visitor };
    Core &core;
    SessionId id;
    control::Reader reader;
    Role role = Role::unknown;
    EdgeId edge;
    NodeId node;
    std::string listen, fault;
    Term edge_term;
    std::uint64_t edge_lineage = 0;
    Version acked, told;
    Time told_at = 0, heard = 0;
    bool in_flight = false, is_long = false, closed = false;
    std::optional<NodeState> state_told;

    Session(Core &c, SessionId i) : core(c), id(i) {}

    bool expect(Role desired, const char *what) {
        if (role == desired)
            return true;
        unexpected(what);
        return false;
    }
    void edge_hello(EdgeId e, const std::string &at, Term term, std::uint64_t instance,
                    std::uint64_t lineage, Version version, const std::vector<NodeId> &draining,
                    const std::vector<VolumeId> &serving) override {
        if (expect(Role::unknown, "a second hello"))
            core.edge_hello(*this, e, at, term, instance, lineage, version, draining, serving);
    }
    void renew(Time at, Term term, Version version) override {
        if (expect(Role::edge, "a renewal"))
            core.renew(*this, at, term, version);
    }
    void ask() override {
        if (expect(Role::edge, "an ask for the whole"))
            acked = told = Version{0}, in_flight = false;
    }
    void serve(VolumeId volume, bool on) override {
        if (expect(Role::edge, "a volume served"))
            core.allocation_.serve(volume, edge, on);
    }
    void witness(NodeId n, bool reached) override {
        if (expect(Role::edge, "a witness"))
            if (auto it = core.liveness_.find(n); it != core.liveness_.end())
                it->second.witness(edge, reached);
    }
    void superseded(Term term) override {
        if (expect(Role::edge, "another planner's term"))
            core.outranked(term, "edge " + text(edge));
    }
    void node_hello(NodeId n, ShardId shard, ZoneId zone, const std::string &address,
                    std::uint64_t incarnation, Time age) override {
        if (expect(Role::unknown, "a second hello"))
            core.node_hello(*this, n, shard, zone, address, incarnation, age);
    }
    void node_renew() override {
        if (expect(Role::node, "a node's renewal"))
            core.liveness(node).renewed(core.now_);
    }
    void status_asked() override {
        role = role == Role::unknown ? Role::visitor : role;
        if (expect(Role::visitor, "an ask for status"))
            core.transport_.send(id, control::status(core.status_json(core.now_)));
    }
    void drain_asked(NodeId n, bool draining, std::uint8_t how) override {
        role = role == Role::unknown ? Role::visitor : role;
        if (expect(Role::visitor, "a drain"))
            core.drain_asked(*this, n, draining, how);
    }
    void cut_asked(std::uint8_t what, const std::string &name, const std::string &as,
                   const std::string &plan) override {
        role = role == Role::unknown ? Role::visitor : role;
        if (expect(Role::visitor, "a snapshot asked for"))
            core.cut_asked(*this, what, name, as, plan);
    }
    void cut_told(VolumeId as, control::SnapshotStep step, std::uint8_t how,
                  control::EdgeIncarnation incarnation) override {
        if (role == Role::edge)
            return core.snapshots_.edge_told(core.now_, edge, incarnation, as, step);
        if (!expect(Role::node, "a step of a cut"))
            return;
        if (auto w = core.desired_.nodes.find(node); w != core.desired_.nodes.end())
            core.snapshots_.node_told(core.now_, node, w->second.shard, as, step, how);
    }
    void diff_told(std::uint64_t question, const std::vector<std::uint64_t> &ranges,
                   bool more) override {
        if (expect(Role::node, "ranges"))
            core.diff_told(node, question, ranges, more);
    }
    void unexpected(const char *what) override {
        if (fault.empty())
            fault = std::string(what) + " is not expected here";
    }
};

} // namespace knotvane::planner
