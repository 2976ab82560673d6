/// \file
/// The planner without I/O: messages of edges, nodes and operators and the settings go in, versions
/// of the cluster state go out. It decides which nodes are members or draining, and which share of
/// each limit an edge has. Nothing is sent before it is committed to the store.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "planner/config.hpp"
#include "planner/context.hpp"
#include "planner/desired_state_change.hpp"
#include "planner/leadership.hpp"
#include "planner/node_manager.hpp"
#include "planner/quota_manager.hpp"
#include "planner/snapshot_operations.hpp"
#include "planner/update_sender.hpp"

namespace knotvane::planner {

/// What a planner starts with.
struct PlannerStart {
    /// The store's position, but with this planner's term, which is above every term stored before.
    StorePosition position;
    /// Identifies this process; practically unique, not guaranteed.
    std::uint64_t instance = 0;
    /// The store was lost and created again: an earlier planner may have granted quota shares.
    bool rebuilt = false;
};

/// Connects the planner's parts: passes each message to the part that handles it, and when a moment
/// settles, makes the decisions that are due, commits them and sends the updates.
class Core {
public:
    /// \param transport, store  must outlive this
    Core(PlannerTransport &transport, StateStore &store, const PlannerConfig &config);
    Core(const Core &) = delete;

    /// Restores a row of the store. To be called before start.
    /// \return the error; empty on success
    std::string restore(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                        Version stamp, std::string_view body);

    /// \return false if the store can't commit
    bool start(Time now, const PlannerStart &start);

    /// Applies new settings completely or, if there is any fault, not at all. A version older than
    /// the one in use is a fault; the version in use changes nothing.
    /// \return the faults; empty if the settings were applied or are in use already
    std::vector<DesiredStateFault> apply_desired_state(Time now, const DesiredState &desired);
    std::uint64_t settings_version() const { return context_.desired.version; }

    void connected(Time now, SessionId id);
    void received(Time now, SessionId id, std::string_view bytes);
    void disconnected(Time now, SessionId id);

    /// When settle has to be called next; the maximum of Time if nothing is due.
    Time next_due() const;

    /// Ends a moment: makes the decisions that are due, commits them and sends them.
    void settle(Time now);

    Term term() const { return context_.term; }
    Version version() const { return context_.state.version(); }
    const VersionedState &state() const { return context_.state; }
    const QuotaAllocation &allocation() const { return quotas_.allocation(); }
    std::string status_json(Time now) const;

    /// Whether a snapshot or clone is in progress or being undone.
    bool is_incomplete(VolumeId snapshot) const { return snapshots_.is_incomplete(snapshot); }

private:
    class Receiver;

    void restore_row(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                     std::string_view body);
    void restore_desired_volumes();
    void close(Session &session, const std::string &why);
    void edge_hello(Session &session, const control::EdgeHello &hello);
    void lease_renewal(Session &session, const control::LeaseRenewal &renewal);
    void node_hello(Session &session, const control::NodeHello &hello);
    void refuse_node(Session &session, const control::NodeHello &hello, const std::string &why);
    void replace_session(SessionId old_session, const std::string &why);
    void store_changes();
    bool commit();

    PlannerConfig config_;
    PlannerContext context_;
    Leadership leadership_{context_};
    NodeManager nodes_{context_, config_};
    QuotaManager quotas_{context_, config_};
    SnapshotOperations snapshots_{context_, quotas_.allocation()};
    DesiredStateChange desired_state_change_{context_, config_, nodes_, quotas_};
    UpdateSender updates_{context_};
    std::set<std::string> logged_refusals_; // of node registrations: each is logged once
    Time started_ = 0;
    bool is_started_ = false;
};

} // namespace knotvane::planner
