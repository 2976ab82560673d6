#include "scheduling/latency_estimate.hpp"

#include "scheduling/concurrency_window.hpp"
#include "scheduling/never.hpp"

namespace knotvane::scheduling {
namespace {

// Answers of the quick quarter met no queue: they show what the work itself takes.
constexpr double quick_quarter = 0.25;

// Answers within this time show the present load.
constexpr Time fresh_age = 4 * sec;

// An answer counts for the wait for as long as it took, and for this many seconds more, so that a
// few answers meet.
constexpr double wait_extra_seconds = 0.25;

// As many answers as make a reading of the window.
constexpr std::size_t enough_answers = ConcurrencyWindow::answers_per_reading;

} // namespace

void TypicalUnitTime::add(double units, Time duration) {
    seconds_per_unit_.add(seconds(duration) / units);
    quick_quarter_ = seconds_per_unit_.quantile(quick_quarter);
}

void LatencyEstimate::add_answer(Time now, double units, Time duration) {
    durations_.add(duration);
    add({now, units, seconds(duration)});
}

void LatencyEstimate::add_abandoned(Time now, double units, Time duration) {
    if (duration > expected_duration(units))
        add({now, units, seconds(duration)});
}

void LatencyEstimate::add(const Answer &answer) {
    answers_.add(answer);
    valid_until_ = 0;
}

void LatencyEstimate::update(Time now, double typical) {
    if (now < valid_until_ && typical == computed_with_)
        return;
    computed_with_ = typical;
    set_valid_until(now);
    set_from(now, typical);
}

void LatencyEstimate::set_valid_until(Time now) {
    valid_until_ = never;
    auto ends = [&](Time time) {
        valid_until_ = std::min(valid_until_, time > now ? time : never);
    };
    for (const Answer &answer : answers_) {
        ends(answer.at + fresh_age);
        // Rounded to nanoseconds it might come too late.
        ends(answer.at + static_cast<Time>((wait_extra_seconds + answer.seconds) * nanoseconds) -
             us);
    }
}

void LatencyEstimate::set_from(Time now, double typical) {
    RecentSamples<double, 32> unit_times;
    RecentSamples<double, 32> fresh_unit_times;
    for (const Answer &answer : answers_) {
        unit_times.add(answer.seconds / answer.units);
        if (answer.at > now - fresh_age)
            fresh_unit_times.add(answer.seconds / answer.units);
    }
    seconds_per_unit_ =
        unit_times.size() < enough_answers ? typical : unit_times.quantile(quick_quarter);

    RecentSamples<double, 32> waits;
    for (const Answer &answer : answers_)
        if (seconds(now - answer.at) < wait_extra_seconds + answer.seconds)
            waits.add(std::max(0.0, answer.seconds - answer.units * seconds_per_unit_));
    wait_ = waits.quantile(0.5);

    if (fresh_unit_times.size() >= enough_answers) {
        wait_ = 0;
        seconds_per_unit_ = fresh_unit_times.quantile(0.5);
    }
}

} // namespace knotvane::scheduling
