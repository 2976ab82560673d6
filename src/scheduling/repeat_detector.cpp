#include "scheduling/repeat_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace knotvane::scheduling {
namespace {

// How long after the first request's latency deadline a repeat may come: longer than the longest
// Retry-After that clients obey, and than the pauses that clients make on their own.
constexpr Time max_repeat_delay = 4 * sec;

// Old entries are kept up to this number of them.
constexpr std::size_t max_entries_unpruned = 4096;

// More aren't kept, even of requests that may still be repeated: clients may name any number of
// volumes and keys.
constexpr std::size_t max_entries = 4 * max_entries_unpruned;

} // namespace

void RepeatDetector::record_unanswered(const Request &request) {
    const Signature signature = signature_of(request);
    const Time deadline = request.first_latency_deadline;
    auto [entry, is_new] = unanswered_.try_emplace(signature, deadline);
    if (!is_new)
        by_deadline_.erase({entry->second, signature});
    entry->second = deadline;
    by_deadline_.insert({deadline, signature});
}

void RepeatDetector::detect_repeat(Request &request, bool clients_mark_repeats) {
    request.first_latency_deadline = request.latency_deadline;
    auto earlier = unanswered_.extract(signature_of(request));
    if (earlier)
        by_deadline_.erase({earlier.mapped(), earlier.key()});
    if (!earlier || request.key == no_key || request.repeated != clients_mark_repeats)
        return;
    request.first_latency_deadline = std::min(earlier.mapped(), request.latency_deadline);
    request.repeated = request.first_latency_deadline <= request.received_at;
    if (!request.repeated)
        request.latency_deadline = request.first_latency_deadline;
}

void RepeatDetector::prune(Time now) {
    if (unanswered_.size() <= max_entries_unpruned)
        return;
    while (!by_deadline_.empty() && (by_deadline_.begin()->first < now - max_repeat_delay ||
                                     unanswered_.size() > max_entries))
        erase_oldest();
}

void RepeatDetector::erase_oldest() {
    unanswered_.erase(by_deadline_.begin()->second);
    by_deadline_.erase(by_deadline_.begin());
}

RepeatDetector::Signature RepeatDetector::signature_of(const Request &request) {
    return {request.volume, request.key, request.workload, request.units};
}

} // namespace knotvane::scheduling
