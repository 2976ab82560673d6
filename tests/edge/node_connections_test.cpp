// Connections to nodes: which event leads to which outcome of an attempt.
#include <doctest/doctest.h>

#include <algorithm>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

TEST_SUITE("node connections: each outcome of an attempt follows from the event that it names") {
    TEST_CASE(
        "an answer's status determines the outcome: answered, error, overloaded, or not_sent if "
        "the node guarantees that it did not run") {
        Linked l;
        for (std::uint64_t t = 1; t <= 6; ++t)
            l.start_attempt(t);
        using node_protocol::Status;
        Status s[] = {Status::ok,      Status::error,       Status::rejected,
                      Status::expired, Status::misdirected, Status::bad_checksum};
        for (std::uint64_t i = 0; i < 6; ++i)
            l.links.received(ms, l.link, answer(2 + i, s[i], i == 0 ? "data" : ""));
        CHECK(l.w.told == Lines{"1 answered data", "2 error ", "3 full ", "4 unsent ", "5 unsent ",
                                "6 error "});
    }
    TEST_CASE(
        "an attempt that was sent and not answered before its deadline times out; a late answer "
        "is not reported") {
        Linked l;
        l.start_attempt(1);
        l.links.tick(100 * ms); // the check of the connect timeout
        CHECK(l.links.next_due() == sec);
        l.links.tick(sec);
        l.links.received(sec + 1, l.link, answer(2, node_protocol::Status::ok));
        CHECK(l.w.told == Lines{"1 timed_out "});
    }
    TEST_CASE("an attempt is unreachable if the connection is refused, the node is not listed, or "
              "connecting times out") {
        Linked l(false);
        l.start_attempt(1);
        l.links.connect_failed(l.link);
        l.start_attempt(2, 0, 7);
        l.links.tick(ms);
        l.start_attempt(3, ms);
        l.links.tick(102 * ms);
        CHECK(l.w.told == Lines{"1 unreachable ", "2 unreachable ", "3 unreachable "});
        CHECK(l.w.closed.size() == 1);
    }
    TEST_CASE("an attempt that was sent on a connection that is lost ends as reset") {
        Linked l;
        l.start_attempt(1);
        l.links.disconnected(l.link);
        CHECK(l.w.told == Lines{"1 reset "});
    }
    TEST_CASE("canceling an attempt ends it as canceled if it was sent, otherwise as not_sent") {
        Linked l;
        l.start_attempt(1);
        l.links.cancel_attempt(RequestId{1}, AttemptId{0});
        Linked m(false);
        m.start_attempt(2);
        m.links.cancel_attempt(RequestId{2}, AttemptId{0});
        CHECK(l.w.told == Lines{"1 called_off "});
        CHECK(m.w.told == Lines{"2 unsent "});
    }
    TEST_CASE("an attempt of which no byte was sent when its connection is lost ends as not_sent") {
        Linked l(false);
        l.start_attempt(1);
        l.links.connected(ms, l.link); // the hello is sent, but no welcome arrives
        l.links.disconnected(l.link);
        Linked m(true, 100); // at most a hundred unsent bytes: one frame, the others are queued
        m.start_attempt(1);
        m.start_attempt(2);
        m.start_attempt(3);
        m.links.disconnected(m.link);
        CHECK(l.w.told == Lines{"1 unsent "});
        std::sort(m.w.told.begin(), m.w.told.end());
        CHECK(std::count(m.w.told.begin(), m.w.told.end(), "3 unsent ") == 1);
    }
    // A node stops sending in the middle of an answer. All later answers on the connection would
    // wait for the rest of it, so the connection is closed well before its attempts time out.
    TEST_CASE("a connection is closed soon after its node goes silent in the middle of an answer") {
        Linked l;
        l.start_attempt(1);
        auto a = answer(2, node_protocol::Status::ok, std::string(512, 'x'));
        l.links.received(ms, l.link, a.substr(0, 100));
        l.links.tick(200 * ms);
        CHECK(l.w.told.empty());
        l.links.tick(201 * ms);
        CHECK(l.w.told == Lines{"1 reset "});
        CHECK(l.w.said.size() == 1);
    }
    TEST_CASE("a corrupt answer, a welcome from another node or an unexpected frame closes the "
              "connection and is logged") {
        Linked l, m(false), n;
        auto a = answer(2, node_protocol::Status::ok);
        a[20] ^= 1;
        l.links.received(ms, l.link, a);
        m.start_attempt(1);
        m.links.connected(0, m.link);
        m.links.received(0, m.link, welcome(3));
        n.links.received(0, n.link, welcome(1));
        for (auto *x : {&l, &m, &n}) {
            CHECK(x->w.closed.size() == 1);
            CHECK(x->w.said.size() == 1);
        }
    }
    TEST_CASE(
        "attempts beyond the limit of unsent bytes are queued, and sent when earlier bytes have "
        "left") {
        Linked l(true, 200);
        for (std::uint64_t t = 1; t <= 9; ++t)
            l.start_attempt(t);
        auto before = l.w.sent[l.link].size();
        l.links.sent(ms, l.link, before);
        CHECK(l.w.sent[l.link].size() > before);
    }
    TEST_CASE(
        "the connection to a node that is no longer listed is closed after its last attempt") {
        Linked l;
        l.start_attempt(1);
        l.links.set_nodes({});
        l.links.tick(ms);
        CHECK(l.w.closed.empty());
        l.links.received(ms, l.link, answer(2, node_protocol::Status::ok));
        l.links.tick(2 * ms);
        CHECK(l.w.closed.size() == 1);
        l.start_attempt(2, 3 * ms);
        l.links.tick(3 * ms);
        CHECK(l.w.told.back() == "2 unreachable ");
    }
    // The clocks of node and edge differ. A write that is too late by the edge's clock must not be
    // executed because it isn't too late by the node's.
    TEST_CASE(
        "a not-after time converted to the node's clock is never later than by the edge's clock") {
        Linked l(false);
        l.work->kind = node_protocol::FrameKind::write, l.work->not_after = 500 * ms;
        l.start_attempt(1);
        l.links.connected(10 * ms, l.link);
        l.links.received(
            30 * ms, l.link,
            welcome(1, 7 * sec)); // the node's clock was 7 s at some time between 10 and 30 ms
        auto &out = l.w.sent[l.link];
        Time got = 0;
        for (int i = 7; i >= 0; --i)
            got =
                got << 8 | static_cast<unsigned char>(out[out.size() - node_protocol::header_size +
                                                          64 + static_cast<std::size_t>(i)]);
        CHECK(got == 7 * sec + 470 * ms);
    }
    TEST_CASE("an idle connection is closed") {
        Linked l;
        l.links.tick(100 * ms);
        l.links.tick(11 * sec);
        CHECK(l.w.closed.size() == 1);
    }
}
