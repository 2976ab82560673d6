/// \file
/// This scheduler's share of a volume's limit, kept as a token bucket.
#pragma once

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::scheduling {

/// Result of charging a request to its volume's quota share.
enum class QuotaDecision {
    admitted,  ///< The request's units have been taken from the share.
    wait,      ///< The units aren't available yet; try again later.
    never_fits ///< The request has more units than a full share holds.
};

/// One scheduler's share of one volume's limit: the limit's rate and burst, divided by the number
/// of schedulers that share it.
///
/// Units that were taken but not yet sent stay reserved: the bucket is filled only up to its burst
/// minus the reserved units, so that all schedulers together never send more than the limit.
class QuotaShare {
public:
    /// The bucket starts empty, because the scheduler's previous process may just have sent a full
    /// burst.
    /// @param rate of the whole limit, in units per second.
    /// @param burst of the whole limit, in units.
    QuotaShare(double rate, double burst, Time now);

    /// Takes the units if the bucket holds them.
    /// @param sharers number of schedulers that share the limit, as far as the client knows. Until
    ///     a planner grants shares, the largest number named so far is used, because another
    ///     scheduler may still use a share of that size.
    QuotaDecision try_take(Time now, double units, double sharers);

    /// Ends the reservation of units that were taken: they have been sent.
    void units_sent(double units);

    /// Puts units that were taken but won't be sent back into the bucket.
    void return_units(double units);

    /// Sets the share to 1 / `sharers`. From this call on shares are granted by a planner, which
    /// ensures that they never add up to more than the whole; so a share may also grow again.
    /// @param sharers infinity for no share yet.
    void grant(Time now, double sharers);

    /// @return whether the share is full, nothing of it is reserved and no planner has granted it:
    ///     a new one would be the same.
    bool may_forget(Time now);

    /// Changes the volume's limit.
    void set_limit(Time now, double rate, double burst);

private:
    void refill(Time now, double sharers);

    // Of the whole limit.
    double rate_;
    double burst_;
    // The number of schedulers that share the limit; this scheduler's share is 1 / sharers_.
    double sharers_ = 1;
    double available_units_ = 0;
    // Taken but not yet sent.
    double reserved_units_ = 0;
    Time refilled_at_;
    // Whether grant was called.
    bool granted_ = false;
};

} // namespace knotvane::scheduling
