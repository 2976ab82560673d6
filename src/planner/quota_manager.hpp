/// \file
/// Leases and quota shares of all edges, and what an edge must hold before its lease goes on.
#pragma once

#include <map>

#include "planner/config.hpp"
#include "planner/context.hpp"
#include "planner/lease_table.hpp"
#include "planner/quota_allocation.hpp"
#include "planner/state_rows.hpp"

namespace knotvane::planner {

/// Joins LeaseTable and QuotaAllocation: an edge's shares are whole while its lease is held and
/// the edge goes by all that lowered them.
class QuotaManager {
public:
    QuotaManager(PlannerContext &context, const PlannerConfig &config)
        : context_(context), leases_(config.lease, config.lease_margin, config.fade) {}

    void restore(VolumeId volume, EdgeId edge, const QuotaShareRow &row) {
        allocation_.restore(volume, edge, row.holding, row.edge_lapsed);
    }

    /// After all rows. Puts the restored shares into the state.
    /// \param version  of the last planner
    void start(Version version);

    /// The store was lost: until what it gave out must have run out, any edge may go by the whole
    /// of any limit.
    void start_recovery();
    void edge_connected(const Session &session, const std::vector<VolumeId> &serving);
    void volume_served(EdgeId edge, const control::VolumeServed &message) {
        allocation_.serve(message.volume, edge, message.served);
    }
    void renew(Session &session, const control::LeaseRenewal &renewal);

    /// Leases and the recovery run out by now.
    void expire();

    /// Shares out what is due, with the version that is open, and keeps the rows.
    void allocate();
    Time next_due() const;
    const LeaseTable &leases() const { return leases_; }
    const QuotaAllocation &allocation() const { return allocation_; }

private:
    Version min_version(EdgeId edge) const;
    void lease_changed(EdgeId edge, LeaseTable::Stage stage);

    PlannerContext &context_;
    LeaseTable leases_;
    QuotaAllocation allocation_;
    std::map<EdgeId, Version> min_versions_; // that an edge must hold to have its lease renewed
    Version min_version_of_all_;
    Time recovery_until_ = 0; // 0: no recovery, or it is over
    bool recovery_faded_ = false;
};

} // namespace knotvane::planner
