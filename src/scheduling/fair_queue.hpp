/// \file
/// The order of requests at one node: the B-WF2Q+ scheduling policy of the BFQ paper, "Improving
/// Application Responsiveness with the BFQ Disk I/O Scheduler", applied to volumes. See
/// docs/design.md.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/budget_feedback.hpp"

namespace knotvane::scheduling {

/// Sort key of a request among those of its volume; the least goes first.
struct QueueRank {
    /// The value of an answer, negated so that the highest value sorts first.
    double negative_value = 0;
    Time latency_deadline = 0;
    /// Ids increase in the order of receipt.
    RequestId request;

    auto operator<=>(const QueueRank &) const = default;
};

/// Orders the requests of a node's volumes by B-WF2Q+.
///
/// Each volume has a budget, a start tag and a finish tag: the start tag plus the budget divided by
/// the weight. Virtual time increases by the charge that is served, divided by the total weight of
/// the waiting volumes. A waiting volume is eligible if its start tag is at or before virtual time.
/// The eligible volume with the least finish tag is served, and no other, until it has no waiting
/// request, its budget is exhausted or its slice is over. So each volume gets a share of the node
/// in proportion to its weight, and is served without interruption for up to one budget.
class FairQueue {
public:
    struct Volume {
        double weight = 1;
        double start_tag = 0;
        double finish_tag = 0;
        /// In charged units.
        double budget = 0;
        std::size_t attempts_in_flight = 0;
        std::set<QueueRank> requests;
    };

    /// @param largest_request units of the largest request; no budget is smaller.
    explicit FairQueue(double largest_request) : largest_request_(largest_request) {}

    /// @param weight of the volume from now on; above 0.
    void enqueue(VolumeId id, double weight, const QueueRank &request);

    /// Removes a waiting request that won't be sent.
    void remove(VolumeId id, const QueueRank &request);

    /// Ends the current service if it is over, and begins the next one if none is active.
    /// @return the volume in service, whose first request is next; none if no request waits.
    std::optional<VolumeId> select(Time now);

    /// @return the charge of a request, in units. A written unit is charged as ten read units, as
    ///     in the BFQ paper.
    static double charge_of(double units, bool writes);

    /// @return whether the remaining budget of the volume in service covers the charge. The first
    ///     request of a service is always allowed, whatever its charge.
    bool fits_budget(double charge) const;

    /// Ends the current service because the volume's next request doesn't fit its budget.
    void end_exhausted_service(Time now) { end_service(now, ServiceEnd::exhausted); }

    /// Records that a request of the volume in service was sent.
    void request_sent(const QueueRank &request, double units, double charge);

    /// Records that an attempt of the volume has ended.
    void attempt_ended(VolumeId id) { --volumes_[id].attempts_in_flight; }

    /// Forgets a volume that has no request waiting, no attempt in flight and isn't in service.
    /// @return whether it is forgotten, or was not known.
    bool forget(VolumeId id);

    const std::map<VolumeId, Volume> &volumes() const { return volumes_; }

    /// @return the volumes that have a request waiting.
    const std::set<VolumeId> &waiting_volumes() const { return waiting_volumes_; }

    /// @return the estimated service rate of the node in units per second; 0 if still unknown.
    double service_rate() const { return rate_estimator_.rate(); }

    double max_budget() const { return maximum_budget(largest_request_, service_rate()); }

    double virtual_time() const { return virtual_time_; }

private:
    void begin_service(Time now);
    void end_service(Time now, ServiceEnd end);
    void set_tags(Volume &volume) const;
    void erase_request(VolumeId id, Volume &volume, const QueueRank &request);

    double largest_request_;
    double virtual_time_ = 0;
    // Total weight of the waiting volumes; 0 if it has to be computed again.
    double waiting_weight_ = 0;
    std::map<VolumeId, Volume> volumes_;
    std::set<VolumeId> waiting_volumes_;

    std::optional<VolumeId> in_service_;
    Time service_began_ = 0;
    // Sums for the volume in service, since its service began.
    double charged_ = 0;
    double units_sent_ = 0;

    ServiceRateEstimator rate_estimator_;
};

} // namespace knotvane::scheduling
