/// \file
/// The expected duration of a request at a node.
#pragma once

#include <algorithm>

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// The typical time per unit over the recent answers of all nodes. It stands for that of a node
/// that has too few answers of its own.
class TypicalUnitTime {
public:
    /// Adds an answer.
    /// @param units of the request, at least 1.
    void add(double units, Time duration);

    /// @return seconds per unit: the first quartile of the recent answers; 0 before the first one.
    double seconds_per_unit() const { return first_quartile_; }

private:
    RecentSamples<double, 64> seconds_per_unit_;
    double first_quartile_ = 0;
};

/// Estimates how long a request takes at one node once it is sent: a wait, which doesn't depend on
/// the request, plus a time per unit.
///
/// The time per unit is the first quartile over the node's recent answers. The wait is the median
/// of what answers took beyond their units. An answer counts for the wait only for about as long as
/// it took. Without a recent one the expected wait is 0, and the next request shows the actual
/// wait: a node that answers rarely would otherwise be avoided forever for a delay that is over.
/// With enough answers within a few seconds the estimate is their median time per unit, with no
/// separate wait.
class LatencyEstimate {
public:
    /// Adds an answer.
    /// @param units of the request, at least 1.
    void add_answer(Time now, double units, Time duration);

    /// Adds an attempt that was abandoned, whose duration is a lower bound. It counts only if it is
    /// longer than the expected duration.
    /// @param units of the request, at least 1.
    void add_abandoned(Time now, double units, Time duration);

    /// Recomputes the estimate if an attempt was added, one has become too old, or `typical`
    /// changed.
    /// @param typical seconds per unit of all nodes.
    void update(Time now, double typical);

    /// @return the expected duration of a request of that many units, as of the last update.
    Time expected_duration(double units) const {
        return static_cast<Time>((wait_ + seconds_per_unit_ * units) * nanoseconds_per_second);
    }

    /// @return the expected wait in seconds, as of the last update.
    double wait_seconds() const { return wait_; }

    /// @return the expected time per unit in seconds, as of the last update.
    double seconds_per_unit() const { return seconds_per_unit_; }

    /// @return the median duration of the recent answers.
    Time median_duration() const { return durations_.quantile(0.5); }

    /// @return how long a node with attempts in flight may send nothing before it counts as
    ///     unresponsive: well beyond its slowest recent answer and beyond the pauses of disks.
    Time response_timeout() const {
        constexpr Time max_disk_pause = 500 * ms;
        constexpr Time slowest_answer_multiple = 3;
        return std::max(max_disk_pause, slowest_answer_multiple * durations_.maximum());
    }

private:
    static constexpr double nanoseconds_per_second = 1e9;

    struct Sample {
        Time at;
        double units;
        double seconds;
    };

    void add(const Sample &sample);
    void compute(Time now, double typical);
    void set_valid_until(Time now);

    RecentSamples<Time, 32, GrowingStorage> durations_;
    RecentSamples<Sample, 32, GrowingStorage> samples_;
    double seconds_per_unit_ = 0;
    double wait_ = 0;
    // The estimate is valid until this time, and as long as the typical time per unit is the one
    // that it was computed with.
    Time valid_until_ = 0;
    double computed_with_typical_ = 0;
};

} // namespace knotvane::scheduling
