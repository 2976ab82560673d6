// How a storage node queues, rejects, cancels and executes requests.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fixture.hpp"

using namespace knotvane;
using namespace knotvane::node;

TEST_SUITE("storage node") {
    TEST_CASE("it executes some at once, queues others, and rejects what finds no room") {
        NodeFixture f;
        f.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 2});
        for (std::uint64_t tag = 1; tag <= 4; ++tag)
            f.read(0, f.a, tag);
        CHECK(f.transport.answers == Answers{{4, Status::rejected}});
        f.run_until(30 * ms);
        CHECK(f.transport.answers.size() == 4);
        CHECK(f.node.served() == 3);
    }

    // A node that has just started gets the load of a warm one. It must take longer at first, and
    // crash if it gets more than its model survives.
    TEST_CASE("a node that warms up takes longer, and crashes under overload") {
        NodeFixture f;
        f.node.set_service_model(
            {.unit_time = 10 * ms, .cores = 1, .slots = 4, .queue_capacity = 1000});
        f.node.set_slow_start({.initial_capacity = 0.25,
                               .duration = 10 * sec,
                               .overload_window = sec,
                               .overload_factor = 2});
        f.read(0, f.a, 1);
        f.node.tick(39 * ms);
        CHECK(f.transport.answers.empty());
        f.node.tick(40 * ms);
        CHECK(f.transport.answers.size() == 1);
        for (std::uint64_t tag = 2; tag <= 70; ++tag)
            f.read(50 * ms, f.a, tag);
        CHECK(f.node.has_crashed());
        CHECK_FALSE(f.transport.is_listening);
        CHECK(f.transport.events.back().find("crashed") != std::string::npos);
    }

    TEST_CASE("a request that is canceled while it is queued is not executed") {
        NodeFixture f;
        f.node.set_service_model({.unit_time = 10 * ms, .queue_capacity = 2});
        f.read(0, f.a, 1);
        f.read(0, f.a, 2);
        f.request(0, FrameKind::cancel_attempt, 2);
        f.run_until(30 * ms);
        CHECK(f.transport.answers ==
              Answers{{2, Status::canceled}, {1, Status::ok, std::string(4, '\0')}});
    }

    TEST_CASE("a request for another shard is misdirected, one before the hello ends the "
              "connection") {
        NodeFixture f;
        f.request(0, FrameKind::read, 1, ShardId{3});
        CHECK(f.transport.answers == Answers{{1, Status::misdirected}});
        ConnectionId silent{9};
        f.node.connected(0, silent);
        f.read(0, silent, 2);
        CHECK(f.transport.closed == std::vector<ConnectionId>{silent});
    }

    // A bit of a frame flips on the way. Whatever it hits, the node must not execute the request.
    TEST_CASE("bytes that are no frames are not executed") {
        CHECK(rc::check([](std::uint16_t at, std::uint8_t bit) {
            NodeFixture f;
            auto bytes = node_protocol::encode({.kind = FrameKind::write,
                                                .tag = 1,
                                                .volume = test_volume,
                                                .length = 512,
                                                .milliunits = 1000,
                                                .payload = std::string(512, 'x')});
            bytes[at % bytes.size()] ^= static_cast<char>(1 << (bit % 8));
            f.node.received(0, f.a, bytes);
            RC_ASSERT(f.transport.answers.empty());
            // A changed length may wait for more.
            f.node.received(0, f.a, std::string(1 << 17, 'z'));
        }));
    }
}
