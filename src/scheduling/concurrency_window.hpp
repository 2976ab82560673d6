/// \file
/// The limit on how many attempts one scheduler has in flight at one node.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// A concurrency limit that adapts to latency (docs/design.md). While the node's time per unit is
/// below twice its recent minimum, the window grows by one attempt for each window of attempts that
/// ended; otherwise it halves, at most once per round trip. Its upper bound is 32 attempts.
///
/// The lower bound of four attempts applies to the node: the schedulers divide it among themselves,
/// as they divide limits. If each had all of it, eight schedulers would keep 32 attempts in flight
/// at a node with four slots, and all of them would be late. So the window may be smaller than one
/// attempt. Such a window limits the rate: one attempt at a time, followed by a pause, so that the
/// mean number of attempts in flight equals the window.
class ConcurrencyWindow {
public:
    /// Attempts that one measurement of the time per unit averages over. With fewer, the result
    /// varies with the cost of the individual requests.
    static constexpr std::size_t samples_per_measurement = 8;

    /// @param scheduler_count the number of schedulers that share the node.
    explicit ConcurrencyWindow(std::uint32_t scheduler_count);

    /// @param in_flight attempts that occupy the window.
    /// @param since_last time since the last attempt started.
    /// @param expected_duration of the next attempt.
    /// @param relative_value the value of the volumes that wait at the node, relative to the mean
    ///     of the plans. It shortens the pause of a window below one attempt, so that
    ///     the plans' weights also hold between schedulers that share the node. Used only if
    ///     pacing().
    /// @return whether one more attempt may start.
    bool has_capacity(std::size_t in_flight, Time since_last, Time expected_duration,
                      double relative_value) const;

    /// @return whether the window is of at least one attempt and has no capacity left.
    bool is_full(std::size_t in_flight) const { return !has_capacity(in_flight, 0, 1, 1); }

    /// @return whether the window is below one attempt, so that it limits the rate of attempts.
    bool pacing() const { return size_ < 1; }

    /// @return the window in attempts; below 1 it is the fraction of time in which one attempt is
    ///     in flight.
    double size() const { return size_; }

    /// Adapts the window to an attempt that was answered or abandoned.
    /// @param units of the request, at least 1.
    /// @param duration of the attempt; for an abandoned one, which would have taken longer, a lower
    ///     bound.
    /// @param slow the attempt took more than half of its request's latency objective. Decides
    ///     alone until there is a measurement, and while the window is at most one attempt.
    void record_duration(Time now, double units, Time duration, bool slow);

    /// Halves the window, unless it did so within the last round trip: all attempts that were
    /// delayed by the same congestion count once.
    void halve(Time now, Time round_trip);

private:
    struct Sample {
        Time at;
        double units;
        double seconds;
    };

    double min_size_;
    double size_;
    Time halved_at_ = 0;
    RecentSamples<Sample, samples_per_measurement, GrowingStorage> samples_;
    // Seconds per unit, one measurement per sample: those of a few seconds on a busy node.
    RecentSamples<double, 256, GrowingStorage> measurements_;
};

} // namespace knotvane::scheduling
