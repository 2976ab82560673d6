#include "scheduling/volume_retention.hpp"

#include <doctest/doctest.h>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

constexpr NodeId node_id{1};
constexpr VolumeId first_volume{1};

/// A node at which volumes have requests, one after the other.
class ServedNode {
public:
    ServedNode() {
        SchedulerConfig config;
        config.scheduler_count = 1;
        config.units.largest = 8;
        slow_start_.configure(config);
        nodes_.begin_list(EndpointListKind::full);
        Endpoint endpoint;
        endpoint.node = node_id;
        endpoint.state = NodeState::ready;
        nodes_.apply_endpoint(endpoint, 0, config, slow_start_);
        nodes_.end_list(0);
    }

    FairQueue &queue() { return nodes_.at(node_id).queue; }

    /// Queues a request of the volume and sends it; its attempt stays in flight.
    void send(VolumeId volume) {
        const QueueRank request = enqueue(volume);
        while (queue().select(0) != volume)
            queue().end_exhausted_service(0);
        queue().request_sent(request, 1, 1);
        queue().end_exhausted_service(0);
    }

    QueueRank enqueue(VolumeId volume) {
        const QueueRank request{0, 0, RequestId{++requests_}};
        queue().enqueue(volume, 1, request);
        requested_units_[volume].add(0, 1);
        retention_.used(node_id, volume, nodes_, requested_units_);
        return request;
    }

    void serve(VolumeId volume) {
        send(volume);
        queue().attempt_ended(volume);
    }

    std::size_t requested_count() const { return requested_units_.size(); }

private:
    NodeTable nodes_;
    SlowStart slow_start_;
    std::map<VolumeId, WindowedSum> requested_units_;
    VolumeRetention retention_;
    std::uint64_t requests_ = 0;
};

// Guards against memory that grows with each volume that clients ever named (issue 48).
TEST_CASE("of any number of idle volumes those that were used last are kept") {
    ServedNode node;
    constexpr std::size_t count = 2 * VolumeRetention::max_idle;
    for (std::uint64_t volume = 1; volume <= count; ++volume)
        node.serve(VolumeId{volume});
    CHECK(node.queue().volumes().size() == VolumeRetention::max_idle);
    CHECK(node.requested_count() == VolumeRetention::max_idle);
    CHECK(node.queue().volumes().contains(VolumeId{count}));
    CHECK(!node.queue().volumes().contains(first_volume));
}

TEST_CASE("a volume that is used again and again keeps its state") {
    ServedNode node;
    for (std::uint64_t volume = 2; volume <= 2 * VolumeRetention::max_idle; ++volume) {
        node.serve(first_volume);
        node.serve(VolumeId{volume});
    }
    CHECK(node.queue().volumes().at(first_volume).finish_tag > 1);
}

TEST_CASE("a volume with a request waiting or an attempt in flight keeps its state") {
    for (bool waits : {false, true}) {
        ServedNode node;
        waits ? (void)node.enqueue(first_volume) : node.send(first_volume);
        for (std::uint64_t volume = 2; volume <= 2 * VolumeRetention::max_idle; ++volume) {
            const QueueRank request = node.enqueue(VolumeId{volume});
            node.queue().remove(VolumeId{volume}, request);
        }
        CHECK(node.queue().volumes().contains(first_volume));
        CHECK(node.queue().volumes().size() <= VolumeRetention::max_idle + 1);
    }
}

} // namespace
} // namespace knotvane::scheduling
