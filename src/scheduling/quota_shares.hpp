/// \file
/// This scheduler's shares of the limits of volumes.
#pragma once

#include <cstddef>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/least_recently_used.hpp"
#include "scheduling/quota_share.hpp"

namespace knotvane::scheduling {

/// Quota shares by volume. Clients may name any number of volumes, so a share is forgotten if it is
/// the one that was used longest ago and a new one would be equal to it.
class QuotaShares {
public:
    /// The number of shares from which on they are forgotten.
    static constexpr std::size_t max_idle = 4096;
    /// The most shares. A volume that has none then waits: a share that isn't full must not be
    /// forgotten, or its volume would get its burst again.
    static constexpr std::size_t max_shares = 4 * max_idle;

    /// @param started_at when the bucket of a new share was empty.
    /// @return the volume's share; null if there is none and no more may be added.
    QuotaShare *find_or_add(Time now, VolumeId volume, double rate, double burst, Time started_at);

    /// @return the share of a volume that has one.
    QuotaShare &at(VolumeId volume) { return shares_.at(volume); }

private:
    void forget_full(Time now);

    std::map<VolumeId, QuotaShare> shares_;
    LeastRecentlyUsed<VolumeId> uses_;
};

} // namespace knotvane::scheduling
