// The stand-in node: its store, its marks, how it serves, and each of its faults.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::node;
using Lines = std::vector<std::string>;

TEST_SUITE("node and late copies") {
    TEST_CASE("within the window the mark drops a first copy that comes after its twin and a later "
              "write") {
        Rig r;
        r.write(1 * sec, r.b, 2, 77, 3 * sec, 'x'); // the second copy, on another connection
        r.write(1 * sec, r.b, 3, 78, 3 * sec, 'y'); // the later write
        r.write(2 * sec, r.a, 1, 77, 3 * sec, 'x'); // the first copy, delayed
        r.read(2 * sec, r.a, 4);
        CHECK(r.told.answers == Lines{"2 0 ", "3 0 ", "1 0 ", "4 0 yyyy"});
    }
    TEST_CASE("past the window the not-after time refuses it") {
        Rig r;
        r.write(1 * sec, r.b, 2, 77, 3 * sec, 'x');
        r.write(2 * sec, r.b, 3, 78, 4 * sec, 'y');
        r.write(3 * sec + 1, r.a, 1, 77, 3 * sec, 'x');
        r.read(4 * sec, r.a, 4);
        CHECK(r.told.answers == Lines{"2 0 ", "3 0 ", "1 3 ", "4 0 yyyy"});
    }
    TEST_CASE("a copy that waited at the node past its time is not done either") {
        Rig r;
        r.node.set_service_model({100 * ms, 1, 1, 10});
        r.write(0, r.a, 1, 1, 10 * sec, 'a');
        r.write(0, r.a, 2, 2, 150 * ms, 'b');
        for (Time t = 0; t < sec; t += 10 * ms)
            r.node.tick(t);
        CHECK(r.told.answers == Lines{"1 0 ", "2 3 "});
    }
    TEST_CASE(
        "after a restart the marks still drop a copy; nothing comes from connections of before") {
        Rig r;
        r.write(1 * sec, r.b, 2, 77, 9 * sec, 'x');
        r.write(1 * sec, r.b, 3, 78, 9 * sec, 'y');
        r.node.restart(2 * sec, false);
        r.write(2 * sec, r.a, 1, 77, 9 * sec, 'x'); // a connection of the life before: not heard
        r.node.connected(2 * sec, ConnectionId{3});
        r.node.received(2 * sec, ConnectionId{3},
                        node_protocol::encode({.kind = node_protocol::FrameKind::hello,
                                               .volume = VolumeId{1},
                                               .incarnation = 1}));
        r.write(3 * sec, ConnectionId{3}, 5, 77, 9 * sec, 'x');
        r.read(3 * sec, ConnectionId{3}, 6);
        CHECK(r.told.answers == Lines{"2 0 ", "3 0 ", "5 0 ", "6 0 yyyy"});
    }
}

TEST_SUITE("node") {
    TEST_CASE("it serves some at once, queues others, and turns away what finds no room") {
        Rig r;
        r.node.set_service_model({10 * ms, 1, 1, 2});
        for (std::uint64_t tag = 1; tag <= 4; ++tag)
            r.read(0, r.a, tag);
        CHECK(r.told.answers == Lines{"4 2 "});
        for (Time t = 0; t <= 30 * ms; t += ms)
            r.node.tick(t);
        CHECK(r.told.answers.size() == 4);
        CHECK(r.node.served() == 3);
    }
    TEST_CASE("a cold node takes longer, and falls over when it is sent more than it bears") {
        Rig r;
        r.node.set_service_model({10 * ms, 1, 4, 1000});
        r.node.set_slow_start({0.25, 10 * sec, sec, 2});
        r.read(0, r.a, 1);
        r.node.tick(39 * ms);
        CHECK(r.told.answers.empty());
        r.node.tick(40 * ms);
        CHECK(r.told.answers.size() == 1);
        for (std::uint64_t tag = 2; tag <= 70; ++tag)
            r.read(50 * ms, r.a, tag);
        CHECK(r.node.has_crashed());
        CHECK_FALSE(r.told.open);
        CHECK(r.told.said.back().find("crashed") != std::string::npos);
    }
    TEST_CASE("work called off while it waits is not done") {
        Rig r;
        r.node.set_service_model({10 * ms, 1, 1, 2});
        r.read(0, r.a, 1);
        r.read(0, r.a, 2);
        r.ask(0, node_protocol::FrameKind::cancel_attempt, 2);
        for (Time t = 0; t <= 30 * ms; t += ms)
            r.node.tick(t);
        CHECK(r.told.answers == Lines{"2 6 ", std::string("1 0 ") + std::string(4, '\0')});
    }
    TEST_CASE("an ask for another shard is answered as misdirected, one before the hello ends the "
              "connection") {
        Rig r;
        r.ask(0, node_protocol::FrameKind::read, 1, ShardId{3});
        CHECK(r.told.answers == Lines{"1 5 "});
        r.node.connected(0, ConnectionId{9});
        r.read(0, ConnectionId{9}, 2);
        CHECK(r.told.closed == std::vector<ConnectionId>{ConnectionId{9}});
    }
    TEST_CASE("each fault does what it is named for, for as many as it was told") {
        auto served = [](FaultKind f, double size = 0) {
            Rig r;
            r.write(0, r.b, 1, 0, 0, 'a');
            r.told.answers.clear();
            r.node.inject_fault({f, 0, sec, 1, size});
            r.read(1, r.a, 2);
            r.read(2, r.b, 3);
            return r.told.answers;
        };
        CHECK(served(FaultKind::go_silent) == Lines{"3 0 aaaa"});
        CHECK(served(FaultKind::truncate_answer) == Lines{"3 0 aaaa"});
        CHECK(served(FaultKind::reset_connection) == Lines{"3 0 aaaa"});
        CHECK(served(FaultKind::corrupt_answer) == Lines{"3 0 aaaa"}); // its checksum gives it away
        CHECK(served(FaultKind::delay_answer, 0.5) == Lines{"3 0 aaaa"});
        CHECK(served(FaultKind::reject_requests) == Lines{"2 2 ", "3 0 aaaa"});
        CHECK(served(FaultKind::fail_requests) == Lines{"2 1 ", "3 0 aaaa"});
        CHECK(served(FaultKind::corrupt_block) == Lines{"2 4 ", "3 4 "});
    }
    TEST_CASE("a hang starts nothing until it ends, refusing takes no connection") {
        Rig r;
        r.node.inject_fault({FaultKind::hang, 0, sec, 0, 0});
        r.read(1, r.a, 2);
        CHECK(r.told.answers.empty());
        CHECK(r.node.next_due() == sec);
        r.node.tick(sec);
        CHECK(r.told.answers.size() == 1);
        r.node.inject_fault({FaultKind::refuse_connections, 2 * sec, 3 * sec, 0, 0});
        r.node.tick(2 * sec);
        CHECK(r.told.closed.size() == 2);
        r.node.connected(2 * sec, ConnectionId{9});
        CHECK(r.told.closed.size() == 3);
    }
    TEST_CASE("a slow node takes the factor longer; late answers come in the end") {
        Rig r;
        r.node.set_service_model({10 * ms, 1, 1, 5});
        r.node.inject_fault({FaultKind::slow, 0, sec, 0, 3});
        r.read(0, r.a, 1);
        CHECK(r.node.next_due() == 30 * ms);
        r.node.tick(30 * ms);
        r.node.inject_fault({FaultKind::delay_answer, 0, sec, 0, 0.5});
        r.read(40 * ms, r.a, 2);
        r.node.tick(70 * ms);
        CHECK(r.told.answers.size() == 1);
        r.node.tick(570 * ms);
        CHECK(r.told.answers.size() == 2);
    }
    TEST_CASE("bytes that are no frames end their connection with a reason") {
        CHECK(rc::check([](std::uint16_t at, std::uint8_t bit) {
            Rig r;
            auto f = node_protocol::encode({.kind = node_protocol::FrameKind::write,
                                            .tag = 1,
                                            .volume = VolumeId{5},
                                            .length = 512,
                                            .milliunits = 1000,
                                            .payload = std::string(512, 'x')});
            f[at % f.size()] ^= static_cast<char>(1 << (bit % 8));
            r.node.received(0, r.a, f);
            RC_ASSERT(r.told.answers.empty());
            r.node.received(0, r.a,
                            std::string(1 << 17, 'z')); // a changed length may wait for more
        }));
    }
}
