/// \file
/// The planner without I/O: messages of edges, nodes and operators and the settings go in, versions
/// of the cluster state go out. It decides who is a member, what drains, and which share of each
/// limit an edge has. Nothing is told before the store has it.
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

/// How a planner begins.
struct PlannerStart {
    /// Where the store stands. Its term is this planner's: above all before it in the store.
    StorePosition position;
    /// Another for each process, by chance.
    std::uint64_t instance = 0;
    /// The store was lost and is new: an earlier planner may have given out quota shares.
    bool rebuilt = false;
};

/// Joins the planner's parts: it hands each message to the part that it concerns, and at the end
/// of each moment decides, commits and tells.
class Core {
public:
    /// \param transport, store  must outlive this
    Core(PlannerTransport &transport, StateStore &store, const PlannerConfig &config);
    Core(const Core &) = delete;

    /// Takes a row of the store, before start.
    /// \return what is wrong with it; empty where it was taken
    std::string restore(StateStore::Row row, std::uint64_t first_id, std::uint64_t second_id,
                        Version stamp, std::string_view body);

    /// \return false where the store fails
    bool start(Time now, const PlannerStart &start);

    /// Takes new settings whole or, with any fault, not at all. An older version is a fault, the
    /// one in use changes nothing.
    std::vector<DesiredStateFault> apply_desired_state(Time now, const DesiredState &desired);
    std::uint64_t settings_version() const { return context_.desired.version; }

    void connected(Time now, SessionId id);
    void received(Time now, SessionId id, std::string_view bytes);
    void disconnected(Time now, SessionId id);

    /// The maximum of Time where nothing is due.
    Time next_due() const;

    /// The end of a moment: what is due is decided, made durable and told.
    void settle(Time now);

    Term term() const { return context_.term; }
    Version version() const { return context_.state.version(); }
    const VersionedState &state() const { return context_.state; }
    const QuotaAllocation &allocation() const { return quotas_.allocation(); }
    std::string status_json(Time now) const;

    /// A snapshot or clone that is under way, or being taken back.
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
    void keep_changes();
    bool commit();

    PlannerConfig config_;
    PlannerContext context_;
    Leadership leadership_{context_};
    NodeManager nodes_{context_, config_};
    QuotaManager quotas_{context_, config_};
    SnapshotOperations snapshots_{context_, quotas_.allocation()};
    DesiredStateChange desired_state_change_{context_, config_, nodes_, quotas_};
    UpdateSender updates_{context_};
    std::set<std::string> logged_refusals_; // of nodes: each is logged once
    Time started_ = 0;
    bool is_started_ = false;
};

} // namespace knotvane::planner
