// The planner without I/O: what edges, nodes, operators and settings files say in, versions of the
// fleet's facts out. It decides who is a member, what drains, and which part of each limit an edge
// has. Nothing is handed out before the keeper has it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control/messages.hpp"
#include "planner/membership.hpp"
#include "planner/quota_allocation.hpp"
#include "planner/snapshot_coordinator.hpp"
#include "planner/versioned_state.hpp"

namespace knotvane::planner {

using control::Term;
// A connection to the planner.
using SessionId = Id<struct SessionKind, std::uint64_t>;

class PlannerTransport {
public:
    virtual ~PlannerTransport() = default;
    virtual void send(SessionId session, std::string bytes) = 0;
    virtual void close(SessionId session) = 0;
    // For the log: what changed in the fleet, and what was refused.
    virtual void log_event(std::string text) = 0;
    // Another planner is followed: this one has nothing more to do.
    virtual void retired() = 0;
};

// What outlives the planner's process. Rows gather until commit, which makes all of them durable or
// none.
class StateStore {
public:
    // `undo`: a snapshot or clone (a) of a volume (b) that is not whole; its body the epoch.
    enum class Row : std::uint8_t { plan, volume, node, hold, drained, desired, undo };
    virtual ~StateStore() = default;
    virtual void keep(Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                      std::string body) = 0;
    virtual void drop(Row row, std::uint64_t a, std::uint64_t b) = 0;
    // False where it could not: rows stay gathered for another try.
    virtual bool commit(Term term, std::uint64_t lineage, Version version, Version oldest,
                        std::uint64_t settings) = 0;
};

// What the settings files want, checked in itself (planner/desired_state_files.hpp). Lines are for
// refusals.
struct DesiredState {
    struct Node {
        ShardId shard;
        ZoneId zone;
        bool draining = false;
        std::string address; // of one that does not register; else empty
        int line = 0;
    };
    struct Volume {
        control::Volume fact; // its plan is found by name
        std::string plan;
        int line = 0;
    };
    std::uint64_t version = 0;
    std::map<NodeId, Node> nodes;
    std::map<std::string, control::Plan> plans;
    std::map<VolumeId, Volume> volumes;
};

class Core final : SnapshotCoordinator::Orders {
public:
    // Times in nanoseconds. `lease`, `margin`, `fade`: see Leases. `silent_for`, `out_after`,
    // `back_after`: see Presence. `drain_time`: how long a drain has to have been known before the
    // node may be removed.
    Core(PlannerTransport &shell, StateStore &state_store, Time lease, Time margin, Time fade,
         Time silent_for, Time out_after, Time back_after, Time drain_time);
    ~Core() override;

    // Rows of the store, before start. An empty answer is good.
    std::string restore(StateStore::Row row, std::uint64_t a, std::uint64_t b, Version stamp,
                        std::string_view body);
    // `term`: of this life, above all before it in this store. `instance`: chance, another for each
    // process. `rebuilt`: the store is new and an earlier one may have handed things out. False
    // where the keeper fails.
    bool start(Time now, Term term, std::uint64_t instance, std::uint64_t lineage, Version version,
               Version oldest, std::uint64_t settings, bool rebuilt);

    // New settings, taken whole or, with any fault, not at all. Faults: line and text.
    void apply_desired_state(Time now, const DesiredState &desired,
                             std::vector<std::pair<int, std::string>> &faults);
    std::uint64_t settings() const { return desired_.version; }

    void connected(Time now, SessionId session);
    void received(Time now, SessionId session, std::string_view in);
    void disconnected(Time now, SessionId session);
    Time next_due() const;
    // The end of a moment: what is due is decided, made durable and told.
    void settle(Time now);

    Term term() const { return term_; }
    Version version() const { return state_.version(); }
    bool is_retired() const { return retired_; }
    const VersionedState &state() const { return state_; }
    const QuotaAllocation &allocation() const { return allocation_; }
    std::string status_json(Time now) const;
    // A snapshot or clone that is under way, or being taken back.
    bool busy_with(VolumeId cut) const { return undo_rows_.contains(cut); }

private:
    struct Session;
    void edge_hello(Session &session, EdgeId edge, const std::string &listen, Term term,
                    std::uint64_t instance, std::uint64_t lineage, Version version,
                    const std::vector<NodeId> &draining, const std::vector<VolumeId> &serving);
    void renew(Session &session, Time at, Term term, Version version);
    void node_hello(Session &session, NodeId node, ShardId shard, ZoneId zone,
                    const std::string &address, std::uint64_t incarnation, Time age);
    void drain_asked(Session &session, NodeId node, bool draining, std::uint8_t how);
    // ---- Snapshots and clones.
    // One that an operator waits for.
    struct Pending {
        SessionId session;
        VolumeId of;
        control::Volume fact;
        std::uint32_t epoch = 0, tries = 0;
        Time began = 0;
        bool clone = false, durable = false, failed = false, again = false, whole = false;
        std::string why;
    };
    // An operator's question about ranges, and the nodes that have not answered.
    struct Question {
        SessionId session;
        VolumeId a, b;
        std::map<NodeId, std::uint64_t> left;
        std::map<std::uint64_t, std::uint64_t> ranges;
        Time until;
    };
    void hold(EdgeId edge, VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) override;
    void go(EdgeId edge, VolumeId of, VolumeId as, std::uint32_t epoch) override;
    void release(EdgeId edge, VolumeId of, VolumeId as) override;
    void open(NodeId node, VolumeId of, VolumeId as, std::uint32_t epoch,
              const std::vector<control::EdgeIncarnation> &late) override;
    void seal(NodeId node, VolumeId of, VolumeId as) override;
    void clone(NodeId node, VolumeId of, VolumeId as) override;
    void drop(NodeId node, VolumeId as) override;
    void whole(VolumeId as) override;
    void failed(VolumeId as, const std::string &why, bool again) override;
    void undone(VolumeId as) override;
    void to_edge(EdgeId edge, std::string bytes);
    void to_node(NodeId node, std::string bytes);
    void cut_asked(Session &session, std::uint8_t what, const std::string &name,
                   const std::string &as, const std::string &plan);
    std::string refuse_cut(std::uint8_t what, const std::string &name, const std::string &as,
                           const std::string &plan, Pending &p);
    void prepare(Pending p);
    void drop_cut(Session &session, VolumeId id);
    void compare(Session &session, VolumeId a, VolumeId b);
    void answer_question(std::uint64_t number, std::string why);
    void diff_told(NodeId node, std::uint64_t number, const std::vector<std::uint64_t> &ranges,
                   bool more);
    void settle_cuts();
    std::vector<std::uint64_t> users(VolumeId id) const;
    void begin_prepared();
    std::set<ShardId> all_shards() const;
    std::map<NodeId, ShardId> connected_nodes() const;
    // A node of each shard that can take part; empty where a shard has none, which `why` says.
    std::set<NodeId> nodes_for_cut(std::string &why) const;
    std::optional<VolumeId> find(const std::string &name) const;

    std::string effect(NodeId node, bool draining, bool &allowed, bool &serves) const;
    void retire(const std::string &why);
    // A newer planner's term was met. True if this one goes on, above it.
    bool outranked(Term term, const std::string &who);
    void close(Session &session, const std::string &why);
    void decide_nodes();
    void keep_changes();
    void tell_sides();
    Version least(EdgeId edge) const;
    void keep_wanted();
    NodeLiveness &liveness(NodeId node);

    PlannerTransport &transport_;
    StateStore &state_store_;
    Time silent_for_, out_after_, back_after_, drain_time_;
    LeaseTable lease_table_;
    QuotaAllocation allocation_;
    VersionedState state_;
    DesiredState desired_;
    std::map<NodeId, NodeLiveness> liveness_;
    std::set<NodeId> drained_; // by the operator's word
    std::map<NodeId, std::pair<Version, Time>> draining_since_;
    std::map<EdgeId, Version> least_;
    std::map<SessionId, std::unique_ptr<Session>> sessions_;
    std::map<EdgeId, SessionId> edges_;
    std::map<NodeId, SessionId> nodes_;
    std::vector<std::pair<SessionId, std::string>> after_commit_;
    std::set<std::string> logged_refusals_;
    SnapshotCoordinator snapshots_{*this};
    std::map<VolumeId, Pending> pending_;
    std::map<VolumeId, std::pair<VolumeId, std::uint32_t>> undo_rows_; // of, epoch
    std::map<std::uint64_t, Question> questions_;
    std::vector<VolumeId> undo_after_commit_;
    std::uint64_t next_cut_ = 0, next_question_ = 0;
    Term term_;
    std::uint64_t instance_ = 0, lineage_ = 0;
    Version least_all_;
    Time now_ = 0, started_ = 0, unknown_until_ = 0;
    bool retired_ = false, started_up_ = false, commit_due_ = false, unknown_faded_ = false;
};

} // namespace knotvane::planner
