#include "scheduling/placement.hpp"

#include <doctest/doctest.h>

#include <cstdint>

#include "scheduler_fixture.hpp"

namespace knotvane::scheduling {
namespace {

TEST_CASE("a request for a new object goes to a node that is ready") {
    SchedulerFixture fixture;
    fixture.list_endpoints(0, NodeState::draining);
    fixture.receive(0, 1, -1);
    fixture.scheduler->settle(0);
    CHECK(fixture.actions.count("start 1 2") == 1);
}

NodeRecord node_of(std::uint64_t id, std::int32_t shard, Time started_at = 0) {
    NodeRecord node(NodeId{id}, 1, 8);
    node.location.shard = ShardId{shard};
    node.started_at = started_at;
    return node;
}

TEST_CASE("of two nodes with the same shard, the one that started last holds it") {
    NodeRecord older = node_of(1, 5, sec);
    NodeRecord newer = node_of(2, 5, 2 * sec);
    RandomGenerator random(1);
    Placement placement;
    placement.add(newer);
    placement.add(older);
    CHECK(placement.choose_node(ShardId{5}, 0, random) == &newer);
    CHECK(placement.choose_node(ShardId{6}, 0, random) == nullptr);
}

TEST_CASE("without a ready node no node is chosen, and no random number is drawn") {
    RandomGenerator random(1);
    RandomGenerator unused(1);
    CHECK(Placement().choose_node(no_shard, 0, random) == nullptr);
    CHECK(random == unused);
}

TEST_CASE(
    "a new object goes to the cheaper of two random nodes, and two random numbers are drawn") {
    NodeRecord cheap = node_of(1, 1);
    NodeRecord costly = node_of(2, 2);
    for (NodeRecord *node : {&cheap, &costly})
        node->latency.add_answer(0, 1, 100 * ms);
    cheap.latency.update(0, 0.1);
    costly.latency.update(0, 0.1);
    costly.units_waiting = 8;
    Placement placement;
    placement.add(cheap);
    placement.add(costly);
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        RandomGenerator random(seed);
        RandomGenerator draws(seed);
        bool first_is_cheap = draws() % 2 == 0;
        bool second_is_cheap = draws() % 2 == 0;
        NodeRecord *expected = first_is_cheap || second_is_cheap ? &cheap : &costly;
        CHECK(placement.choose_node(no_shard, 0, random) == expected);
        CHECK(random == draws);
    }
}

TEST_CASE("a node in slow start costs more than a long queue, and an unresponsive node even more") {
    NodeRecord queued = node_of(1, 1);
    queued.units_waiting = 1000;
    queued.units_in_flight = 100;
    queued.latency.add_answer(0, 1, 10 * ms);
    queued.latency.update(10 * sec, 0.5); // half a second per unit, and no wait
    CHECK(placement_cost(queued, 0) == doctest::Approx(1101 * 0.5));
    NodeRecord starting = node_of(2, 2);
    starting.slow_start.ends_at = sec;
    NodeRecord unresponsive = node_of(3, 3);
    unresponsive.health.attempt_unreachable(0);
    unresponsive.health.attempt_unreachable(0);
    CHECK(placement_cost(starting, 0) > placement_cost(queued, 0));
    CHECK(placement_cost(unresponsive, 0) > placement_cost(starting, 0));
    CHECK(placement_cost(starting, sec) < placement_cost(queued, sec));
}

} // namespace
} // namespace knotvane::scheduling
