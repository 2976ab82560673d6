// Races of two events on clients' and nodes' connections, made by hand on the core. Each case
// guards against the failure that its comment names. What needs real sockets is in
// loopback_test.cpp, discovery's races are in discovery_test.cpp.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

std::size_t count_of(const std::string &text, const std::string &part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

// Its first byte left only with a connection that came up.
bool asked(TestGateway &gateway, ConnectionId node, const std::string &trace) {
    return contains(gateway.transport.sent[node], "X-Trace-Id: " + trace + "\r\n");
}
const std::string no_cancel = "Permissions.Cancel=false\n";

} // namespace

TEST_SUITE("the client's close") {
    // Attempts begun 0.22 s after the close, where they may not be called off: the connection came
    // up late.
    TEST_CASE(
        "while its attempt connects: nothing is sent, also where attempts may not be called off") {
        for (auto &settings : {std::string(), no_cancel}) {
            TestGateway gateway(settings);
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.transport.connection_to("n1");
            gateway.disconnect(client);
            CHECK(gateway.transport.closed.contains(node));
            gateway.core.connected(gateway.now += 200 * ms, node); // crossing the close
            gateway.settle(ms);
            CHECK(!asked(gateway, node, "t1"));
            CHECK(gateway.core.request_count() == 0);
            CHECK(gateway.core.pool().connection_count() == 0);
        }
    }
    TEST_CASE("in the turn in which its connection came up: what was gathered does not leave") {
        TestGateway gateway(no_cancel);
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.transport.connection_to("n1");
        gateway.core.connected(gateway.now, node);
        gateway.core.disconnected(
            gateway.now, client,
            CloseReason::reset); // before the moment's end, in which it would leave
        gateway.settle();
        CHECK(gateway.transport.closed.contains(node));
        CHECK(gateway.core.pool().attempts_in_flight() == 0);
    }
    TEST_CASE("while its request is half written: the last byte never leaves") {
        TestGateway gateway(no_cancel);
        auto client = gateway.connect_client(write_request("t1", std::string(60'000, 'b')));
        auto node = gateway.transport.connection_to("n1");
        gateway.core.connected(gateway.now, node);
        gateway.core.sent(gateway.now, node, 1000);
        gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
        CHECK(gateway.transport.closed.contains(node));
        gateway.transport.unwritten_bytes.clear();
        gateway.settle();
        CHECK(gateway.core.request_count() == 0);
    }
    TEST_CASE("after its request was written: where that may not be called off it goes on, and is "
              "counted out") {
        TestGateway gateway(no_cancel);
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.disconnect(client);
        CHECK(!gateway.transport.closed.contains(node));
        CHECK(gateway.core.pool().attempts_in_flight() == 1);
        gateway.receive_from_node(node, http_response(200, "late"));
        CHECK(gateway.core.request_count() == 0);
        CHECK(gateway.transport.sent[client].empty());
    }
    TEST_CASE("while it waits at a node, and when its first attempt failed: no attempt follows") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(
            gateway.now, node,
            http_response(500, "")); // a further attempt is due at the moment's end
        gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
        gateway.settle();
        gateway.settle(20 * ms);
        CHECK(count_of(gateway.transport.sent[node], "t1") == 1);
        CHECK(gateway.transport.connection_to("n1") == node);
        TestGateway other_gateway;
        std::vector<ConnectionId> clients(12);
        for (std::size_t i = 0; i < clients.size(); ++i)
            clients[i] = other_gateway.connect_client(read_request("w" + std::to_string(i)));
        auto before = other_gateway.transport.connect_calls.size();
        for (auto waiting : clients)
            other_gateway.core.disconnected(other_gateway.now, waiting, CloseReason::end_of_stream);
        other_gateway.settle(50 * ms);
        CHECK(other_gateway.transport.connect_calls.size() == before);
        CHECK(other_gateway.core.request_count() == 0);
    }
    TEST_CASE(
        "in the turn in which its answer came: nothing is written to it, and nothing is left") {
        for (bool answer_first : {false, true}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            if (answer_first)
                gateway.core.received(gateway.now, node, http_response(200, "one"));
            gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
            if (!answer_first)
                gateway.core.received(gateway.now, node, http_response(200, "one"));
            gateway.settle();
            CHECK(gateway.transport.sent[client].empty());
            CHECK(gateway.core.request_count() == 0);
            CHECK(gateway.core.clients().count() == 0);
        }
    }
    // A request that waited behind another one was given its whole time anew: nodes were told more
    // than was left.
    TEST_CASE("a request's time starts when its bytes came, not when its turn came") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, client, read_request("t2", "", "0.500"));
        gateway.receive_from_node(node, http_response(200, "one"), 100 * ms);
        auto next = gateway.connect_node();
        REQUIRE(asked(gateway, next, "t2"));
        CHECK(contains(gateway.transport.sent[next], "X-Expires-In: 0.400000\r\n"));
    }
}

TEST_SUITE("the repeat window's end") {
    // A further attempt was decided within the window, and its connection came up after it: the
    // effect happened twice.
    TEST_CASE("while a further attempt connects: it is not made, and the request fails, as its "
              "first may have run") {
        for (bool late : {false, true}) {
            TestGateway gateway("Classes.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
            auto client = gateway.connect_client(write_request("t1", "x"));
            auto node = gateway.connect_node();
            gateway.settle(120 * ms);
            gateway.core.disconnected(gateway.now, node, CloseReason::reset);
            gateway.settle();
            auto again = gateway.transport.connection_to("n1");
            REQUIRE(again != node);
            gateway.core.connected(gateway.now += late ? 80 * ms : 50 * ms, again);
            gateway.settle();
            CHECK(asked(gateway, again, "t1") == !late);
            if (late)
                CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 502 "));
        }
    }
    struct Effect {
        std::string idempotency;
        std::string group;
    };

    // Ends the attempt in flight in the way that `outcome` names, `later` after its start.
    void end_attempt(TestGateway & gateway, ConnectionId node, const std::string &outcome,
                     Time later) {
        auto &core = gateway.core;
        if (outcome == "connect refused") {
            gateway.settle(later);
            core.connect_failed(gateway.now, node);
            return;
        }
        core.connected(gateway.now, node);
        if (outcome == "before its last byte") {
            core.sent(gateway.now, node, 500);
            gateway.transport.unwritten_bytes.clear();
        }
        gateway.settle(later);
        if (outcome == "reset" || outcome == "before its last byte")
            core.disconnected(gateway.now, node, CloseReason::reset);
        else
            core.received(gateway.now, node,
                          http_response(outcome == "500" ? 500 : 503, "",
                                        outcome == "never ran" ? "X-Never-Ran: 1\r\n" : ""));
    }

    // Connects a further attempt, if one was started, and returns how many were sent in all.
    std::size_t attempts_sent(TestGateway & gateway, ConnectionId first) {
        auto latest = gateway.transport.connection_to("n1");
        if (latest != first) {
            gateway.core.connected(gateway.now, latest);
            gateway.settle();
        }
        std::size_t attempts = count_of(gateway.transport.sent[first], "X-Trace-Id: t1\r\n");
        if (latest != first)
            attempts += count_of(gateway.transport.sent[latest], "X-Trace-Id: t1\r\n");
        return attempts;
    }

    void check_further_attempts(const Effect &effect, const std::string &outcome, bool past) {
        CAPTURE(effect.idempotency + " " + effect.group + ", " + outcome +
                (past ? ", past" : ", inside"));
        TestGateway gateway("Classes.1.Effect=" + effect.idempotency +
                            "\nClasses.1.Group=" + effect.group +
                            "\nClasses.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
        auto client = gateway.connect_client(write_request("t1", std::string(1000, 'x')));
        auto node = gateway.transport.connection_to("n1");
        end_attempt(gateway, node, outcome, past ? 210 * ms : 5 * ms);
        gateway.settle();
        gateway.settle(60 * ms); // a full node is held for a moment
        std::size_t attempts = attempts_sent(gateway, node);

        bool never_executed = outcome == "never ran" || outcome == "before its last byte" ||
                              outcome == "connect refused";
        std::size_t first_attempts = outcome == "connect refused" ? 0 : 1;
        bool may_retry = never_executed || effect.idempotency == "idempotent" ||
                         (effect.idempotency == "deduplicated" && !past);
        CHECK(attempts <= first_attempts + may_retry);
        if (!may_retry)
            CHECK(attempts == first_attempts);
        gateway.settle(2 * sec);

        // A rejection says that trying again is harmless.
        bool harmless =
            attempts == 0 || effect.idempotency == "idempotent" || effect.group == "all";
        if (effect.idempotency == "at_most_once")
            harmless = never_executed && attempts == first_attempts;
        if (!harmless)
            CHECK(!contains(gateway.transport.sent[client], "HTTP/1.1 503 "));
        CHECK(gateway.core.request_count() == 0);
    }

    TEST_CASE("every effect and group, every outcome, inside and past the window: a further "
              "attempt only where harmless") {
        const Effect effects[] = {{"idempotent", "all"},
                                  {"deduplicated", "all"},
                                  {"deduplicated", "zone"},
                                  {"deduplicated", "cell"},
                                  {"at_most_once", "all"}};
        for (const auto &effect : effects)
            for (const char *outcome :
                 {"500", "503", "never ran", "reset", "before its last byte", "connect refused"})
                for (bool past : {false, true})
                    check_further_attempts(effect, outcome, past);
    }
}

TEST_SUITE("the end of a client's connection") {
    // A close over unread bytes resets the connection and takes the answer along.
    TEST_CASE("our side ends first; what comes after is thrown away and never sent on; then its "
              "end, or a short bound") {
        for (bool client_ends : {true, false}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1", "Connection: close\r\n"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, http_response(200, "one"));
            CHECK(gateway.transport.sent[client].ends_with("one"));
            CHECK(gateway.transport.half_closed.contains(client));
            gateway.core.received(gateway.now, client, read_request("t2"));
            gateway.settle();
            CHECK(gateway.core.request_count() == 0);
            CHECK(!asked(gateway, node, "t2"));
            CHECK(gateway.core.clients().open_count() == 0);
            CHECK(gateway.core.clients().count() == 1);
            if (client_ends) {
                gateway.disconnect(client);
            } else {
                gateway.settle(499 * ms);
                CHECK(gateway.transport.half_closed.contains(client));
                gateway.settle(ms);
                CHECK(!gateway.transport.half_closed.contains(client)); // closed for good
            }
            CHECK(gateway.core.clients().count() == 0);
        }
    }
    TEST_CASE("a client that reads its last answer slowly has time for it; the wait for its end "
              "begins after that") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1", "Connection: close\r\n"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, node, http_response(200, std::string(900'000, 'b')));
        gateway.core.settle(gateway.now);
        auto size = std::exchange(gateway.transport.unwritten_bytes, {})[client];
        REQUIRE(size > 900'000);
        gateway.core.sent(gateway.now, client, 200'000);
        gateway.settle(1500 * ms);
        gateway.send_heartbeat();
        gateway.settle(1500 * ms);
        CHECK(gateway.transport.half_closed.contains(client));
        gateway.core.sent(gateway.now, client, size - 200'000);
        gateway.settle(499 * ms);
        CHECK(gateway.transport.half_closed.contains(client));
        gateway.settle(ms);
        CHECK(!gateway.transport.half_closed.contains(client));
    }
    TEST_CASE("who sends without end after our end is cut off, bounded in bytes") {
        TestGateway gateway;
        auto client = gateway.connect_client("GET /none HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 404 "));
        CHECK(gateway.transport.half_closed.contains(client));
        for (int i = 0; i < 17; ++i)
            gateway.core.received(gateway.now, client, std::string(65536, 'x'));
        CHECK(!gateway.transport.half_closed.contains(client));
        CHECK(gateway.core.clients().count() == 0);
    }
    TEST_CASE("an idle connection ends in order, and a request that crosses that is not taken") {
        TestGateway gateway;
        auto client = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        gateway.settle(sec);
        gateway.send_heartbeat();
        gateway.settle(1500 * ms);
        CHECK(gateway.transport.half_closed.contains(client));
        gateway.core.received(gateway.now, client, read_request("t1"));
        gateway.settle();
        CHECK(gateway.core.request_count() == 0);
    }
    // One more would take a descriptor from the nodes and from discovery.
    TEST_CASE("where every client has a request open, one more is not taken; those that only end "
              "go first") {
        TestGateway gateway;
        std::vector<ConnectionId> open;
        for (int i = 0; i < 400; ++i)
            if (auto client = gateway.core.client_connected(gateway.now)) {
                gateway.core.received(gateway.now, *client, read_request("t" + std::to_string(i)));
                open.push_back(*client);
            }
        CHECK(gateway.core.clients().count() == open.size());
        CHECK(open.size() < 256 - 256 / 3);
        CHECK(!gateway.core.client_connected(gateway.now));
        for (auto client : open)
            CHECK(!gateway.transport.closed.contains(client));
        gateway.settle();
        gateway.settle(200 * ms); // some are answered, and stay
        gateway.core.received(gateway.now, open[0], "noise\r\n\r\n");
        gateway.settle();
        CHECK(gateway.core.client_connected(gateway.now));
        CHECK(gateway.core.clients().count() <= open.size());
    }
}

TEST_SUITE("the stop") {
    Time stopped_until(TestGateway & gateway, Time at) { // steps on
        while (gateway.now < at)
            gateway.settle(std::min<Time>(5 * ms, at - gateway.now));
        return gateway.now;
    }
    TEST_CASE("twice is once; a request in two pieces around it is answered; requests sent at once "
              "are all answered") {
        TestGateway gateway; // killed 2.2 s after the stop at the soonest, resting connections
                             // end 1.7 s after it
        auto two = read_request("two");
        auto client = gateway.connect_client(two.substr(0, 60)), many = gateway.connect_client("");
        auto told = gateway.now;
        gateway.core.stop(gateway.now);
        gateway.core.stop(gateway.now += 400 * ms);
        gateway.core.received(gateway.now, client, two.substr(60));
        gateway.settle();
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "two"));
        CHECK(gateway.transport.sent[client].ends_with("two"));
        stopped_until(gateway, told + 1450 * ms);
        gateway.core.received(gateway.now, many,
                              read_request("m1", "", "0.400") + read_request("m2", "", "0.400"));
        gateway.settle();
        gateway.respond_to_attempt("m-one");
        CHECK(!gateway.transport.closed.contains(many)); // one more of its requests was taken
        gateway.respond_to_attempt("m-two");
        CHECK(contains(gateway.transport.sent[many], "m-one"));
        CHECK(gateway.transport.sent[many].ends_with("m-two"));
        CHECK(gateway.transport.half_closed.contains(many));
        stopped_until(gateway, told + 2000 * ms);
        CHECK(gateway.core.stopped());
    }
    TEST_CASE("a node that hangs, a connection that does not come up: both answered before it may "
              "be killed") {
        for (bool up : {false, true}) {
            TestGateway gateway;
            auto told = gateway.now;
            gateway.core.stop(gateway.now);
            stopped_until(gateway, told + 1200 * ms);
            auto client = gateway.connect_client(write_request("t1", "x"));
            if (up)
                gateway.connect_node();
            stopped_until(gateway, told + 2000 * ms);
            CHECK(gateway.transport.sent[client].starts_with(up ? "HTTP/1.1 50" : "HTTP/1.1 503"));
            CHECK(gateway.core.stopped());
            CHECK(gateway.core.request_count() == 0);
        }
    }
    TEST_CASE("who comes after resting connections ended is ended too, with nothing taken") {
        TestGateway gateway;
        auto told = gateway.now;
        auto rests = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        gateway.core.stop(gateway.now);
        stopped_until(gateway, told + 1750 * ms);
        CHECK(gateway.transport.half_closed.contains(rests));
        auto late = gateway.connect_client("");
        stopped_until(gateway, told + 1800 * ms);
        CHECK(gateway.transport.half_closed.contains(late));
        gateway.core.received(gateway.now, late, read_request("t1"));
        gateway.settle();
        CHECK(gateway.core.request_count() == 0);
        gateway.disconnect(rests);
        gateway.disconnect(late);
        gateway.settle(ms);
        CHECK(gateway.core.stopped()); // sooner, as nobody is left
    }
}

TEST_SUITE("the node's close") {
    TEST_CASE(
        "an answer without a length: whole at the end in order, never by a reset, and not before") {
        for (CloseReason how : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\nX-Store: 1\r\n\r\nthe bo");
            gateway.receive_from_node(node, "dy");
            CHECK(gateway.transport.sent[client].empty());
            gateway.core.disconnected(gateway.now, node, how);
            gateway.settle(3 * ms);
            if (how == CloseReason::end_of_stream)
                CHECK(gateway.transport.sent[client] ==
                      "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body");
            else
                CHECK(!contains(gateway.transport.sent[client], "the bo"));
        }
        // A write that was reset in its answer may have run, and its repeat is dropped there: a
        // further attempt, or failed.
        TestGateway gateway;
        auto client = gateway.connect_client(write_request("t1", "x"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\n\r\nthe bo");
        gateway.core.disconnected(gateway.now, node, CloseReason::reset);
        gateway.settle(3 * sec);
        CHECK(!gateway.transport.sent[client].starts_with("HTTP/1.1 200"));
        CHECK(!gateway.transport.sent[client].starts_with("HTTP/1.1 503"));
    }
    TEST_CASE("an answer with a length that ends in the middle is none, in order or not") {
        for (CloseReason how : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe bo");
            gateway.core.disconnected(gateway.now, node, how);
            gateway.settle(sec);
            CHECK(!contains(gateway.transport.sent[client], "the bo"));
        }
    }
    TEST_CASE(
        "before the request's last byte: proved not run, so that a write goes again at once") {
        TestGateway gateway;
        gateway.connect_client(write_request("t1", std::string(60'000, 'b')));
        auto node = gateway.transport.connection_to("n1");
        gateway.core.connected(gateway.now, node);
        gateway.core.sent(gateway.now, node, 1000);
        gateway.core.disconnected(gateway.now, node, CloseReason::reset);
        gateway.transport.unwritten_bytes.clear();
        gateway.settle(ms);
        CHECK(gateway.transport.connection_to("n1") != node);
    }
    TEST_CASE("of a resting connection: in the turn in which it would be handed the next attempt, "
              "a new one is made") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client,
                              read_request("t2")); // handed over at the moment's end
        gateway.core.disconnected(gateway.now, node, CloseReason::end_of_stream);
        gateway.settle();
        CHECK(!asked(gateway, node, "t2"));
        CHECK(gateway.transport.connection_to("n1") != node);
        CHECK(asked(gateway, gateway.connect_node(), "t2"));
    }
    // It would have been read as the next request's answer.
    TEST_CASE("a second answer some milliseconds behind the first: the next attempt goes elsewhere "
              "meanwhile") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.settle();
        CHECK(!asked(gateway, node, "t2"));
        gateway.receive_from_node(node, http_response(200, "one"), 4 * ms);
        CHECK(gateway.transport.closed.contains(node));
        auto other = gateway.connect_node();
        CHECK(asked(gateway, other, "t2"));
        gateway.receive_from_node(other, http_response(200, "two"));
        CHECK(gateway.transport.sent[client].ends_with("two"));
        CHECK(count_of(gateway.transport.sent[client], "one") == 1);
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client, read_request("t3"));
        gateway.settle();
        CHECK(asked(gateway, other, "t3"));
    }
    TEST_CASE("half a line on a resting connection, in that turn: it is not read as the next one's "
              "answer") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.core.received(gateway.now, node, "HTTP/1.1 200 O");
        gateway.settle();
        CHECK(gateway.transport.closed.contains(node));
        CHECK(!asked(gateway, node, "t2"));
        CHECK(asked(gateway, gateway.connect_node(), "t2"));
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
            {endpoint_json("s1", "n1", 5, "leaving"), ""},
            {endpoint_json("s1", "n1", 5, "left"), ""},
            {endpoint_json("s1", "n9", 5), "n9"},
            {endpoint_json("s1", "n1", 5, "leaving") + "," + endpoint_json("s2", "n2", 5), "n2"}};
        for (const auto &change : cases) {
            const auto &list = change.list;
            const auto &to = change.to;
            CAPTURE(list);
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.transport.connection_to("n1");
            gateway.settle(20 * ms);
            gateway.send_endpoint_list(endpoint_list_json(42, list, false));
            gateway.settle();
            CHECK(gateway.transport.closed.contains(node));
            gateway.core.connected(gateway.now += ms, node); // crossing
            gateway.settle();
            CHECK(!asked(gateway, node, "t1"));
            if (to.empty()) {
                gateway.settle(200 * ms);
                CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
            } else {
                REQUIRE(gateway.transport.connection_to(to).value != 0);
                gateway.core.connected(gateway.now, gateway.transport.connection_to(to));
                gateway.settle();
                CHECK(asked(gateway, gateway.transport.connection_to(to), "t1"));
            }
        }
    }
    TEST_CASE("drain while an attempt is out: it is answered; its connection is not used again") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.send_endpoint_list(
            endpoint_list_json(42, endpoint_json("s1", "n1", 5, "leaving"), false));
        gateway.settle();
        CHECK(!gateway.transport.closed.contains(node));
        gateway.receive_from_node(node, http_response(200, "one"));
        CHECK(gateway.transport.sent[client].ends_with("one"));
        CHECK(gateway.transport.closed.contains(node));
    }
    TEST_CASE("drain while a further attempt is due: none goes there") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, node, http_response(500, ""));
        gateway.send_endpoint_list(
            endpoint_list_json(42, endpoint_json("s1", "n1", 5, "leaving"), false));
        gateway.settle();
        gateway.settle(200 * ms);
        CHECK(count_of(gateway.transport.sent[node], "t1") == 1);
        CHECK(gateway.transport.connection_to("n1") == node);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
    }
}
