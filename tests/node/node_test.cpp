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
        r.disk.set_speed(100 * ms, 1, 1, 10);
        r.write(0, r.a, 1, 1, 10 * sec, 'a');
        r.write(0, r.a, 2, 2, 150 * ms, 'b');
        for (Time t = 0; t < sec; t += 10 * ms)
            r.disk.tick(t);
        CHECK(r.told.answers == Lines{"1 0 ", "2 3 "});
    }
    TEST_CASE(
        "after a restart the marks still drop a copy; nothing comes from connections of before") {
        Rig r;
        r.write(1 * sec, r.b, 2, 77, 9 * sec, 'x');
        r.write(1 * sec, r.b, 3, 78, 9 * sec, 'y');
        r.disk.restart(2 * sec, false);
        r.write(2 * sec, r.a, 1, 77, 9 * sec, 'x'); // a connection of the life before: not heard
        r.disk.came(2 * sec, ConnId{3});
        r.disk.bytes(2 * sec, ConnId{3},
                     node_protocol::make(node_protocol::Kind::hello, 0, {}, 0, VolumeId{1}, 0, 0, 0,
                                         1, 0, 0, ShardId{0}, {}));
        r.write(3 * sec, ConnId{3}, 5, 77, 9 * sec, 'x');
        r.read(3 * sec, ConnId{3}, 6);
        CHECK(r.told.answers == Lines{"2 0 ", "3 0 ", "5 0 ", "6 0 yyyy"});
    }
}

TEST_SUITE("node") {
    TEST_CASE("it serves some at once, queues others, and turns away what finds no room") {
        Rig r;
        r.disk.set_speed(10 * ms, 1, 1, 2);
        for (std::uint64_t tag = 1; tag <= 4; ++tag)
            r.read(0, r.a, tag);
        CHECK(r.told.answers == Lines{"4 2 "});
        for (Time t = 0; t <= 30 * ms; t += ms)
            r.disk.tick(t);
        CHECK(r.told.answers.size() == 4);
        CHECK(r.disk.served() == 3);
    }
    TEST_CASE("a cold node takes longer, and falls over when it is sent more than it bears") {
        Rig r;
        r.disk.set_speed(10 * ms, 1, 4, 1000);
        r.disk.set_cold(0.25, 10 * sec, sec, 2);
        r.read(0, r.a, 1);
        r.disk.tick(39 * ms);
        CHECK(r.told.answers.empty());
        r.disk.tick(40 * ms);
        CHECK(r.told.answers.size() == 1);
        for (std::uint64_t tag = 2; tag <= 70; ++tag)
            r.read(50 * ms, r.a, tag);
        CHECK(r.disk.fallen());
        CHECK_FALSE(r.told.open);
        CHECK(r.told.said.back().find("fell over") != std::string::npos);
    }
    TEST_CASE("work called off while it waits is not done") {
        Rig r;
        r.disk.set_speed(10 * ms, 1, 1, 2);
        r.read(0, r.a, 1);
        r.read(0, r.a, 2);
        r.ask(0, node_protocol::Kind::cancel_attempt, 2);
        for (Time t = 0; t <= 30 * ms; t += ms)
            r.disk.tick(t);
        CHECK(r.told.answers == Lines{"2 6 ", std::string("1 0 ") + std::string(4, '\0')});
    }
    TEST_CASE("an ask for another shard is answered as misdirected, one before the hello ends the "
              "connection") {
        Rig r;
        r.ask(0, node_protocol::Kind::read, 1, ShardId{3});
        CHECK(r.told.answers == Lines{"1 5 "});
        r.disk.came(0, ConnId{9});
        r.read(0, ConnId{9}, 2);
        CHECK(r.told.closed == std::vector<ConnId>{ConnId{9}});
    }
    TEST_CASE("each fault does what it is named for, for as many as it was told") {
        auto served = [](Fault f, double size = 0) {
            Rig r;
            r.write(0, r.b, 1, 0, 0, 'a');
            r.told.answers.clear();
            r.disk.fault(f, 0, sec, 1, size);
            r.read(1, r.a, 2);
            r.read(2, r.b, 3);
            return r.told.answers;
        };
        CHECK(served(Fault::mute) == Lines{"3 0 aaaa"});
        CHECK(served(Fault::cut) == Lines{"3 0 aaaa"});
        CHECK(served(Fault::reset) == Lines{"3 0 aaaa"});
        CHECK(served(Fault::garble) == Lines{"3 0 aaaa"}); // its checksum gives it away
        CHECK(served(Fault::late, 0.5) == Lines{"3 0 aaaa"});
        CHECK(served(Fault::full) == Lines{"2 2 ", "3 0 aaaa"});
        CHECK(served(Fault::fail) == Lines{"2 1 ", "3 0 aaaa"});
        CHECK(served(Fault::rot) == Lines{"2 4 ", "3 4 "});
    }
    TEST_CASE("a hang starts nothing until it ends, refusing takes no connection") {
        Rig r;
        r.disk.fault(Fault::hang, 0, sec, 0, 0);
        r.read(1, r.a, 2);
        CHECK(r.told.answers.empty());
        CHECK(r.disk.next_due() == sec);
        r.disk.tick(sec);
        CHECK(r.told.answers.size() == 1);
        r.disk.fault(Fault::refuse, 2 * sec, 3 * sec, 0, 0);
        r.disk.tick(2 * sec);
        CHECK(r.told.closed.size() == 2);
        r.disk.came(2 * sec, ConnId{9});
        CHECK(r.told.closed.size() == 3);
    }
    TEST_CASE("a slow node takes the factor longer; late answers come in the end") {
        Rig r;
        r.disk.set_speed(10 * ms, 1, 1, 5);
        r.disk.fault(Fault::slow, 0, sec, 0, 3);
        r.read(0, r.a, 1);
        CHECK(r.disk.next_due() == 30 * ms);
        r.disk.tick(30 * ms);
        r.disk.fault(Fault::late, 0, sec, 0, 0.5);
        r.read(40 * ms, r.a, 2);
        r.disk.tick(70 * ms);
        CHECK(r.told.answers.size() == 1);
        r.disk.tick(570 * ms);
        CHECK(r.told.answers.size() == 2);
    }
    TEST_CASE("bytes that are no frames end their connection with a reason") {
        CHECK(rc::check([](std::uint16_t at, std::uint8_t bit) {
            Rig r;
            auto f = node_protocol::make(node_protocol::Kind::write, 0, {}, 1, VolumeId{5}, 0, 512,
                                         1000, 0, 0, 0, ShardId{0}, std::string(512, 'x'));
            f[at % f.size()] ^= static_cast<char>(1 << (bit % 8));
            r.disk.bytes(0, r.a, f);
            RC_ASSERT(r.told.answers.empty());
            r.disk.bytes(0, r.a, std::string(1 << 17, 'z')); // a changed length may wait for more
        }));
    }
}
