#include "scheduling/quota_share.hpp"

#include <algorithm>
#include <cmath>

namespace knotvane::scheduling {

QuotaShare::QuotaShare(double rate, double burst, Time now)
    : rate_(rate), burst_(burst), refilled_at_(now) {}

QuotaDecision QuotaShare::try_take(Time now, double units, double sharers) {
    refill(now, granted_ ? sharers_ : std::max(sharers_, sharers));
    if (units > available_units_) {
        // With infinite sharers no share is granted yet: the request waits for the grant.
        bool never_fits = !std::isinf(sharers_) && units > burst_ / sharers_;
        return never_fits ? QuotaDecision::never_fits : QuotaDecision::wait;
    }
    available_units_ -= units;
    reserved_units_ += units;
    return QuotaDecision::admitted;
}

void QuotaShare::units_sent(double units) {
    reserved_units_ -= units;
}

void QuotaShare::return_units(double units) {
    reserved_units_ -= units;
    available_units_ += units;
}

void QuotaShare::grant(Time now, double sharers) {
    // The time until now is credited at the smaller of the old and the new share.
    refill(now, std::max(sharers_, sharers));
    refill(now, sharers);
    granted_ = true;
}

bool QuotaShare::may_forget(Time now) {
    // Adding and subtracting units leaves a rounding error.
    constexpr double negligible = 1e-9;
    refill(now, sharers_);
    return !granted_ && reserved_units_ < negligible &&
           available_units_ > burst_ / sharers_ - negligible;
}

void QuotaShare::set_limit(Time now, double rate, double burst) {
    if (rate == rate_ && burst == burst_)
        return;
    refill(now, sharers_);
    rate_ = rate;
    burst_ = burst;
}

void QuotaShare::refill(Time now, double sharers) {
    sharers_ = sharers;
    available_units_ = std::min(available_units_ + rate_ / sharers_ * seconds(now - refilled_at_),
                                burst_ / sharers_ - reserved_units_);
    refilled_at_ = now;
}

} // namespace knotvane::scheduling
