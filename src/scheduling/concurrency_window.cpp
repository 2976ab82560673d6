#include "scheduling/concurrency_window.hpp"

#include <algorithm>
#include <cmath>

namespace knotvane::scheduling {
namespace {

// In attempts, by docs/design.md: the minimum applies to all schedulers together, the maximum to
// each of them.
constexpr double min_attempts_per_node = 4;
constexpr double max_attempts_per_scheduler = 32;

// Older samples were taken under a different load.
constexpr Time max_sample_age = 2 * sec;

// By docs/design.md: the window grows while the time per unit is below this multiple of the
// minimum.
constexpr double slowdown_threshold = 2;

} // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t scheduler_count)
    : min_size_(min_attempts_per_node / scheduler_count), size_(std::max(1.0, min_size_)) {}

bool ConcurrencyWindow::has_capacity(std::size_t in_flight, Time since_last, Time expected_duration,
                                     double relative_value) const {
    if (size_ >= 1)
        return static_cast<double>(in_flight) < std::floor(size_);
    return in_flight == 0 && seconds(since_last) * std::max(min_size_, size_ * relative_value) >=
                                 seconds(expected_duration);
}

void ConcurrencyWindow::record_duration(Time now, double units, Time duration, bool slow) {
    samples_.add({now, units, seconds(duration)});
    double all_units = 0;
    double all_seconds = 0;
    double fresh_units = 0;
    double fresh_seconds = 0;
    for (const Sample &sample : samples_) {
        all_units += sample.units;
        all_seconds += sample.seconds;
        if (sample.at > now - max_sample_age) {
            fresh_units += sample.units;
            fresh_seconds += sample.seconds;
        }
    }
    if (samples_.size() == samples_per_measurement)
        measurements_.add(all_seconds / all_units);

    bool too_slow =
        measurements_.empty() || size_ <= 1
            ? slow
            : fresh_seconds / fresh_units >= slowdown_threshold * measurements_.minimum();
    if (too_slow)
        halve(now, duration);
    else if (!measurements_.empty() || size_ < 1) // a window below one at most doubles
        size_ = std::min(max_attempts_per_scheduler, size_ + std::min(size_, 1 / size_));
}

void ConcurrencyWindow::halve(Time now, Time round_trip) {
    if (now < halved_at_ + round_trip)
        return;
    halved_at_ = now;
    size_ = std::max(min_size_, size_ / 2);
}

} // namespace knotvane::scheduling
