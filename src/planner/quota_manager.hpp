/// \file
/// The leases and quota shares of all edges, and the version that an edge must have applied before
/// its lease is renewed.
#pragma once

#include <map>

#include "planner/config.hpp"
#include "planner/context.hpp"
#include "planner/lease_table.hpp"
#include "planner/quota_allocation.hpp"
#include "planner/state_rows.hpp"

namespace knotvane::planner {

/// Combines LeaseTable and QuotaAllocation: an edge has its full shares while it holds a lease and
/// has applied every version that lowered them.
class QuotaManager {
public:
    QuotaManager(PlannerContext &context, const PlannerConfig &config)
        : context_(context), leases_(config.lease, config.lease_margin, config.fade) {}

    void restore(VolumeId volume, EdgeId edge, const QuotaShareRow &row) {
        allocation_.restore(volume, edge, row.holding, row.edge_lapsed);
    }

    /// Puts the restored shares into the state. To be called after all rows were restored.
    /// \param version  the last version that the previous planner committed
    void start(Version version);

    /// The store was lost: assumes that any edge may use the whole of any limit, until every lease
    /// granted from the lost store must have run out.
    void start_recovery();
    void edge_connected(const Session &session, const std::vector<VolumeId> &serving);
    void volume_served(EdgeId edge, const control::VolumeServed &message) {
        allocation_.set_served(message.volume, edge, message.served);
    }
    void renew(Session &session, const control::LeaseRenewal &renewal);

    /// Ends the leases and the recovery period that have run out.
    void expire();

    /// Recomputes changed shares in the open version and stores their rows.
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
    std::map<EdgeId, Version> min_versions_; // that an edge must have applied for a renewal
    Version min_version_of_all_;
    Time recovery_until_ = 0; // 0: no recovery, or it is over
    bool recovery_faded_ = false;
};

} // namespace knotvane::planner
