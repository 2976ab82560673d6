#include "scheduling/quota_shares.hpp"

namespace knotvane::scheduling {

QuotaShare *QuotaShares::find_or_add(Time now, VolumeId volume, double rate, double burst,
                                     Time started_at) {
    auto it = shares_.find(volume);
    if (it == shares_.end()) {
        forget_full(now);
        if (shares_.size() >= max_shares)
            return nullptr;
        it = shares_.try_emplace(volume, rate, burst, started_at).first;
    }
    uses_.use(volume);
    return &it->second;
}

void QuotaShares::forget_full(Time now) {
    // Two at most, so that their number falls and each call takes a short time.
    for (int i = 0; i < 2 && shares_.size() >= max_idle; ++i) {
        const VolumeId oldest = uses_.oldest();
        uses_.remove_oldest();
        if (shares_.at(oldest).may_forget(now))
            shares_.erase(oldest);
        else
            uses_.use(oldest);
    }
}

} // namespace knotvane::scheduling
