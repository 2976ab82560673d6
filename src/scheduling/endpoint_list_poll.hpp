/// \file
/// When the endpoint list is asked for.
#pragma once

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/never.hpp"
#include "scheduling/random.hpp"

namespace knotvane::scheduling {

/// Asks for the endpoint list again where it comes on request and is too old, or where a request
/// for it failed.
class EndpointListPoll {
public:
    void configure(const EndpointListConfig &config) { config_ = config; }

    bool on_request() const { return config_.on_request; }

    /// The list was asked for, or came.
    void reset_age(Time now) {
        updated_at_ = now;
        retry_at_ = never;
    }

    /// The request for the list failed. It is retried after a delay with jitter, so that schedulers
    /// don't retry in step and keep the list's source busy.
    void request_failed(Time now, RandomGenerator &random);

    /// @return whether to ask for the list now.
    bool request_due(Time now) const;

    /// @return when request_due() may next be true.
    Time next_check() const;

private:
    EndpointListConfig config_;
    Time updated_at_ = 0;
    Time retry_at_ = never;
};

} // namespace knotvane::scheduling
