/// \file
/// A node's reduced capacity while it warms up, and the overload that crashes it meanwhile.
#pragma once

#include <deque>

#include "common/time.hpp"
#include "node/service_model.hpp"

namespace knotvane::node {

/// The warm-up of one node, from the start of its process.
class SlowStart {
public:
    explicit SlowStart(Time started_at) : started_at_(started_at) {}

    void configure(const SlowStartModel &model) { model_ = model; }

    /// Begins the warm-up again, after a restart of the process.
    void restart(Time now);

    /// The share of its full capacity that the node has now, 0 to 1.
    double capacity(Time now) const;

    /// Counts a request of `units` work units that arrives at `now`.
    /// @return false if the node is still warming up and this request overloads it so that it
    ///     crashes.
    bool survives(Time now, double units, const ServiceModel &service);

private:
    struct Arrival {
        Time at = 0;
        double units = 0;
    };

    bool is_warm(Time now) const {
        return model_.duration <= 0 || now >= started_at_ + model_.duration;
    }

    SlowStartModel model_;
    Time started_at_;
    std::deque<Arrival> arrivals_; // within the overload window, oldest first
};

} // namespace knotvane::node
