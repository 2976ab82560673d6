/// \file
/// The times at which a node starts no requests: its modelled pauses, and the periods in which it
/// does deferred work.
#pragma once

#include <random>

#include "common/time.hpp"
#include "node/service_model.hpp"

namespace knotvane::node {

/// The pauses of one node.
class PauseSchedule {
public:
    /// @param started_at when the first interval begins.
    void configure_pauses(const PauseModel &model, Time started_at);
    void configure_deferred_work(const DeferredWorkModel &model, Time started_at);

    /// Starts over after a restart of the process: ends the current pause and drops deferred work.
    void restart(Time now);

    /// Defers the configured fraction of a write's work.
    /// @return the units that remain to be done at once.
    double defer_fraction_of(double units);

    /// Begins the pause or the deferred work that is due.
    void tick(Time now, const ServiceModel &service, std::ranlux24_base &random);

    bool is_paused(Time now) const { return now < paused_until_; }

    /// When the next pause begins or, with queued requests, when the current one ends; the maximum
    /// of Time if neither will happen.
    Time next_due(bool has_queued) const;

private:
    PauseModel pauses_;
    DeferredWorkModel deferred_;
    Time next_pause_ = 0;
    Time next_deferred_work_ = 0;
    double deferred_units_ = 0;
    Time paused_until_ = 0; // 0: no pause since the start
};

} // namespace knotvane::node
