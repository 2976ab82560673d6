/// \file
/// When a node starts no requests: its own pauses, and the times at which it does deferred work.
#pragma once

#include <random>

#include "common/time.hpp"
#include "node/service_model.hpp"

namespace knotvane::node {

/// One node's pauses.
class PauseSchedule {
public:
    /// @param started_at from which the first interval counts.
    void configure_pauses(const PauseModel &model, Time started_at);
    void configure_deferred_work(const DeferredWorkModel &model, Time started_at);

    /// The process began anew: pauses that were under way and deferred work are gone.
    void restart(Time now);

    /// Puts part of a write's work off.
    /// @return the units that are left to do at once.
    double defer_part_of(double units);

    /// Begins what is due.
    void tick(Time now, const ServiceModel &service, std::ranlux24_base &random);

    bool is_paused(Time now) const { return now < paused_until_; }

    /// When the next pause begins or, with queued requests, when the present one ends; `never` if
    /// neither comes.
    Time next_due(bool has_queued) const;

private:
    PauseModel pauses_;
    DeferredWorkModel deferred_;
    Time next_pause_ = 0;
    Time next_deferred_work_ = 0;
    double deferred_units_ = 0;
    Time paused_until_ = 0; // 0: there was no pause yet
};

} // namespace knotvane::node
