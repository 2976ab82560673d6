/// \file
/// How many attempts one scheduler has in flight at one node.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.hpp"
#include "scheduling/recent_samples.hpp"

namespace knotvane::scheduling {

/// A window that follows latency, as docs/design.md has it: it grows by one attempt a window while
/// the node's time per unit stays under twice its recent best, and else halves, at most once per
/// round trip. It never passes a ceiling of 32 attempts.
///
/// The window's floor of four attempts is the node's: schedulers share it, as they share limits.
/// With all of it each, eight schedulers would keep 32 attempts at a node of four slots, all of
/// them late. So the window may fall below one; then it paces: one attempt, then a rest, so that
/// attempts in flight are the window in the mean.
class ConcurrencyWindow {
public:
    /// The answers that make one reading of the time per unit. Fewer swing with the requests' own
    /// costs.
    static constexpr std::size_t answers_per_reading = 8;

    /// @param scheduler_count the number of schedulers that share the node.
    explicit ConcurrencyWindow(std::uint32_t scheduler_count);

    /// @param since_last time since the last attempt started.
    /// @param expected_duration of the next attempt.
    /// @param relative_value of what waits, against the mean of the plans: the rest below a window
    ///     of one is the shorter the more that is, so that schedulers which meet at a node keep
    ///     weights among each other, too. Read if pacing().
    /// @return whether one more attempt may start.
    bool has_capacity(std::size_t in_flight, Time since_last, Time expected_duration,
                      double relative_value) const;

    /// @return whether the window is of at least one attempt and holds no more of them.
    bool is_full(std::size_t in_flight) const { return !has_capacity(in_flight, 0, 1, 1); }

    bool pacing() const { return size_ < 1; }

    /// In attempts; below 1 it is the part of the time in which one is in flight.
    double size() const { return size_; }

    /// Takes an answer, or an attempt that was given up: that lasted for `duration` at least.
    /// @param units of the request, at least 1.
    /// @param slow it took half of its latency objective or longer. Decides while there is no
    ///     reading yet, and with a window of one or below.
    void record_duration(Time now, double units, Time duration, bool slow);

    /// Halves the window, but once in a round trip: all answers of one jam show the same jam.
    void halve(Time now, Time round_trip);

private:
    struct Answer {
        Time at;
        double units;
        double seconds;
    };

    double floor_;
    double size_;
    Time halved_at_ = 0;
    RecentSamples<Answer, answers_per_reading> answers_;
    // Seconds per unit: a few seconds of answers on a busy node.
    RecentSamples<double, 256> readings_;
};

} // namespace knotvane::scheduling
