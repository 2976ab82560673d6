#include "node/pause_schedule.hpp"

#include <algorithm>
#include <limits>

namespace knotvane::node {
namespace {

constexpr Time never = std::numeric_limits<Time>::max();

// The random part of the interval between pauses is a multiple of 1/1024 of the interval.
constexpr Time random_steps = 1024;

} // namespace

void PauseSchedule::configure_pauses(const PauseModel &model, Time started_at) {
    pauses_ = model;
    next_pause_ = model.interval > 0 ? started_at + model.interval : 0;
}

void PauseSchedule::configure_deferred_work(const DeferredWorkModel &model, Time started_at) {
    deferred_ = model;
    next_deferred_work_ = model.interval > 0 ? started_at + model.interval : 0;
}

void PauseSchedule::restart(Time now) {
    paused_until_ = 0;
    deferred_units_ = 0;
    if (pauses_.interval > 0)
        next_pause_ = now + pauses_.interval;
    if (deferred_.interval > 0)
        next_deferred_work_ = now + deferred_.interval;
}

double PauseSchedule::defer_fraction_of(double units) {
    deferred_units_ += deferred_.fraction * units;
    return units * (1 - deferred_.fraction);
}

void PauseSchedule::tick(Time now, const ServiceModel &service, std::ranlux24_base &random) {
    if (pauses_.interval > 0 && now >= next_pause_) {
        paused_until_ = now + pauses_.length;
        Time random_delay =
            static_cast<Time>(random() % random_steps) * pauses_.interval / random_steps;
        next_pause_ = now + pauses_.interval / 2 + random_delay;
    }
    if (deferred_.interval > 0 && now >= next_deferred_work_) {
        next_deferred_work_ = now + deferred_.interval;
        auto length = static_cast<Time>(deferred_units_ / service.cores *
                                        static_cast<double>(service.unit_time));
        paused_until_ = std::max(paused_until_, now + length);
        deferred_units_ = 0;
    }
}

Time PauseSchedule::next_due(bool has_queued) const {
    Time due = never;
    if (pauses_.interval > 0)
        due = std::min(due, next_pause_);
    if (deferred_.interval > 0)
        due = std::min(due, next_deferred_work_);
    if (has_queued && paused_until_ > 0)
        due = std::min(due, paused_until_);
    return due;
}

} // namespace knotvane::node
