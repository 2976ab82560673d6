/// \file
/// What a request is expected to take at a node.
#pragma once

#include <algorithm>

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// The time per unit of the last answers of all nodes: what a node is expected to need before it
/// has enough answers of its own.
class TypicalUnitTime {
public:
    /// @param units of the request, at least 1.
    void add(double units, Time duration);

    /// @return seconds per unit, that of the quick quarter; 0 before the first answer.
    double seconds_per_unit() const { return quick_quarter_; }

private:
    RecentSamples<double, 64> seconds_per_unit_;
    double quick_quarter_ = 0;
};

/// The expected time of a request at one node, once it is sent: a wait and a time per unit.
///
/// The time per unit is that of the quick quarter of the last answers; the wait is the median of
/// what answers took beyond that. An answer counts for the wait for about as long as it took; after
/// that no wait is expected and the next request finds out. Guards against shunning a node for good
/// for what it was, where answers are rare. With enough answers in a few seconds their median time
/// per unit stands for both.
class LatencyEstimate {
public:
    /// @param units of the request, at least 1.
    void add_answer(Time now, double units, Time duration);

    /// An attempt that was given up: it took that long at least, which counts if it was more than
    /// expected.
    void add_abandoned(Time now, double units, Time duration);

    /// Works the estimate out again where an answer came, one grew old, or `typical` changed.
    /// @param typical seconds per unit, of all nodes.
    void update(Time now, double typical);

    /// @return what a request of so many units takes, by the last update.
    Time expected_duration(double units) const {
        return static_cast<Time>((wait_ + seconds_per_unit_ * units) * nanoseconds);
    }

    /// Seconds, by the last update.
    double wait_seconds() const { return wait_; }

    double seconds_per_unit() const { return seconds_per_unit_; }

    /// The median of the last answers' durations.
    Time median_duration() const { return durations_.quantile(0.5); }

    /// How long a node with attempts in flight may stay silent: well past its slowest recent answer
    /// and past the pauses of disks.
    Time response_timeout() const {
        constexpr Time longest_disk_pause = 500 * ms;
        constexpr Time slowest_answers = 3;
        return std::max(longest_disk_pause, slowest_answers * durations_.maximum());
    }

private:
    // In a second.
    static constexpr double nanoseconds = 1e9;

    struct Answer {
        Time at;
        double units;
        double seconds;
    };

    void add(const Answer &answer);
    void set_from(Time now, double typical);
    void set_valid_until(Time now);

    RecentSamples<Time, 32> durations_;
    RecentSamples<Answer, 32> answers_;
    double seconds_per_unit_ = 0;
    double wait_ = 0;
    // The estimate holds until then, and for that typical time per unit.
    Time valid_until_ = 0;
    double computed_with_ = 0;
};

} // namespace knotvane::scheduling
