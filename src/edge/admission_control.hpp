/// \file
/// Back-pressure: when clients are read from.
#pragma once

#include <algorithm>
#include <cstddef>

#include "edge/config.hpp"

namespace knotvane::edge {

/// Counts what is held for all clients and pauses reading past the limits.
class AdmissionControl {
public:
    void set_limits(const AdmissionLimits &limits) { limits_ = limits; }
    const AdmissionLimits &limits() const { return limits_; }

    void add_bytes(std::size_t count) { buffered_bytes_ += count; }
    void remove_bytes(std::size_t count) { buffered_bytes_ -= std::min(count, buffered_bytes_); }
    std::size_t buffered_bytes() const { return buffered_bytes_; }

    /// No client is to be read from.
    bool paused() const { return paused_; }

    /// Looks at the limits again.
    /// @return whether paused() has changed.
    bool update(std::size_t scheduled_requests) {
        bool at_limit = scheduled_requests >= limits_.max_scheduled_requests ||
                        buffered_bytes_ >= limits_.max_buffered_bytes;
        // Goes on at three quarters, so that reading does not stop and start all the time.
        bool has_capacity = scheduled_requests <= limits_.max_scheduled_requests / 4 * 3 &&
                            buffered_bytes_ <= limits_.max_buffered_bytes / 4 * 3;
        if (!(paused_ ? has_capacity : at_limit))
            return false;
        paused_ = !paused_;
        return true;
    }

private:
    AdmissionLimits limits_;
    std::size_t buffered_bytes_ = 0;
    bool paused_ = false;
};

} // namespace knotvane::edge
