/// \file
/// A volume's limit: this scheduler's share of it, kept as a token bucket.
#pragma once

#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"

namespace knotvane::scheduling {

/// What a volume's quota says to a request.
enum class QuotaDecision {
    admitted,  ///< Its units are taken.
    wait,      ///< Its units will be there later.
    never_fits ///< It has more units than the share holds when full.
};

/// One scheduler's share of one volume's limit: the limit's rate and burst over the schedulers that
/// share it.
///
/// Units taken but not yet sent stay reserved: the bucket never refills past its burst less what is
/// reserved, so that all schedulers together never send more than the limit.
class QuotaShare {
public:
    /// Starts empty: a scheduler that ran here before may just have sent a full burst.
    /// @param rate units per second of the whole limit.
    /// @param burst units of the whole limit.
    QuotaShare(double rate, double burst, Time now);

    /// Takes the units if the share holds them.
    /// @param sharers schedulers that share the limit, as far as the client knows. Until a planner
    ///     grants shares the most that were ever named count: another scheduler may still go by
    ///     them.
    QuotaDecision try_take(Time now, double units, double sharers);

    /// Units that were taken are sent: they are no longer reserved.
    void units_sent(double units);

    /// Units that were taken won't be sent: they are there again.
    void return_units(double units);

    /// From now on a planner grants the share, and sees to it that shares never add past the whole:
    /// so it may grow again, too.
    /// @param sharers infinity for no share yet.
    void grant(Time now, double sharers);

    /// Follows a change of the volume's limit.
    void set_limit(Time now, double rate, double burst);

private:
    void refill(Time now, double sharers);

    double rate_;
    double burst_;
    double sharers_ = 1;
    double level_ = 0;
    double reserved_ = 0;
    Time refilled_at_;
    bool granted_ = false;
};

} // namespace knotvane::scheduling
