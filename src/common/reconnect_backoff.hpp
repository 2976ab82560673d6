/// \file
/// When to connect to a peer again.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>

#include "common/time.hpp"

namespace knotvane {

/// Exponential backoff with full jitter for one connection. The pause before the next attempt is
/// random, so that many clients that lose one peer together don't come back together. It holds no
/// connection and no timer: its owner tells it what happens and asks when to act.
class ReconnectBackoff {
public:
    /// @param first the longest pause after the first failure; it doubles with each further one.
    /// @param longest the longest pause of all.
    /// @param seed of the pauses.
    ReconnectBackoff(Time first, Time longest, std::uint64_t seed)
        : first_(first), longest_(longest),
          generator_(static_cast<std::ranlux24_base::result_type>(seed)) {}

    /// An attempt to connect starts; it has failed if it isn't up after `timeout`.
    void trying(Time now, Time timeout) {
        due_ = now + timeout;
        trying_ = true;
    }

    /// The connection works: failures are forgotten.
    void up() {
        trying_ = false;
        failures_ = 0;
        due_ = never;
    }

    /// The connection or the attempt to make it failed.
    /// @param min_failures failures that count at least, where coming back soon would be of no use.
    void lost(Time now, std::uint32_t min_failures = 0) {
        failures_ = std::max(failures_, min_failures);
        Time max_pause = std::min(longest_, first_ << std::min(failures_, max_doublings));
        ++failures_;
        due_ = now + random_time_below(max_pause);
        trying_ = false;
    }

    /// The next attempt is due now.
    void at_once(Time now) {
        due_ = now;
        trying_ = false;
    }

    /// When the next attempt is due or, while trying, when the attempt has failed. The largest Time
    /// while up.
    Time due() const { return due_; }

    bool trying() const { return trying_; }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();
    static constexpr std::uint32_t max_doublings = 8;
    static constexpr int bits_per_draw = 24;

    /// Two draws: the 24 bits of one are only 17 milliseconds.
    Time random_time_below(Time limit) {
        auto high = static_cast<std::uint64_t>(generator_()) << bits_per_draw;
        auto drawn = high | generator_();
        return static_cast<Time>(drawn % static_cast<std::uint64_t>(limit));
    }

    Time first_;
    Time longest_;
    Time due_ = never;
    std::uint32_t failures_ = 0;
    bool trying_ = false;
    std::ranlux24_base generator_;
};

} // namespace knotvane
