#include "scheduling/waiting_index.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include <set>

namespace knotvane::scheduling {
namespace {

QueuePosition position(std::uint64_t volume, std::uint64_t request, Time latency_deadline) {
    return {VolumeId{volume}, {0, latency_deadline, RequestId{request}}};
}

TEST_CASE("a request is late if the time expected for its units ends after its deadline") {
    WaitingIndex waiting;
    QueuePosition small = position(1, 1, 100 * ms);
    QueuePosition large = position(2, 2, 100 * ms);
    QueuePosition large_later = position(1, 3, 150 * ms);
    waiting.add(1, false, small);
    waiting.add(8, false, large);
    waiting.add(8, false, large_later);
    auto expected = [](double units) { return static_cast<Time>(units) * 10 * ms; };
    CHECK(waiting.find_late(20 * ms, expected).empty());
    CHECK(waiting.find_late(20 * ms + 1, expected) == std::set<QueuePosition>{large});
    CHECK(waiting.find_late(90 * ms + 1, expected) ==
          std::set<QueuePosition>{small, large_later, large});
    waiting.remove(8, large);
    CHECK(waiting.find_late(20 * ms + 1, expected).empty());
}

TEST_CASE("repeats are counted separately from first requests") {
    WaitingIndex waiting;
    QueuePosition first = position(1, 1, 100 * ms);
    QueuePosition repeat = position(1, 2, 100 * ms);
    waiting.add(1, false, first);
    waiting.add(1, true, repeat);
    CHECK(waiting.first_request_count() == 1);
    CHECK(waiting.repeats() == std::set<QueuePosition>{repeat});
    waiting.remove(1, repeat);
    CHECK(waiting.repeats().empty());
    CHECK(waiting.first_request_count() == 1);
}

} // namespace
} // namespace knotvane::scheduling
