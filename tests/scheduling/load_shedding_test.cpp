#include "scheduling/load_shedding.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a waiting request that can't be answered in time any more is given up immediately") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0);
    for (std::uint64_t i = 1; i < 10; ++i)
        fixture.receive(0, i);
    fixture.scheduler->settle(0);
    fixture.scheduler->settle(501 * ms);
    CHECK(fixture.actions.count("reject") == 7); // two of nine are in flight, the rest wait
}

// If repeats were always given up, a node for which only repeats wait would be idle.
TEST_CASE("repeats are given up only while first requests wait and the window is full") {
    constexpr Time far = 3600 * sec;
    const QueuePosition repeat = {VolumeId{1}, {0, far, RequestId{1}}};
    const QueuePosition first = {VolumeId{1}, {0, far, RequestId{2}}};
    NodeRecord node(NodeId{1}, 1, 8); // a window of four
    node.waiting_index.add(1, true, repeat);
    for (std::uint64_t i = 10; i < 13; ++i)
        node.health.attempt_started({0, RequestId{i}, AttemptId{0}});
    auto shed = [&] { return requests_to_shed(node, RequestTable(), EarlyDisconnects(), 0); };
    node.waiting_index.add(1, false, first);
    CHECK(shed().empty()); // three in flight
    node.health.attempt_started({0, RequestId{13}, AttemptId{0}});
    CHECK(shed() == std::vector<RequestId>{RequestId{1}});
    node.waiting_index.remove(1, first);
    CHECK(shed().empty());
}

} // namespace
} // namespace knotvane::scheduling
