// What planner, edges, nodes and operators say to each other: a length, a checksum and a msgpack
// array, field by field (docs/planner-protocol.md). Writers give the bytes of one message; a Reader
// takes bytes as they come and calls for each message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/cluster_state.hpp"

namespace knotvane::control {

inline constexpr std::uint32_t protocol = 2;

// What a side may hear; what it doesn't expect says so and the connection is closed.
class MessageHandler {
public:
    virtual ~MessageHandler() = default;
    // ---- To the planner. Times: nanoseconds.
    // `draining`: nodes that the edge holds as draining; `serving`: volumes with a client at it.
    virtual void edge_hello(EdgeId, const std::string & /*listen*/, Term,
                            std::uint64_t /*instance*/, std::uint64_t /*lineage*/, Version,
                            const std::vector<NodeId> & /*draining*/,
                            const std::vector<VolumeId> & /*serving*/) {
        unexpected("an edge's hello");
    }
    // `at`: by the edge's clock, sent back with the answer. The version is the one that the edge
    // goes by.
    virtual void renew(Time /*at*/, Term, Version) { unexpected("a renewal"); }
    virtual void ask() { unexpected("an ask for the whole"); }
    virtual void serve(VolumeId, bool /*on*/) { unexpected("a volume served"); }
    virtual void witness(NodeId, bool /*reached*/) { unexpected("a witness"); }
    virtual void superseded(Term) { unexpected("another planner's term"); }
    // `life`: of the node's process, another each time it starts; `age`: how long ago it did.
    virtual void node_hello(NodeId, ShardId, ZoneId, const std::string & /*address*/,
                            std::uint64_t /*life*/, Time /*age*/) {
        unexpected("a node's hello");
    }
    virtual void node_renew() { unexpected("a node's renewal"); }
    virtual void status_asked() { unexpected("an ask for status"); }
    // `how`: 0 tell the effect only, 1 do it, 2 do it even where nothing else serves the shard.
    virtual void drain_asked(NodeId, bool /*draining*/, std::uint8_t /*how*/) {
        unexpected("a drain");
    }
    // What an operator wants of snapshots: 0 take (`name` of a volume, `as`), 1 drop, 2 clone (of a
    // snapshot; `plan` empty: part of its source's), 3 which ranges differ (`name`, `as`).
    virtual void cut_asked(std::uint8_t /*what*/, const std::string & /*name*/,
                           const std::string & /*as*/, const std::string & /*plan*/) {
        unexpected("a snapshot asked for");
    }
    // An edge's or a node's step of a cut. `how`, of a node: as store::Store::Cut counts; `life`:
    // of an edge.
    virtual void cut_told(VolumeId /*as*/, SnapshotStep, std::uint8_t /*how*/, EdgeIncarnation) {
        unexpected("a step of a cut");
    }
    // Offsets and lengths, in turn; `more`: they go on past the last.
    virtual void diff_told(std::uint64_t /*question*/,
                           const std::vector<std::uint64_t> & /*ranges*/, bool /*more*/) {
        unexpected("ranges");
    }
    // ---- From the planner.
    virtual void begins(Term, std::uint64_t /*instance*/, std::uint64_t /*lineage*/, Version,
                        Version /*from*/, Time /*now*/) {
        unexpected("news");
    }
    virtual void node(NodeId, Node) { unexpected("a node"); }
    virtual void plan(PlanId, Plan) { unexpected("a plan"); }
    virtual void volume(VolumeId, Volume) { unexpected("a volume"); }
    virtual void part(VolumeId, QuotaShare) { unexpected("a part"); }
    virtual void no_node(NodeId) { unexpected("a node's end"); }
    virtual void no_plan(PlanId) { unexpected("a plan's end"); }
    virtual void no_volume(VolumeId) { unexpected("a volume's end"); }
    virtual void no_part(VolumeId) { unexpected("a part's end"); }
    virtual void ends(Version, std::uint64_t /*count*/) { unexpected("the end of news"); }
    // The edge's right to its parts runs `lease` on from `at`, if it goes by `least` or later;
    // `fade` after that for a piece of them.
    virtual void renewed(Time /*at*/, Term, Time /*lease*/, Time /*fade*/, Version /*least*/) {
        unexpected("a renewal's answer");
    }
    // Whether the edge reaches a node that the planner does not hear.
    virtual void witness_asked(NodeId) { unexpected("an ask for a witness"); }
    // Of a cut, to edges: begin no change of the volume for so long; go on, in the epoch; go on as
    // before.
    virtual void cut_hold(VolumeId /*of*/, VolumeId /*as*/, std::uint32_t /*epoch*/,
                          Time /*longest*/) {
        unexpected("a cut");
    }
    virtual void cut_go(VolumeId /*of*/, VolumeId /*as*/, std::uint32_t /*epoch*/) {
        unexpected("a cut");
    }
    virtual void cut_release(VolumeId /*of*/, VolumeId /*as*/) { unexpected("a cut"); }
    // To nodes: see node::StorageNode.
    virtual void cut_open(VolumeId /*of*/, VolumeId /*as*/, std::uint32_t /*epoch*/,
                          const std::vector<EdgeIncarnation> & /*late*/) {
        unexpected("a cut");
    }
    virtual void cut_seal(VolumeId /*of*/, VolumeId /*as*/) { unexpected("a cut"); }
    virtual void cut_drop(VolumeId /*as*/) { unexpected("a cut"); }
    virtual void cut_clone(VolumeId /*of*/, VolumeId /*as*/) { unexpected("a cut"); }
    virtual void diff_asked(std::uint64_t /*question*/, VolumeId, VolumeId,
                            std::uint64_t /*from*/) {
        unexpected("an ask for ranges");
    }
    virtual void node_told(NodeState) { unexpected("a node's state"); }
    virtual void status(const std::string & /*json*/) { unexpected("a status"); }
    virtual void effect(bool /*allowed*/, bool /*done*/, const std::string & /*text*/) {
        unexpected("an effect");
    }

    virtual void unexpected(const char *what) = 0;
};

std::string edge_hello(EdgeId edge, const std::string &listen, Term term, std::uint64_t instance,
                       std::uint64_t lineage, Version version, const std::vector<NodeId> &draining,
                       const std::vector<VolumeId> &serving);
std::string renew(Time at, Term term, Version version);
std::string ask();
std::string serve(VolumeId volume, bool on);
std::string witness(NodeId node, bool reached);
std::string superseded(Term term);
std::string node_hello(NodeId node, ShardId shard, ZoneId zone, const std::string &address,
                       std::uint64_t incarnation, Time age);
std::string node_renew();
std::string ask_status();
std::string ask_drain(NodeId node, bool draining, std::uint8_t how);
std::string ask_cut(std::uint8_t what, const std::string &name, const std::string &as,
                    const std::string &plan);
std::string tell_cut(VolumeId as, SnapshotStep step, std::uint8_t how,
                     EdgeIncarnation incarnation = {});
std::string tell_diff(std::uint64_t question, const std::vector<std::uint64_t> &ranges, bool more);
std::string cut_hold(VolumeId of, VolumeId as, std::uint32_t epoch, Time longest);
std::string cut_go(VolumeId of, VolumeId as, std::uint32_t epoch);
std::string cut_release(VolumeId of, VolumeId as);
std::string cut_open(VolumeId of, VolumeId as, std::uint32_t epoch,
                     const std::vector<EdgeIncarnation> &late);
std::string cut_seal(VolumeId of, VolumeId as);
std::string cut_drop(VolumeId as);
std::string cut_clone(VolumeId of, VolumeId as);
std::string ask_diff(std::uint64_t question, VolumeId a, VolumeId b, std::uint64_t from);
std::string begins(Term term, std::uint64_t instance, std::uint64_t lineage, Version version,
                   Version from, Time now);
std::string put(NodeId id, const Node &n);
std::string put(PlanId id, const Plan &p);
std::string put(VolumeId id, const Volume &v);
std::string put(VolumeId id, const QuotaShare &p);
std::string drop(NodeId id);
std::string drop(PlanId id);
std::string drop_volume(VolumeId id);
std::string drop_quota_share(VolumeId id);
std::string ends(Version version, std::uint64_t count);
std::string renewed(Time at, Term term, Time lease, Time fade, Version least);
std::string ask_witness(NodeId node);
std::string tell_node(NodeState state);
std::string status(const std::string &json);
std::string effect(bool allowed, bool done, const std::string &text);

class Reader {
public:
    // Calls for each whole message. An empty answer is good; else the bytes are no message, which
    // and why, and nothing after them is read.
    std::string bytes(std::string_view in, MessageHandler &to);

private:
    std::string rest_, fault_;
};

} // namespace knotvane::control
