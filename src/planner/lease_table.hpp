/// \file
/// The edges' leases on their quota shares, from the planner's point of view. No I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <map>

#include "common/time.hpp"
#include "control/ids.hpp"

namespace knotvane::planner {

using control::EdgeId;

/// Callers pass the time, in nanoseconds of a monotonic clock.
class LeaseTable {
public:
    enum class Stage {
        held,      ///< the edge may use its shares
        lapsed,    ///< the lease ran out; the edge may still use a quarter of its shares
        forgotten, ///< the edge may use none of its shares and is no longer tracked
    };

    /// \param lease   duration by the edge's clock, from the time it sent its renewal
    /// \param margin  how much longer the lease is held here, because clock rates differ
    /// \param fade    how long a lapsed edge keeps a quarter of its shares
    LeaseTable(Time lease, Time margin, Time fade) : lease_(lease), margin_(margin), fade_(fade) {}

    /// Adds an edge that may hold shares granted by an earlier planner, which renewed its lease no
    /// later than `now`.
    void restore(EdgeId edge, Time now, bool lapsed);
    void renew(EdgeId edge, Time now) { leases_[edge] = {now + lease_ + margin_, Stage::held}; }
    Stage stage(EdgeId edge) const;

    /// Calls `changed` for each edge whose stage has changed by `now`.
    void expire(Time now, const std::function<void(EdgeId, Stage)> &changed);

    /// When the next stage change is due; the maximum of Time if there is none.
    Time next_due() const;

    /// How many edges hold a lease.
    std::size_t held_count() const;
    Time lease() const { return lease_; }
    Time fade() const { return fade_; }

private:
    struct Lease {
        Time until;
        Stage stage;
    };

    Time lease_;
    Time margin_;
    Time fade_;
    std::map<EdgeId, Lease> leases_;
};

} // namespace knotvane::planner
