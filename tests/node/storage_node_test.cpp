// How a storage node queues, rejects, cancels and executes requests.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("storage node") {
    TEST_CASE(
        "requests beyond the slots are queued, and those beyond the queue capacity are rejected") {
        NodeFixture fixture;
        fixture.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 2});
        for (std::uint64_t tag = 1; tag <= 4; ++tag)
            fixture.read(0, fixture.first_connection, tag);
        CHECK(fixture.transport.answers == Answers{{4, Status::rejected}});
        fixture.run_until(30 * ms);
        CHECK(fixture.transport.answers.size() == 4);
        CHECK(fixture.node.served() == 3);
    }

    // A node that has just started gets the load of a warm one. It must be slower at first, and
    // crash if the load exceeds the overload factor of its slow start model.
    TEST_CASE("a node that is warming up takes longer for a request and crashes under overload") {
        NodeFixture fixture;
        fixture.node.set_service_model(
            {.unit_time = 10 * ms, .cores = 1, .slots = 4, .queue_capacity = 1000});
        fixture.node.set_slow_start({.initial_capacity = 0.25,
                                     .duration = 10 * sec,
                                     .overload_window = sec,
                                     .overload_factor = 2});
        fixture.read(0, fixture.first_connection, 1);
        fixture.node.tick(39 * ms);
        CHECK(fixture.transport.answers.empty());
        fixture.node.tick(40 * ms);
        CHECK(fixture.transport.answers.size() == 1);
        for (std::uint64_t tag = 2; tag <= 70; ++tag)
            fixture.read(50 * ms, fixture.first_connection, tag);
        CHECK(fixture.node.has_crashed());
        CHECK_FALSE(fixture.transport.is_listening);
        CHECK(fixture.transport.events.back().find("crashed") != std::string::npos);
    }

    TEST_CASE("a request that is canceled while it is queued is not executed") {
        NodeFixture fixture;
        fixture.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 2});
        fixture.read(0, fixture.first_connection, 1);
        fixture.read(0, fixture.first_connection, 2);
        fixture.request(0, FrameKind::cancel_attempt, 2);
        fixture.run_until(30 * ms);
        CHECK(fixture.transport.answers ==
              Answers{{2, Status::canceled}, {1, Status::ok, std::string(4, '\0')}});
    }

    TEST_CASE(
        "a request for another shard is answered as misdirected, and one before the hello ends "
        "the connection") {
        NodeFixture fixture;
        fixture.request(0, FrameKind::read, 1, ShardId{3});
        CHECK(fixture.transport.answers == Answers{{1, Status::misdirected}});
        ConnectionId connection{9};
        fixture.node.connected(0, connection);
        fixture.read(0, connection, 2);
        CHECK(fixture.transport.closed == std::vector<ConnectionId>{connection});
    }

    // One bit of a frame flips in transmission. Whichever it is, the node must not execute the
    // request.
    TEST_CASE("a request in a frame with a flipped bit is not executed") {
        CHECK(rc::check([](std::uint16_t position, std::uint8_t bit) {
            NodeFixture fixture;
            auto bytes = node_protocol::encode({.kind = FrameKind::write,
                                                .tag = 1,
                                                .volume = test_volume,
                                                .length = 512,
                                                .milliunits = 1000,
                                                .payload = std::string(512, 'x')});
            bytes[position % bytes.size()] ^= static_cast<char>(1 << (bit % 8));
            fixture.node.received(0, fixture.first_connection, bytes);
            RC_ASSERT(fixture.transport.answers.empty());
            // With a changed length the decoder may wait for more bytes.
            fixture.node.received(0, fixture.first_connection, std::string(1 << 17, 'z'));
        }));
    }
}
