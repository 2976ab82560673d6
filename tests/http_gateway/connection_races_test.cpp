// Where two events cross, forced by hand on the core: clients, attempts and connections. Each case
// guards against the fault that its comment names. What needs real sockets is in loopback_test.cpp,
// discovery's in discovery_test.cpp.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

std::size_t count_of(const std::string &s, const std::string &part) {
    std::size_t n = 0;
    for (auto at = s.find(part); at != s.npos; at = s.find(part, at + part.size()))
        ++n;
    return n;
}
// Its first byte left only with a connection that came up.
bool asked(TestGateway &f, ConnectionId node, const std::string &trace) {
    return has(f.w.sent[node], "X-Trace-Id: " + trace + "\r\n");
}
const std::string no_cancel = "Permissions.Cancel=false\n";

} // namespace

TEST_SUITE("the client's close") {
    // Attempts begun 0.22 s after the close, where they may not be called off: the connection came
    // up late.
    TEST_CASE(
        "while its attempt connects: nothing is sent, also where attempts may not be called off") {
        for (auto &settings : {std::string(), no_cancel}) {
            TestGateway f(settings);
            auto c = f.client(read_of("t1"));
            auto n = f.w.to("n1");
            f.gone(c);
            CHECK(f.w.closed.contains(n));
            f.core.connected(f.now += 200 * ms, n); // crossing the close
            f.settle(ms);
            CHECK(!asked(f, n, "t1"));
            CHECK(f.core.request_count() == 0);
            CHECK(f.core.pool().connection_count() == 0);
        }
    }
    TEST_CASE("in the turn in which its connection came up: what was gathered does not leave") {
        TestGateway f(no_cancel);
        auto c = f.client(read_of("t1"));
        auto n = f.w.to("n1");
        f.core.connected(f.now, n);
        f.core.disconnected(f.now, c,
                            CloseReason::reset); // before the moment's end, in which it would leave
        f.settle();
        CHECK(f.w.closed.contains(n));
        CHECK(f.core.pool().attempts_in_flight() == 0);
    }
    TEST_CASE("while its request is half written: the last byte never leaves") {
        TestGateway f(no_cancel);
        auto c = f.client(write_of("t1", std::string(60'000, 'b')));
        auto n = f.w.to("n1");
        f.core.connected(f.now, n);
        f.core.sent(f.now, n, 1000);
        f.core.disconnected(f.now, c, CloseReason::end_of_stream);
        CHECK(f.w.closed.contains(n));
        f.w.unwritten.clear();
        f.settle();
        CHECK(f.core.request_count() == 0);
    }
    TEST_CASE("after its request was written: where that may not be called off it goes on, and is "
              "counted out") {
        TestGateway f(no_cancel);
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.gone(c);
        CHECK(!f.w.closed.contains(n));
        CHECK(f.core.pool().attempts_in_flight() == 1);
        f.answer(n, reply(200, "late"));
        CHECK(f.core.request_count() == 0);
        CHECK(f.w.sent[c].empty());
    }
    TEST_CASE("while it waits at a node, and when its first attempt failed: no attempt follows") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.core.received(f.now, n, reply(500, "")); // a further attempt is due at the moment's end
        f.core.disconnected(f.now, c, CloseReason::end_of_stream);
        f.settle();
        f.settle(20 * ms);
        CHECK(count_of(f.w.sent[n], "t1") == 1);
        CHECK(f.w.to("n1") == n);
        TestGateway g;
        std::vector<ConnectionId> clients;
        for (int i = 0; i < 12; ++i)
            clients.push_back(g.client(read_of("w" + std::to_string(i))));
        auto before = g.w.connected.size();
        for (auto waiting : clients)
            g.core.disconnected(g.now, waiting, CloseReason::end_of_stream);
        g.settle(50 * ms);
        CHECK(g.w.connected.size() == before);
        CHECK(g.core.request_count() == 0);
    }
    TEST_CASE(
        "in the turn in which its answer came: nothing is written to it, and nothing is left") {
        for (bool answer_first : {false, true}) {
            TestGateway f;
            auto c = f.client(read_of("t1"));
            auto n = f.node();
            if (answer_first)
                f.core.received(f.now, n, reply(200, "one"));
            f.core.disconnected(f.now, c, CloseReason::end_of_stream);
            if (!answer_first)
                f.core.received(f.now, n, reply(200, "one"));
            f.settle();
            CHECK(f.w.sent[c].empty());
            CHECK(f.core.request_count() == 0);
            CHECK(f.core.clients().count() == 0);
        }
    }
    // A request that waited behind another one was given its whole time anew: nodes were told more
    // than was left.
    TEST_CASE("a request's time starts when its bytes came, not when its turn came") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.core.received(f.now, c, read_of("t2", "", "0.500"));
        f.answer(n, reply(200, "one"), 100 * ms);
        auto next = f.node();
        REQUIRE(asked(f, next, "t2"));
        CHECK(has(f.w.sent[next], "X-Expires-In: 0.400000\r\n"));
    }
}

TEST_SUITE("the repeat window's end") {
    // A further attempt was decided within the window, and its connection came up after it: the
    // effect happened twice.
    TEST_CASE("while a further attempt connects: it is not made, and the request fails, as its "
              "first may have run") {
        for (bool late : {false, true}) {
            TestGateway f("Classes.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
            auto c = f.client(write_of("t1", "x"));
            auto n = f.node();
            f.settle(120 * ms);
            f.core.disconnected(f.now, n, CloseReason::reset);
            f.settle();
            auto again = f.w.to("n1");
            REQUIRE(again != n);
            f.core.connected(f.now += late ? 80 * ms : 50 * ms, again);
            f.settle();
            CHECK(asked(f, again, "t1") == !late);
            if (late)
                CHECK(f.w.sent[c].starts_with("HTTP/1.1 502 "));
        }
    }
    TEST_CASE("every effect and group, every outcome, inside and past the window: a further "
              "attempt only where harmless") {
        struct {
            std::string effect, group;
        } effects[] = {{"idempotent", "all"},
                       {"deduplicated", "all"},
                       {"deduplicated", "zone"},
                       {"deduplicated", "cell"},
                       {"at_most_once", "all"}};
        for (auto &e : effects)
            for (std::string outcome :
                 {"500", "503", "never ran", "reset", "before its last byte", "connect refused"})
                for (bool past : {false, true}) {
                    CAPTURE(e.effect + " " + e.group + ", " + outcome +
                            (past ? ", past" : ", inside"));
                    TestGateway f("Classes.1.Effect=" + e.effect + "\nClasses.1.Group=" + e.group +
                                  "\nClasses.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
                    auto c = f.client(write_of("t1", std::string(1000, 'x')));
                    auto n = f.w.to("n1");
                    if (outcome == "connect refused") {
                        f.settle(past ? 210 * ms : 5 * ms);
                        f.core.connect_failed(f.now, n);
                    } else {
                        f.core.connected(f.now, n);
                        if (outcome == "before its last byte")
                            f.core.sent(f.now, n, 500), f.w.unwritten.clear();
                        f.settle(past ? 210 * ms : 5 * ms);
                        if (outcome == "reset" || outcome == "before its last byte")
                            f.core.disconnected(f.now, n, CloseReason::reset);
                        else
                            f.core.received(
                                f.now, n,
                                reply(outcome == "500" ? 500 : 503, "",
                                      outcome == "never ran" ? "X-Never-Ran: 1\r\n" : ""));
                    }
                    f.settle();
                    f.settle(60 * ms); // a full node is held for a moment
                    if (f.w.to("n1") != n)
                        f.core.connected(f.now, f.w.to("n1")), f.settle();
                    std::size_t attempts = count_of(f.w.sent[n], "X-Trace-Id: t1\r\n");
                    if (f.w.to("n1") != n)
                        attempts += count_of(f.w.sent[f.w.to("n1")], "X-Trace-Id: t1\r\n");
                    bool never = outcome == "never ran" || outcome == "before its last byte" ||
                                 outcome == "connect refused";
                    std::size_t made = outcome == "connect refused" ? 0 : 1;
                    bool again =
                        never || e.effect == "idempotent" || (e.effect == "deduplicated" && !past);
                    CHECK(attempts <= made + again);
                    if (!again)
                        CHECK(attempts == made);
                    f.settle(2 * sec);
                    // A refusal says that trying again is harmless.
                    bool harmless = attempts == 0 || e.effect == "idempotent" || e.group == "all";
                    if (e.effect == "at_most_once")
                        harmless = never && attempts == made;
                    if (!harmless)
                        CHECK(!has(f.w.sent[c], "HTTP/1.1 503 "));
                    CHECK(f.core.request_count() == 0);
                }
    }
}

TEST_SUITE("the end of a client's connection") {
    // A close over unread bytes resets the connection and takes the answer along.
    TEST_CASE("our side ends first; what comes after is thrown away and never sent on; then its "
              "end, or a short bound") {
        for (bool client_ends : {true, false}) {
            TestGateway f;
            auto c = f.client(read_of("t1", "Connection: close\r\n"));
            auto n = f.node();
            f.answer(n, reply(200, "one"));
            CHECK(f.w.sent[c].ends_with("one"));
            CHECK(f.w.shutting.contains(c));
            f.core.received(f.now, c, read_of("t2"));
            f.settle();
            CHECK(f.core.request_count() == 0);
            CHECK(!asked(f, n, "t2"));
            CHECK(f.core.clients().open_count() == 0);
            CHECK(f.core.clients().count() == 1);
            if (client_ends) {
                f.gone(c);
            } else {
                f.settle(499 * ms);
                CHECK(f.w.shutting.contains(c));
                f.settle(ms);
                CHECK(!f.w.shutting.contains(c)); // closed for good
            }
            CHECK(f.core.clients().count() == 0);
        }
    }
    TEST_CASE("a client that reads its last answer slowly has time for it; the wait for its end "
              "begins after that") {
        TestGateway f;
        auto c = f.client(read_of("t1", "Connection: close\r\n"));
        auto n = f.node();
        f.core.received(f.now, n, reply(200, std::string(900'000, 'b')));
        f.core.settle(f.now);
        auto size = std::exchange(f.w.unwritten, {})[c];
        REQUIRE(size > 900'000);
        f.core.sent(f.now, c, 200'000);
        f.settle(1500 * ms), f.blank(), f.settle(1500 * ms);
        CHECK(f.w.shutting.contains(c));
        f.core.sent(f.now, c, size - 200'000);
        f.settle(499 * ms);
        CHECK(f.w.shutting.contains(c));
        f.settle(ms);
        CHECK(!f.w.shutting.contains(c));
    }
    TEST_CASE("who sends without end after our end is cut off, bounded in bytes") {
        TestGateway f;
        auto c = f.client("GET /none HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 404 "));
        CHECK(f.w.shutting.contains(c));
        for (int i = 0; i < 17; ++i)
            f.core.received(f.now, c, std::string(65536, 'x'));
        CHECK(!f.w.shutting.contains(c));
        CHECK(f.core.clients().count() == 0);
    }
    TEST_CASE("an idle connection ends in order, and a request that crosses that is not taken") {
        TestGateway f;
        auto c = f.client("GET /healthz HTTP/1.1\r\n\r\n");
        f.settle(sec), f.blank(), f.settle(1500 * ms);
        CHECK(f.w.shutting.contains(c));
        f.core.received(f.now, c, read_of("t1"));
        f.settle();
        CHECK(f.core.request_count() == 0);
    }
    // One more would take a descriptor from the nodes and from discovery.
    TEST_CASE("where every client has a request open, one more is not taken; those that only end "
              "go first") {
        TestGateway f;
        std::vector<ConnectionId> open;
        for (int i = 0; i < 400; ++i)
            if (auto c = f.core.client_connected(f.now)) {
                f.core.received(f.now, *c, read_of("t" + std::to_string(i)));
                open.push_back(*c);
            }
        CHECK(f.core.clients().count() == open.size());
        CHECK(open.size() < 256 - 256 / 3);
        CHECK(!f.core.client_connected(f.now));
        for (auto c : open)
            CHECK(!f.w.closed.contains(c));
        f.settle();
        f.settle(200 * ms); // some are answered, and stay
        f.core.received(f.now, open[0], "noise\r\n\r\n");
        f.settle();
        CHECK(f.core.client_connected(f.now));
        CHECK(f.core.clients().count() <= open.size());
    }
}

TEST_SUITE("the stop") {
    Time stopped_until(TestGateway & f, Time at) { // steps on
        while (f.now < at)
            f.settle(std::min<Time>(5 * ms, at - f.now));
        return f.now;
    }
    TEST_CASE("twice is once; a request in two pieces around it is answered; requests sent at once "
              "are all answered") {
        TestGateway
            f; // killed 2.2 s after the stop at the soonest, resting connections end 1.7 s after it
        auto two = read_of("two");
        auto c = f.client(two.substr(0, 60)), many = f.client("");
        auto told = f.now;
        f.core.stop(f.now);
        f.core.stop(f.now += 400 * ms);
        f.core.received(f.now, c, two.substr(60));
        f.settle();
        auto n = f.node();
        f.answer(n, reply(200, "two"));
        CHECK(f.w.sent[c].ends_with("two"));
        stopped_until(f, told + 1450 * ms);
        f.core.received(f.now, many, read_of("m1", "", "0.400") + read_of("m2", "", "0.400"));
        f.settle();
        f.serve("m-one");
        CHECK(!f.w.closed.contains(many)); // one more of its requests was taken
        f.serve("m-two");
        CHECK(has(f.w.sent[many], "m-one"));
        CHECK(f.w.sent[many].ends_with("m-two"));
        CHECK(f.w.shutting.contains(many));
        stopped_until(f, told + 2000 * ms);
        CHECK(f.core.stopped());
    }
    TEST_CASE("a node that hangs, a connection that does not come up: both answered before it may "
              "be killed") {
        for (bool up : {false, true}) {
            TestGateway f;
            auto told = f.now;
            f.core.stop(f.now);
            stopped_until(f, told + 1200 * ms);
            auto c = f.client(write_of("t1", "x"));
            if (up)
                f.node();
            stopped_until(f, told + 2000 * ms);
            CHECK(f.w.sent[c].starts_with(up ? "HTTP/1.1 50" : "HTTP/1.1 503"));
            CHECK(f.core.stopped());
            CHECK(f.core.request_count() == 0);
        }
    }
    TEST_CASE("who comes after resting connections ended is ended too, with nothing taken") {
        TestGateway f;
        auto told = f.now;
        auto rests = f.client("GET /healthz HTTP/1.1\r\n\r\n");
        f.core.stop(f.now);
        stopped_until(f, told + 1750 * ms);
        CHECK(f.w.shutting.contains(rests));
        auto late = f.client("");
        stopped_until(f, told + 1800 * ms);
        CHECK(f.w.shutting.contains(late));
        f.core.received(f.now, late, read_of("t1"));
        f.settle();
        CHECK(f.core.request_count() == 0);
        f.gone(rests), f.gone(late);
        f.settle(ms);
        CHECK(f.core.stopped()); // sooner, as nobody is left
    }
}

TEST_SUITE("the node's close") {
    TEST_CASE(
        "an answer without a length: whole at the end in order, never by a reset, and not before") {
        for (CloseReason how : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway f;
            auto c = f.client(read_of("t1"));
            auto n = f.node();
            f.answer(n, "HTTP/1.1 200 OK\r\nX-Store: 1\r\n\r\nthe bo");
            f.answer(n, "dy");
            CHECK(f.w.sent[c].empty());
            f.core.disconnected(f.now, n, how);
            f.settle(3 * ms);
            if (how == CloseReason::end_of_stream)
                CHECK(f.w.sent[c] == "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body");
            else
                CHECK(!has(f.w.sent[c], "the bo"));
        }
        // A write that was reset in its answer may have run, and its repeat is dropped there: a
        // further attempt, or failed.
        TestGateway f;
        auto c = f.client(write_of("t1", "x"));
        auto n = f.node();
        f.answer(n, "HTTP/1.1 200 OK\r\n\r\nthe bo");
        f.core.disconnected(f.now, n, CloseReason::reset);
        f.settle(3 * sec);
        CHECK(!f.w.sent[c].starts_with("HTTP/1.1 200"));
        CHECK(!f.w.sent[c].starts_with("HTTP/1.1 503"));
    }
    TEST_CASE("an answer with a length that ends in the middle is none, in order or not") {
        for (CloseReason how : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway f;
            auto c = f.client(read_of("t1"));
            auto n = f.node();
            f.answer(n, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe bo");
            f.core.disconnected(f.now, n, how);
            f.settle(sec);
            CHECK(!has(f.w.sent[c], "the bo"));
        }
    }
    TEST_CASE(
        "before the request's last byte: proved not run, so that a write goes again at once") {
        TestGateway f;
        f.client(write_of("t1", std::string(60'000, 'b')));
        auto n = f.w.to("n1");
        f.core.connected(f.now, n);
        f.core.sent(f.now, n, 1000);
        f.core.disconnected(f.now, n, CloseReason::reset);
        f.w.unwritten.clear();
        f.settle(ms);
        CHECK(f.w.to("n1") != n);
    }
    TEST_CASE("of a resting connection: in the turn in which it would be handed the next attempt, "
              "a new one is made") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one"));
        f.settle(10 * ms);
        f.core.received(f.now, c, read_of("t2")); // handed over at the moment's end
        f.core.disconnected(f.now, n, CloseReason::end_of_stream);
        f.settle();
        CHECK(!asked(f, n, "t2"));
        CHECK(f.w.to("n1") != n);
        CHECK(asked(f, f.node(), "t2"));
    }
    // It would have been read as the next request's answer.
    TEST_CASE("a second answer some milliseconds behind the first: the next attempt goes elsewhere "
              "meanwhile") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one"));
        f.core.received(f.now, c, read_of("t2"));
        f.settle();
        CHECK(!asked(f, n, "t2"));
        f.answer(n, reply(200, "one"), 4 * ms);
        CHECK(f.w.closed.contains(n));
        auto other = f.node();
        CHECK(asked(f, other, "t2"));
        f.answer(other, reply(200, "two"));
        CHECK(f.w.sent[c].ends_with("two"));
        CHECK(count_of(f.w.sent[c], "one") == 1);
        f.settle(10 * ms);
        f.core.received(f.now, c, read_of("t3"));
        f.settle();
        CHECK(asked(f, other, "t3"));
    }
    TEST_CASE("half a line on a resting connection, in that turn: it is not read as the next one's "
              "answer") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one"));
        f.settle(10 * ms);
        f.core.received(f.now, c, read_of("t2"));
        f.core.received(f.now, n, "HTTP/1.1 200 O");
        f.settle();
        CHECK(f.w.closed.contains(n));
        CHECK(!asked(f, n, "t2"));
        CHECK(asked(f, f.node(), "t2"));
    }
}

TEST_SUITE("the list's change") {
    // Draining nodes were never told to the pools: their idle connections stayed, and attempts on
    // the way were sent.
    TEST_CASE("drain, leaving, replacement or another address while an attempt connects: it is not "
              "sent there") {
        struct {
            std::string list;
            std::string to;
        } cases[] = {
            {node_entry("s1", "n1", 5, "leaving"), ""},
            {node_entry("s1", "n1", 5, "left"), ""},
            {node_entry("s1", "n9", 5), "n9"},
            {node_entry("s1", "n1", 5, "leaving") + "," + node_entry("s2", "n2", 5), "n2"}};
        for (auto &[list, to] : cases) {
            CAPTURE(list);
            TestGateway f;
            auto c = f.client(read_of("t1"));
            auto n = f.w.to("n1");
            f.settle(20 * ms);
            f.list(list_of(42, list, false));
            f.settle();
            CHECK(f.w.closed.contains(n));
            f.core.connected(f.now += ms, n); // crossing
            f.settle();
            CHECK(!asked(f, n, "t1"));
            if (to.empty()) {
                f.settle(200 * ms);
                CHECK(f.w.sent[c].starts_with("HTTP/1.1 503 "));
            } else {
                REQUIRE(f.w.to(to).value != 0);
                f.core.connected(f.now, f.w.to(to));
                f.settle();
                CHECK(asked(f, f.w.to(to), "t1"));
            }
        }
    }
    TEST_CASE("drain while an attempt is out: it is answered; its connection is not used again") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.list(list_of(42, node_entry("s1", "n1", 5, "leaving"), false));
        f.settle();
        CHECK(!f.w.closed.contains(n));
        f.answer(n, reply(200, "one"));
        CHECK(f.w.sent[c].ends_with("one"));
        CHECK(f.w.closed.contains(n));
    }
    TEST_CASE("drain while a further attempt is due: none goes there") {
        TestGateway f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.core.received(f.now, n, reply(500, ""));
        f.list(list_of(42, node_entry("s1", "n1", 5, "leaving"), false));
        f.settle();
        f.settle(200 * ms);
        CHECK(count_of(f.w.sent[n], "t1") == 1);
        CHECK(f.w.to("n1") == n);
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 503 "));
    }
}
