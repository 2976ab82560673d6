/// \file
/// The order of requests at one node: B-WF2Q+ over the budgets of its volumes, after "Improving
/// Application Responsiveness with the BFQ Disk I/O Scheduler" (here: the paper; docs/design.md).
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

/// The place of a request among those of its volume: the least goes first.
struct QueueRank {
    /// What an answer is worth, negated.
    double negative_value = 0;
    Time latency_deadline = 0;
    /// Ids grow in the order of receipt.
    RequestId request;

    auto operator<=>(const QueueRank &) const = default;
};

/// Orders the requests of a node's volumes by the paper's B-WF2Q+.
///
/// Each volume has a budget, a start tag and a finish tag, which is its start tag plus budget over
/// weight. Virtual time grows with the charge that is served. Of the volumes that wait and are
/// eligible (their start tag isn't past virtual time) the one with the least finish tag is served
/// alone until it is empty, its budget is exhausted or its slice is over. So a volume gets its
/// weight's share of the node, and keeps the node for a budget at a time.
class FairQueue {
public:
    struct Volume {
        double weight = 1;
        double start_tag = 0;
        double finish_tag = 0;
        /// Units of charge.
        double budget = 0;
        std::size_t attempts_in_flight = 0;
        std::set<QueueRank> requests;
    };

    /// @param largest_request units of the largest request: the least budget.
    explicit FairQueue(double largest_request) : largest_request_(largest_request) {}

    /// @param weight of the volume from now on, above 0.
    void enqueue(VolumeId id, double weight, const QueueRank &request);

    /// Takes a request out that won't be sent.
    void remove(VolumeId id, const QueueRank &request);

    /// Ends a service that is over and begins the next one.
    /// @return the volume in service, whose first request goes next; none if nothing waits.
    std::optional<VolumeId> select(Time now);

    /// @return what a request is charged, in units. A unit written counts as ten read ones (the
    ///     paper's).
    static double charge_of(double units, bool writes);

    /// @return whether the budget of the volume in service holds the charge. The first request of
    ///     a service always goes, whatever its charge.
    bool fits_budget(double charge) const;

    /// Ends the service of a volume whose next request doesn't fit.
    void end_exhausted_service(Time now) { end_service(now, ServiceEnd::exhausted); }

    /// A request of the volume in service was sent.
    void request_sent(const QueueRank &request, double units, double charge);

    /// An attempt of the volume's ended.
    void attempt_ended(VolumeId id) { --volumes_[id].attempts_in_flight; }

    const std::map<VolumeId, Volume> &volumes() const { return volumes_; }

    /// @return units per second that the node serves.
    double rate() const { return rate_estimator_.rate(); }

    double max_budget() const { return maximum_budget(largest_request_, rate()); }

    double virtual_time() const { return virtual_time_; }

private:
    void begin_service(Time now);
    void end_service(Time now, ServiceEnd end);
    void set_tags(Volume &volume) const;

    double largest_request_;
    double virtual_time_ = 0;
    // Of the volumes that wait; 0: to be added up again.
    double waiting_weight_ = 0;
    std::map<VolumeId, Volume> volumes_;

    std::optional<VolumeId> in_service_;
    Time service_began_ = 0;
    // By the volume in service, since its service began.
    double charged_ = 0;
    double units_sent_ = 0;

    ServiceRateEstimator rate_estimator_;
};

} // namespace knotvane::scheduling
