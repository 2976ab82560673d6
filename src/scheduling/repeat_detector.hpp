/// \file
/// Requests that repeat an earlier one which got no answer.
#pragma once

#include <compare>
#include <map>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// Remembers requests that ended without an answer. A request like one of them is its client's
/// repeat: its latency deadline is still that of the client's first request, also where clients
/// don't mark repeats. The price: requests alike in volume, key, workload and units pass for one.
class RepeatDetector {
public:
    /// The request ended and its client may ask again.
    void record_unanswered(const Request &request);

    /// Sets the deadlines of a request that was just received, and whether it is repeated.
    /// @param clients_mark_repeats then only a request that says so is one.
    void detect_repeat(Request &request, bool clients_mark_repeats);

    /// Forgets requests that no client repeats any more.
    void prune(Time now);

private:
    // What a repeat has in common with its first request.
    struct Likeness {
        VolumeId volume;
        KeyId key;
        WorkloadId workload;
        double units = 0;

        auto operator<=>(const Likeness &) const = default;
    };

    static Likeness likeness(const Request &request);

    // With the latency deadline of the client's first request.
    std::map<Likeness, Time> unanswered_;
};

} // namespace knotvane::scheduling
