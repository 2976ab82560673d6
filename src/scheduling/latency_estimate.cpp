#include "scheduling/latency_estimate.hpp"

#include "scheduling/concurrency_window.hpp"
#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

// The fastest quarter of the answers met no queue at the node: they show the time of the work
// itself.
constexpr double first_quartile = 0.25;

// Samples up to this age show the present load.
constexpr Time max_fresh_age = 4 * sec;

// A sample counts for the wait for as long as its attempt took, and for this many seconds more, so
// that the median covers several samples.
constexpr double extra_wait_seconds = 0.25;

// As many samples as the concurrency window needs for a measurement.
constexpr std::size_t min_samples = ConcurrencyWindow::samples_per_measurement;

} // namespace

void TypicalUnitTime::add(double units, Time duration) {
    seconds_per_unit_.add(seconds(duration) / units);
    first_quartile_ = seconds_per_unit_.quantile(first_quartile);
}

void LatencyEstimate::add_answer(Time now, double units, Time duration) {
    durations_.add(duration);
    add({now, units, seconds(duration)});
}

void LatencyEstimate::add_abandoned(Time now, double units, Time duration) {
    if (duration > expected_duration(units))
        add({now, units, seconds(duration)});
}

void LatencyEstimate::add(const Sample &sample) {
    samples_.add(sample);
    valid_until_ = 0;
}

void LatencyEstimate::update(Time now, double typical) {
    if (now < valid_until_ && typical == computed_with_typical_)
        return;
    computed_with_typical_ = typical;
    set_valid_until(now);
    compute(now, typical);
}

void LatencyEstimate::set_valid_until(Time now) {
    valid_until_ = never;
    auto limit_validity = [&](Time time) {
        valid_until_ = std::min(valid_until_, time > now ? time : never);
    };
    for (const Sample &sample : samples_) {
        limit_validity(sample.at + max_fresh_age);
        // One microsecond early: rounding to nanoseconds could make it too late.
        limit_validity(
            sample.at +
            static_cast<Time>((extra_wait_seconds + sample.seconds) * nanoseconds_per_second) - us);
    }
}

void LatencyEstimate::compute(Time now, double typical) {
    RecentSamples<double, 32> unit_times;
    RecentSamples<double, 32> fresh_unit_times;
    for (const Sample &sample : samples_) {
        unit_times.add(sample.seconds / sample.units);
        if (sample.at > now - max_fresh_age)
            fresh_unit_times.add(sample.seconds / sample.units);
    }
    seconds_per_unit_ =
        unit_times.size() < min_samples ? typical : unit_times.quantile(first_quartile);

    RecentSamples<double, 32> waits;
    for (const Sample &sample : samples_)
        if (seconds(now - sample.at) < extra_wait_seconds + sample.seconds)
            waits.add(std::max(0.0, sample.seconds - sample.units * seconds_per_unit_));
    wait_ = waits.quantile(0.5);

    if (fresh_unit_times.size() >= min_samples) {
        wait_ = 0;
        seconds_per_unit_ = fresh_unit_times.quantile(0.5);
    }
}

} // namespace knotvane::scheduling
