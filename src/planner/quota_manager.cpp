#include "planner/quota_manager.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// Shares granted from a lost store may be in use for a lease, a tenth of it, and this much longer.
constexpr Time recovery_slack = sec;

} // namespace

void QuotaManager::start(Version version) {
    // Edges may still receive updates of the previous planner. This planner renews an edge's lease
    // only after the edge has applied everything that the previous planner decided.
    min_version_of_all_ = version;
    for (const auto &[volume, holdings] : allocation_.holdings())
        for (const auto &[edge, holding] : holdings) {
            leases_.restore(edge, context_.now, allocation_.is_lapsed(edge));
            if (holding.share == 0 && !holding.serves)
                continue;
            context_.state.set_restored_version(holding.since);
            context_.state.put_quota_share(edge, volume,
                                           {holding.share, allocation_.sharers(volume)});
        }
}

void QuotaManager::start_recovery() {
    allocation_.set_unknown_bound(control::full_limit_millionths);
    recovery_until_ = context_.now + leases_.lease() + leases_.lease() / 10 + recovery_slack;
    context_.recovering = true;
}

void QuotaManager::edge_connected(const Session &session, const std::vector<VolumeId> &serving) {
    if (session.edge_view.acknowledged > Version{0})
        allocation_.acknowledged(session.edge, session.edge_view.acknowledged);
    const std::set<VolumeId> now_serving(serving.begin(), serving.end());
    for (auto volume : allocation_.volumes_served_by(session.edge))
        if (!now_serving.contains(volume))
            allocation_.set_served(volume, session.edge, false);
    for (auto volume : now_serving)
        allocation_.set_served(volume, session.edge, true);
}

void QuotaManager::renew(Session &session, const control::LeaseRenewal &renewal) {
    auto &view = session.edge_view;
    const bool same_term = renewal.term == context_.term;
    view.term = renewal.term;
    // Versions of another lineage are meaningless here until the edge has applied one of this
    // store.
    if (same_term)
        view.lineage = context_.lineage;
    if (view.lineage != context_.lineage)
        return;
    view.acknowledged = std::max(view.acknowledged, renewal.version);
    if (same_term && view.acknowledged >= view.sent)
        view.in_flight = false;
    view.sent = std::max(view.sent, view.acknowledged);
    allocation_.acknowledged(session.edge, view.acknowledged);

    // The lease is renewed only once the edge has applied every version that lowered its shares.
    const auto needed = min_version(session.edge);
    if (!same_term || renewal.version < needed || context_.retired)
        return;
    const bool was_away = leases_.stage(session.edge) != LeaseTable::Stage::held;
    leases_.renew(session.edge, context_.now);
    if (was_away)
        allocation_.renewed(session.edge);
    context_.transport.send(
        session.id, control::encode(control::LeaseRenewed{
                        renewal.sent_at, context_.term, leases_.lease(), leases_.fade(), needed}));
}

Version QuotaManager::min_version(EdgeId edge) const {
    auto it = min_versions_.find(edge);
    return it == min_versions_.end() ? min_version_of_all_
                                     : std::max(it->second, min_version_of_all_);
}

void QuotaManager::lease_changed(EdgeId edge, LeaseTable::Stage stage) {
    if (stage == LeaseTable::Stage::lapsed) {
        context_.transport.log_event("edge " + text(edge) +
                                     " has not renewed its lease: it keeps a quarter of its "
                                     "quota shares");
        // The lease is renewed only after the edge has applied all versions so far: if a lowered
        // share never reached it, the old share counts as a quarter from now on and must not become
        // whole again.
        min_versions_[edge] =
            allocation_.lapsed(edge) ? context_.state.open_version() : context_.state.version();
    } else {
        context_.transport.log_event(
            "edge " + text(edge) +
            "'s lease and fade time have ended: its quota shares are freed for other edges");
        allocation_.forgotten(edge);
        min_versions_[edge] = context_.state.open_version();
    }
}

void QuotaManager::expire() {
    leases_.expire(context_.now,
                   [this](EdgeId edge, LeaseTable::Stage stage) { lease_changed(edge, stage); });
    if (recovery_until_ == 0)
        return;
    if (context_.now > recovery_until_ && !std::exchange(recovery_faded_, true))
        allocation_.set_unknown_bound(control::faded_millionths(control::full_limit_millionths));
    if (context_.now > recovery_until_ + leases_.fade()) {
        allocation_.set_unknown_bound(0);
        recovery_until_ = 0;
        context_.recovering = false;
    }
}

void QuotaManager::allocate() {
    using Row = StateStore::Row;
    const auto version = context_.state.open_version();
    allocation_.allocate(
        version,
        [&](VolumeId volume, EdgeId edge, const control::QuotaShare &share) {
            context_.state.put_quota_share(edge, volume, share);
        },
        [&](VolumeId volume, EdgeId edge, const QuotaAllocation::Holding *holding) {
            if (holding)
                context_.store.put(Row::quota_share, edge.value, volume.value, version,
                                   encode_row({*holding, allocation_.is_lapsed(edge)}));
            else
                context_.store.erase(Row::quota_share, edge.value, volume.value);
        });
}

Time QuotaManager::next_due() const {
    auto due = leases_.next_due();
    if (recovery_until_ == 0)
        return due;
    return std::min(due, recovery_until_ + (recovery_faded_ ? leases_.fade() : 0) + 1);
}

} // namespace knotvane::planner
