#include "scheduling/repeat_detector.hpp"

#include <algorithm>
#include <cstddef>

namespace knotvane::scheduling {
namespace {

// Past the longest Retry-After that clients keep to, and their own pauses.
constexpr Time longest_repeat_pause = 4 * sec;

// With fewer entries there is nothing to gain from a look at all of them.
constexpr std::size_t prune_above = 4096;

} // namespace

void RepeatDetector::record_unanswered(const Request &request) {
    unanswered_[likeness(request)] = request.first_latency_deadline;
}

void RepeatDetector::detect_repeat(Request &request, bool clients_mark_repeats) {
    request.first_latency_deadline = request.latency_deadline;
    auto earlier = unanswered_.extract(likeness(request));
    if (!earlier || request.key == no_key || request.repeated != clients_mark_repeats)
        return;
    request.first_latency_deadline = std::min(earlier.mapped(), request.latency_deadline);
    request.repeated = request.first_latency_deadline <= request.received_at;
    if (!request.repeated)
        request.latency_deadline = request.first_latency_deadline;
}

void RepeatDetector::prune(Time now) {
    if (unanswered_.size() > prune_above)
        std::erase_if(unanswered_,
                      [&](const auto &entry) { return entry.second < now - longest_repeat_pause; });
}

RepeatDetector::Likeness RepeatDetector::likeness(const Request &request) {
    return {request.volume, request.key, request.workload, request.units};
}

} // namespace knotvane::scheduling
