#include "scheduling/concurrency_window.hpp"

#include <algorithm>
#include <cmath>

namespace knotvane::scheduling {
namespace {

// The design's, in attempts: the floor for all schedulers together, the ceiling for each.
constexpr double node_floor = 4;
constexpr double ceiling = 32;

// Answers older than this belong to another load.
constexpr Time reading_age = 2 * sec;

// The design's: the window grows while a reading is below this many times the best.
constexpr double slow_down_limit = 2;

} // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t scheduler_count)
    : floor_(node_floor / scheduler_count), size_(std::max(1.0, floor_)) {}

bool ConcurrencyWindow::has_capacity(std::size_t in_flight, Time since_last, Time expected_duration,
                                     double relative_value) const {
    if (size_ >= 1)
        return static_cast<double>(in_flight) < std::floor(size_);
    return in_flight == 0 && seconds(since_last) * std::max(floor_, size_ * relative_value) >=
                                 seconds(expected_duration);
}

void ConcurrencyWindow::record_duration(Time now, double units, Time duration, bool slow) {
    answers_.add({now, units, seconds(duration)});
    double all_units = 0;
    double all_seconds = 0;
    double fresh_units = 0;
    double fresh_seconds = 0;
    for (const Answer &answer : answers_) {
        all_units += answer.units;
        all_seconds += answer.seconds;
        if (answer.at > now - reading_age) {
            fresh_units += answer.units;
            fresh_seconds += answer.seconds;
        }
    }
    if (answers_.size() == answers_per_reading)
        readings_.add(all_seconds / all_units);

    bool too_slow = readings_.empty() || size_ <= 1
                        ? slow
                        : fresh_seconds / fresh_units >= slow_down_limit * readings_.minimum();
    if (too_slow)
        halve(now, duration);
    else if (!readings_.empty() || size_ < 1) // doubles at most, where the window is below one
        size_ = std::min(ceiling, size_ + std::min(size_, 1 / size_));
}

void ConcurrencyWindow::halve(Time now, Time round_trip) {
    if (now < halved_at_ + round_trip)
        return;
    halved_at_ = now;
    size_ = std::max(floor_, size_ / 2);
}

} // namespace knotvane::scheduling
