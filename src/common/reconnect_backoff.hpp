/// \file
/// Decides when to reconnect to a peer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>

#include "common/time.hpp"

namespace knotvane {

/// Exponential backoff with full jitter for one connection. The delay before the next connection
/// attempt is random, so that many clients that lose the same peer don't reconnect at the same
/// time. It holds no connection and no timer: its owner reports events and asks when to act.
class ReconnectBackoff {
public:
    /// @param initial_max_delay the upper bound of the delay after the first failure; it doubles
    ///     with each further failure.
    /// @param max_delay the upper bound of any delay.
    /// @param seed of the random number generator that draws the delays.
    ReconnectBackoff(Time initial_max_delay, Time max_delay, std::uint64_t seed)
        : initial_max_delay_(initial_max_delay), max_delay_(max_delay),
          generator_(static_cast<std::ranlux24_base::result_type>(seed)) {}

    /// A connection attempt starts. It counts as timed out at deadline() unless it succeeds first.
    /// @param timeout of the connection attempt.
    void connect_started(Time now, Time timeout) {
        deadline_ = now + timeout;
        connecting_ = true;
    }

    /// The connection is established: resets the number of failures.
    void connect_succeeded() {
        connecting_ = false;
        failures_ = 0;
        deadline_ = never;
    }

    /// The connection was lost, or the connection attempt failed.
    /// @param min_failures lower bound of the number of failures that the delay is computed from:
    ///     above 0 where an early reconnect would be of no use.
    void failed(Time now, std::uint32_t min_failures = 0) {
        failures_ = std::max(failures_, min_failures);
        Time delay_bound =
            std::min(max_delay_, initial_max_delay_ << std::min(failures_, max_doublings));
        ++failures_;
        deadline_ = now + random_time_below(delay_bound);
        connecting_ = false;
    }

    /// Makes the next connection attempt due immediately.
    void retry_now(Time now) {
        deadline_ = now;
        connecting_ = false;
    }

    /// @return when the next connection attempt is due or, while connecting, when the present one
    ///     times out; the largest Time while connected.
    Time deadline() const { return deadline_; }

    /// @return whether a connection attempt is in progress.
    bool connecting() const { return connecting_; }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();
    static constexpr std::uint32_t max_doublings = 8;
    static constexpr int bits_per_draw = 24;

    /// Combines two draws: the 24 bits of a single one cover only 17 milliseconds.
    Time random_time_below(Time limit) {
        auto high_bits = static_cast<std::uint64_t>(generator_()) << bits_per_draw;
        auto random_bits = high_bits | generator_();
        return static_cast<Time>(random_bits % static_cast<std::uint64_t>(limit));
    }

    Time initial_max_delay_;
    Time max_delay_;
    Time deadline_ = never;
    std::uint32_t failures_ = 0;
    bool connecting_ = false;
    std::ranlux24_base generator_;
};

} // namespace knotvane
