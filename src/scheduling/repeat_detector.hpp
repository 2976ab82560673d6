/// \file
/// Detects requests that a client sends again because an earlier one wasn't answered.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// Remembers requests that ended without an answer. A later request with the same signature
/// (volume, key, workload and units) is taken for a repeat by the same client, and its latency
/// deadline stays that of the client's first request, even if clients don't mark repeats. The
/// drawback: different requests with the same signature are taken for one.
class RepeatDetector {
public:
    /// The request ended without an answer, and its client may send it again.
    void record_unanswered(const Request &request);

    /// Sets the latency deadlines of a request that was just received, and its `repeated` flag.
    /// @param clients_mark_repeats only requests that their client marked count as repeats; if
    ///     false, any request may.
    void detect_repeat(Request &request, bool clients_mark_repeats);

    /// Forgets unanswered requests that are too old to be repeated, and the oldest ones if there
    /// are too many.
    void prune(Time now);

    /// @return the number of unanswered requests that are remembered.
    std::size_t size() const { return unanswered_.size(); }

private:
    // What a repeat has in common with the client's first request.
    struct Signature {
        VolumeId volume;
        KeyId key;
        WorkloadId workload;
        double units = 0;

        auto operator<=>(const Signature &) const = default;
    };

    static Signature signature_of(const Request &request);

    void erase_oldest();

    // The latency deadline of the client's first request, by signature.
    std::map<Signature, Time> unanswered_;
    // The same, earliest deadline first.
    std::set<std::pair<Time, Signature>> by_deadline_;
};

} // namespace knotvane::scheduling
