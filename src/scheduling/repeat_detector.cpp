#include "scheduling/repeat_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace knotvane::scheduling {
namespace {

// How long after the first request's latency deadline a repeat may come: longer than the longest
// Retry-After that clients obey, and than the pauses that clients make on their own.
constexpr Time max_repeat_delay = 4 * sec;

// Up to this number of entries, scanning all of them for old ones isn't worth the time.
constexpr std::size_t max_entries_unpruned = 4096;

} // namespace

void RepeatDetector::record_unanswered(const Request &request) {
    unanswered_[signature_of(request)] = request.first_latency_deadline;
}

void RepeatDetector::detect_repeat(Request &request, bool clients_mark_repeats) {
    request.first_latency_deadline = request.latency_deadline;
    auto earlier = unanswered_.extract(signature_of(request));
    if (!earlier || request.key == no_key || request.repeated != clients_mark_repeats)
        return;
    request.first_latency_deadline = std::min(earlier.mapped(), request.latency_deadline);
    request.repeated = request.first_latency_deadline <= request.received_at;
    if (!request.repeated)
        request.latency_deadline = request.first_latency_deadline;
}

void RepeatDetector::prune(Time now) {
    if (unanswered_.size() > max_entries_unpruned)
        std::erase_if(unanswered_,
                      [&](const auto &entry) { return entry.second < now - max_repeat_delay; });
}

RepeatDetector::Signature RepeatDetector::signature_of(const Request &request) {
    return {request.volume, request.key, request.workload, request.units};
}

} // namespace knotvane::scheduling
