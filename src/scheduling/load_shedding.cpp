#include "scheduling/load_shedding.hpp"

#include <cstddef>
#include <set>

#include "scheduling/time_limits.hpp"

namespace knotvane::scheduling {
namespace {

using Positions = std::set<QueuePosition>;

void add_expected_disconnects(Positions &late, const NodeRecord &node, const RequestTable &requests,
                              const EarlyDisconnects &disconnects, Time now) {
    for (VolumeId id : node.queue.waiting_volumes()) {
        const Time limit = disconnects.wait_limit(id, now);
        for (const QueueRank &rank : node.queue.volumes().at(id).requests) {
            const Request &request = requests.at(rank.request);
            if (now + node.latency.expected_duration(request.units) > request.received_at + limit)
                late.insert({id, rank});
        }
    }
}

} // namespace

std::vector<RequestId> requests_to_shed(const NodeRecord &node, const RequestTable &requests,
                                        const EarlyDisconnects &disconnects, Time now) {
    auto expected_duration = [&](double units) { return node.latency.expected_duration(units); };
    Positions late = node.waiting_index.find_late(now, expected_duration);
    if (disconnects.many_recent(now))
        add_expected_disconnects(late, node, requests, disconnects, now);

    const Positions &repeats = node.waiting_index.repeats();
    std::vector<RequestId> result;
    std::size_t late_first_requests = 0;
    for (const QueuePosition &position : late) {
        result.push_back(position.rank.request);
        if (!repeats.contains(position))
            ++late_first_requests;
    }

    bool first_requests_wait = node.waiting_index.first_request_count() > late_first_requests;
    if (!first_requests_wait || !node.window.is_full(node.health.in_flight_not_overdue()))
        return result;
    for (const QueuePosition &position : repeats)
        if (!late.contains(position))
            result.push_back(position.rank.request);
    return result;
}

} // namespace knotvane::scheduling
