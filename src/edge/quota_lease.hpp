/// \file
/// The lease on an edge's quota shares, as the edge itself counts it. No I/O.
#pragma once

#include <algorithm>
#include <limits>

#include "common/time.hpp"

namespace knotvane::edge {

/// Until when the planner lets this edge use its quota shares. It runs by the edge's clock from
/// when the renewal was sent; the planner counts from later on, and so never gives a share to
/// another edge too early.
class QuotaLease {
public:
    enum class Stage {
        held,    ///< shares are used whole
        faded,   ///< a quarter of each is used
        expired, ///< none is used
    };

    /// \param sent_at  when the renewal was sent that was granted now
    /// \param length   of the lease, from sent_at on
    /// \param fade     how long a quarter may be used after that
    void renew(Time sent_at, Time length, Time fade) {
        until_ = std::max(until_, sent_at + length);
        fade_ = fade;
    }

    Stage stage(Time now) const {
        if (past(now) <= 0)
            return Stage::held;
        return past(now) <= fade_ ? Stage::faded : Stage::expired;
    }

    /// How long ago it ran out; 0 or less while it is held.
    Time past(Time now) const { return now - until_; }
    Time fade() const { return fade_; }

    /// When the stage after `current` begins; the maximum of Time where none follows.
    Time next_change(Stage current) const {
        if (current == Stage::expired)
            return std::numeric_limits<Time>::max();
        return until_ + (current == Stage::held ? 0 : fade_) + 1;
    }

private:
    // Never granted: far enough back that it is past every fade, and subtracts without overflow.
    Time until_ = -std::numeric_limits<Time>::max() / 2;
    Time fade_ = 0;
};

} // namespace knotvane::edge
