// When to try a connection again: later after each failure, by chance, so that many that lose one
// peer together do not come back together.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>

#include "common/time.hpp"

namespace knotvane {

class ReconnectBackoff {
public:
    // The first try after a loss comes within `first`; each failure doubles that, up to `longest`.
    ReconnectBackoff(Time first, Time longest, std::uint64_t seed)
        : first_(first), longest_(longest),
          chance_(static_cast<std::ranlux24_base::result_type>(seed)) {}
    // Tried from `now` on: up, or taken for failed after `give_up`.
    void trying(Time now, Time give_up) { due_ = now + give_up, trying_ = true; }
    void up() { trying_ = false, failures_ = 0, due_ = never; }
    // `least`: failures that it counts as at least, where coming back soon would be of no use.
    void lost(Time now, std::uint32_t least = 0) {
        failures_ = std::max(failures_, least);
        auto most = std::min(longest_, first_ << std::min<std::uint32_t>(failures_++, 8));
        // Two draws: one of this generator's has 24 bits, which are 17 milliseconds.
        auto drawn = static_cast<std::uint64_t>(chance_()) << 24 | chance_();
        due_ = now + static_cast<Time>(drawn % static_cast<std::uint64_t>(most)), trying_ = false;
    }
    void at_once(Time now) { due_ = now, trying_ = false; }
    // When to try, or to give a try up; never while up.
    Time due() const { return due_; }
    bool trying() const { return trying_; }

private:
    static constexpr Time never = std::numeric_limits<Time>::max();
    Time first_, longest_, due_ = never;
    std::uint32_t failures_ = 0;
    bool trying_ = false;
    std::ranlux24_base chance_;
};

} // namespace knotvane
