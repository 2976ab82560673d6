/// \file
/// An edge's own view of the lease on its quota shares. No I/O.
#pragma once

#include <algorithm>
#include <limits>

#include "common/time.hpp"

namespace knotvane::edge {

/// The time until which the planner allows this edge to use its quota shares. On the edge, a lease
/// starts when its renewal was sent, by the edge's clock. The planner counts it from a later
/// moment, so it never gives a share to another edge too early.
class QuotaLease {
public:
    enum class Stage {
        held,    ///< shares are used in full
        faded,   ///< a quarter of each is used
        expired, ///< none is used
    };

    /// Extends the lease after the planner has granted a renewal.
    /// \param sent_at  when the renewal was sent
    /// \param length   duration of the lease, from sent_at
    /// \param fade     how long a quarter of each share may be used after the lease has expired
    void renew(Time sent_at, Time length, Time fade) {
        until_ = std::max(until_, sent_at + length);
        fade_ = fade;
    }

    Stage stage(Time now) const {
        if (past(now) <= 0)
            return Stage::held;
        return past(now) <= fade_ ? Stage::faded : Stage::expired;
    }

    /// \return the time since the lease expired; 0 or less while it is held.
    Time past(Time now) const { return now - until_; }
    Time fade() const { return fade_; }

    /// \return when the stage after `current` begins; the maximum of Time if there is none.
    Time next_change(Stage current) const {
        if (current == Stage::expired)
            return std::numeric_limits<Time>::max();
        return until_ + (current == Stage::held ? 0 : fade_) + 1;
    }

private:
    // The initial value means never granted. It is older than any fade time, and subtracting it
    // from a time does not overflow.
    Time until_ = -std::numeric_limits<Time>::max() / 2;
    Time fade_ = 0;
};

} // namespace knotvane::edge
