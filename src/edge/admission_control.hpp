/// \file
/// Back-pressure: decides when the edge stops reading from its clients.
#pragma once

#include <algorithm>
#include <cstddef>

#include "edge/config.hpp"

namespace knotvane::edge {

/// Counts the bytes and requests held for all clients and pauses reading once a limit is reached.
class AdmissionControl {
public:
    void set_limits(const AdmissionLimits &limits) { limits_ = limits; }
    const AdmissionLimits &limits() const { return limits_; }

    void add_bytes(std::size_t count) { buffered_bytes_ += count; }
    void remove_bytes(std::size_t count) { buffered_bytes_ -= std::min(count, buffered_bytes_); }
    std::size_t buffered_bytes() const { return buffered_bytes_; }

    /// Whether reading from all clients is paused.
    bool paused() const { return paused_; }

    /// Compares the current load with the limits and pauses or resumes reading.
    /// @param scheduled_requests number of requests that the scheduler holds at present.
    /// @return whether paused() has changed.
    bool update(std::size_t scheduled_requests) {
        bool at_limit = scheduled_requests >= limits_.max_scheduled_requests ||
                        buffered_bytes_ >= limits_.max_buffered_bytes;
        // Resumes only at three quarters of the limits, so that reading does not alternate quickly
        // between paused and resumed.
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
