/// \file
/// When the scheduler requests the endpoint list.
#pragma once

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/random.hpp"
#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {

/// Decides when to request the endpoint list again, where it comes on request only: when the list
/// is too old, or some time after a request for it failed.
class EndpointListPoll {
public:
    void configure(const EndpointListConfig &config) { config_ = config; }

    /// @return whether the list comes on request; otherwise it is pushed.
    bool on_request() const { return config_.on_request; }

    /// Restarts the list's age and cancels a pending retry: the list was requested, or it arrived.
    void reset_age(Time now) {
        updated_at_ = now;
        retry_at_ = never;
    }

    /// A request for the list failed. Schedules a retry after a delay with jitter, so that the
    /// schedulers don't all retry at the same time and overload the source of the list.
    void request_failed(Time now, RandomGenerator &random);

    /// @return whether to request the list now.
    bool request_due(Time now) const;

    /// @return the earliest time at which request_due() may be true; `never` if there is none.
    Time next_check() const;

private:
    EndpointListConfig config_;
    Time updated_at_ = 0;
    Time retry_at_ = never;
};

} // namespace knotvane::scheduling
