/// \file
/// The edges' leases on their quota shares, as the planner has to count them. No I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <map>

#include "common/time.hpp"
#include "control/ids.hpp"

namespace knotvane::planner {

using control::EdgeId;

/// Time is given, in nanoseconds of a clock that never goes back.
class LeaseTable {
public:
    enum class Stage {
        held,      ///< the edge may use its shares
        lapsed,    ///< it may still use a quarter of them
        forgotten, ///< it may use none; it is known no more
    };

    /// \param lease   runs by the edge's clock from when it sent its renewal
    /// \param margin  how much longer it is counted here, for clocks of different rates
    /// \param fade    how long a lapsed edge keeps a quarter
    LeaseTable(Time lease, Time margin, Time fade) : lease_(lease), margin_(margin), fade_(fade) {}

    /// An edge may have shares of an earlier planner, which renewed its lease until now at the
    /// latest.
    void restore(EdgeId edge, Time now, bool lapsed);
    void renew(EdgeId edge, Time now) { leases_[edge] = {now + lease_ + margin_, Stage::held}; }
    Stage stage(EdgeId edge) const;

    /// Calls for each edge whose stage has changed by now.
    void expire(Time now, const std::function<void(EdgeId, Stage)> &changed);

    /// When a stage changes next; the maximum of Time if none does.
    Time next_due() const;

    /// How many edges hold a lease.
    std::size_t held() const;
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
