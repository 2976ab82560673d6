// The edge's word with the planner, without I/O: news taken whole or not at all, rights to parts of
// limits that run out, what is told to whom by how old the news is. The edge never waits for any of
// it.
//
// What an edge does by how old its word from the planner is:
//   within the lease      all that the plan says
//   past it               volumes, weights and nodes as last told, drains among them; a quarter of
//   each limit's part past lease and fade   the same, and no part of any limit: its tasks wait and
//   are denied started from the disk the same; a plan older than `trust`, or from the future, is
//   not used at all
// It never ends a drain, takes up a node or gives itself a part that it was not told of.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/reconnect_backoff.hpp"
#include "control/messages.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::edge {

// What the subscription asks of its shell.
class PlannerClientActions {
public:
    virtual ~PlannerClientActions() = default;
    virtual void connect_planner() = 0;
    virtual void disconnect_planner() = 0;
    virtual void send_planner(std::string bytes) = 0;
    // The last plan for the disk: from anew, or after what is there.
    virtual void store_plan(std::string bytes, bool anew) = 0;
    virtual void log_event(std::string text) = 0;
    // News was taken: what in it changed. `started`: of nodes, by this edge's clock.
    virtual void cluster_state_changed(const control::ClusterState &cluster_state, bool nodes,
                                       bool plans, const std::map<NodeId, Time> &started) = 0;
    virtual void quota_share_changed(VolumeId volume, double sharers) = 0;
    // Of a cut: see Cuts. Lost: nobody will end a hold.
    virtual void cut_hold(VolumeId, VolumeId, std::uint32_t, Time) {}
    virtual void cut_go(VolumeId, VolumeId, std::uint32_t) {}
    virtual void cut_release(VolumeId, VolumeId) {}
    virtual void planner_lost() {}
};

class PlannerClient final : control::MessageHandler {
public:
    // `renew_every`: a third of the planner's lease or less. `trust`: how old a plan from the disk
    // may be.
    PlannerClient(PlannerClientActions &line, control::EdgeId edge, std::string listen,
                  std::uint64_t seed, Time renew_every, Time trust);

    // `disk`: what keep_plan kept, or nothing. Calls plan_taken where it holds a plan that may be
    // used.
    void start(Time now, std::string_view disk);
    void connected(Time now);
    // The connection failed or went.
    void disconnected(Time now);
    void received(Time now, std::string_view in);
    void volume_used(Time now, VolumeId volume, bool on);
    void attempt_completed(Time now, NodeId node, AttemptOutcome how);
    // A step of a cut, told on.
    void report_snapshot_step(VolumeId as, control::SnapshotStep step,
                              control::EdgeIncarnation incarnation) {
        send(control::tell_cut(as, step, 0, incarnation));
    }

    Time next_due() const;
    // Call before the decisions go on: a right that ran out while the edge stood still must not be
    // used.
    void tick(Time now);

    const control::ClusterStateReplica &replica() const { return replica_; }
    bool is_connected() const { return up_; }
    // How long the right to parts has run out, at most 0 while it holds.
    Time past_lease(Time now) const { return now - lease_until_; }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();
    struct Reach {
        std::uint32_t failures = 0;
        Time first = 0, met = -never / 2;
        bool unreached = false;
    };

    void begins(control::Term term, std::uint64_t instance, std::uint64_t lineage,
                control::Version version, control::Version from, Time now) override;
    void node(NodeId id, control::Node n) override {
        note(control::put(id, n)), replica_.put(id, std::move(n));
    }
    void plan(PlanId id, control::Plan p) override {
        note(control::put(id, p)), replica_.put(id, std::move(p));
    }
    void volume(VolumeId id, control::Volume v) override {
        note(control::put(id, v)), replica_.put(id, std::move(v));
    }
    void part(VolumeId id, control::QuotaShare p) override {
        note(control::put(id, p)), replica_.put(id, p);
    }
    void no_node(NodeId id) override { note(control::drop(id)), replica_.drop(id); }
    void no_plan(PlanId id) override { note(control::drop(id)), replica_.drop(id); }
    void no_volume(VolumeId id) override {
        note(control::drop_volume(id)), replica_.drop_volume(id);
    }
    void no_part(VolumeId id) override {
        note(control::drop_quota_share(id)), replica_.drop_quota_share(id);
    }
    void ends(control::Version version, std::uint64_t count) override;
    void renewed(Time at, control::Term term, Time lease, Time fade,
                 control::Version least) override;
    void witness_asked(NodeId node) override;
    void cut_hold(VolumeId of, VolumeId as, std::uint32_t epoch, Time longest) override {
        if (!from_disk_)
            actions_.cut_hold(of, as, epoch, longest);
    }
    void cut_go(VolumeId of, VolumeId as, std::uint32_t epoch) override {
        if (!from_disk_)
            actions_.cut_go(of, as, epoch);
    }
    void cut_release(VolumeId of, VolumeId as) override {
        if (!from_disk_)
            actions_.cut_release(of, as);
    }
    void unexpected(const char *what) override;

    void note(const std::string &bytes) { raw_ += bytes; }
    void read_some();
    void send(std::string bytes);
    void send_renewal();
    void leave(const std::string &why);
    void tell_parts();
    void taken(bool nodes, bool plans);
    int stage() const { return past_lease(now_) <= 0 ? 0 : past_lease(now_) <= fade_ ? 1 : 2; }

    PlannerClientActions &actions_;
    control::EdgeId edge_;
    std::string listen_;
    ReconnectBackoff reconnect_backoff_;
    Time renew_every_, trust_;
    control::Reader reader_;
    control::ClusterStateReplica replica_;
    std::string raw_, fault_; // of the news being told, for the disk
    std::string unread_;
    std::size_t read_ = 0; // of unread_
    std::size_t on_disk_ = 0;
    Time now_ = 0, lease_until_ = -never / 2, fade_ = 0, renew_at_ = never, heard_ = 0;
    Time planner_now_ = 0;
    bool up_ = false, from_disk_ = false, clearing_ = false;
    int stage_ = 2; // of the right: held, a piece, none
    std::set<VolumeId> used_;
    std::map<VolumeId, std::uint32_t> told_; // millionths that the decisions were told
    std::map<NodeId, Reach> reach_;
    std::map<NodeId, std::pair<std::uint64_t, Time>>
        started_; // a node's life, and when by our clock it began
};

} // namespace knotvane::edge
