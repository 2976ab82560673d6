// The whole gateway on the core, events made by hand: requests, attempts, answers, what clients and
// nodes may do wrong, discovery, stopping.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_SUITE("requests and answers") {
    TEST_CASE("a read goes to the node that holds its shard and comes back as the node gave it") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        CHECK(gateway.transport.sent[node].starts_with("GET /read/x?y=1 HTTP/1.1\r\n"));
        CHECK(contains(gateway.transport.sent[node], "X-Trace-Id: t1\r\n"));
        CHECK(contains(gateway.transport.sent[node], "X-Expires-In: 1.000000\r\n"));
        CHECK(!contains(gateway.transport.sent[node], "Cookie"));
        gateway.receive_from_node(node, http_response(200, "the body", "X-Store: 1\r\n"));
        CHECK(gateway.transport.sent[client] ==
              "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body");
        CHECK(gateway.core.request_count() == 0);
        // The next one on both connections.
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.settle();
        CHECK(gateway.transport.connect_calls.size() == 2); // discovery's and the node's
        CHECK(contains(gateway.transport.sent[node], "X-Trace-Id: t2\r\n"));
    }
    TEST_CASE("a write's body, mark and length pass on unchanged") {
        TestGateway gateway;
        gateway.connect_client(write_request("t1", std::string("a\0b", 3)));
        auto &sent = gateway.transport.sent[gateway.connect_node()];
        CHECK(contains(sent, "Idempotency-Key: k1\r\n"));
        CHECK(sent.ends_with("Content-Length: 3\r\n\r\n" + std::string("a\0b", 3)));
    }
    TEST_CASE("a node's no before it ran is attempted again; after it may have run, a write fails "
              "and a read goes again") {
        for (bool writes : {false, true}) {
            TestGateway gateway;
            auto client =
                gateway.connect_client(writes ? write_request("t1", "x") : read_request("t1"));
            gateway.receive_from_node(gateway.connect_node(),
                                      http_response(503, "", "X-Never-Ran: 1\r\n"));
            gateway.settle(300 * ms);
            CHECK(!contains(gateway.transport.sent[client], " 502 "));
        }
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(500, ""));
        gateway.settle(10 * ms);
        auto again = gateway.connect_node();
        CHECK(again != node);
        CHECK(contains(gateway.transport.sent[again], "X-Trace-Id: t1\r\n"));
        gateway.receive_from_node(again, http_response(200, "ok"));
        CHECK(gateway.transport.sent[client].ends_with("ok"));
    }
    TEST_CASE("what the module gives up is answered at once, with when to come back") {
        TestGateway gateway;
        auto client =
            gateway.connect_client(read_request("t1")); // the node's connection never comes up
        gateway.settle(260 * ms);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
        CHECK(contains(gateway.transport.sent[client], "Retry-After: 2.000\r\n"));
    }
    TEST_CASE("never after the client's timeout, and once") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1", "", "0.100"));
        gateway.connect_node();
        gateway.settle(97 * ms);
        auto told = gateway.transport.sent[client];
        CHECK(told.starts_with("HTTP/1.1 503 "));
        gateway.settle(sec);
        CHECK(gateway.transport.sent[client] == told);
        CHECK(gateway.core.request_count() == 0);
    }
    TEST_CASE("a client that leaves: its attempt is closed, nothing is written to it") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.disconnect(client);
        CHECK(gateway.transport.closed.contains(node));
        gateway.receive_from_node(node, http_response(200, "late"));
        CHECK(gateway.transport.sent[client].empty());
        CHECK(gateway.core.request_count() == 0);
        CHECK(gateway.core.pool().attempts_in_flight() == 0);
    }
}

TEST_SUITE("nodes that do wrong") {
    TEST_CASE("spoilt answers, in any pieces, never reach a client and cost their connection") {
        for (std::string bad :
             {std::string("\x01noise\r\n\r\n"), "HTTP/1.1 200 OK\r\nX: " + std::string(9000, 'a'),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
              std::string("HTTP/1.1 200 OK\r\n\r\n") + std::string((1 << 20) + 1, 'a'),
              std::string("HTTP/1.1 2OO OK\r\n\r\n")})
            for (std::size_t piece : {bad.size() > 10'000 ? std::size_t{997} : std::size_t{1},
                                      std::size_t{7}, bad.size()}) {
                if (bad.size() / piece > 10'000)
                    continue; // the same bytes in fewer pieces do
                CAPTURE(bad.substr(0, 60));
                TestGateway gateway;
                auto client = gateway.connect_client(write_request("t1", "x"));
                auto node = gateway.connect_node();
                for (std::size_t at = 0; at < bad.size(); at += piece)
                    gateway.core.received(gateway.now, node, bad.substr(at, piece));
                gateway.settle();
                CHECK(gateway.transport.closed.contains(node));
                CHECK(!contains(gateway.transport.sent[client], " 200 "));
            }
    }
    TEST_CASE("a good answer with more behind it is delivered and its connection dropped") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one") + http_response(200, "one"));
        CHECK(gateway.transport.sent[client].ends_with("one"));
        CHECK(gateway.transport.closed.contains(node));
    }
    TEST_CASE("bytes on a connection that waits for nothing: it is dropped, they answer nobody") {
        TestGateway gateway;
        gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.receive_from_node(node, http_response(200, "one"));
        CHECK(gateway.transport.closed.contains(node));
    }
    TEST_CASE(
        "an answer that stops short ends soon; one past the protocol's 64 KiB is still good") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        auto big = http_response(200, std::string(400'000, 'b'));
        gateway.receive_from_node(node, big.substr(0, 200'000));
        gateway.settle(240 * ms); // a throttled node, a network in pieces
        gateway.receive_from_node(node, big.substr(200'000));
        CHECK(gateway.transport.sent[client].ends_with(std::string(400'000, 'b')));
        CHECK(gateway.transport.closed.empty());
        TestGateway other_gateway;
        other_gateway.connect_client(read_request("t2"));
        node = other_gateway.connect_node();
        other_gateway.receive_from_node(node, big.substr(0, 100));
        other_gateway.settle(249 * ms);
        CHECK(!other_gateway.transport.closed.contains(node));
        other_gateway.settle(ms);
        CHECK(other_gateway.transport.closed.contains(node));
    }
    TEST_CASE("1xx in front is passed over") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        gateway.receive_from_node(gateway.connect_node(),
                                  "HTTP/1.1 102 Processing\r\n\r\n" + http_response(200, "one"));
        CHECK(gateway.transport.sent[client].ends_with("one"));
    }
}

TEST_SUITE("clients that do wrong") {
    TEST_CASE("each gets an error and its connection is closed; the module hears of none") {
        std::string good = read_request("t1");
        auto with = [&](const std::string &a, const std::string &b) {
            auto s = good;
            return s.replace(s.find(a), a.size(), b);
        };
        for (auto bad :
             {std::string("\x16\x03\x01 noise\r\n\r\n"), with("/read", "/none"),
              with("gold", "tin"), with("1.000", "soon"), with("1.000", "-1"),
              with("1.000", "1e300"), with("X-Trace-Id: t1\r\n", ""),
              with("X-Trace-Id: t1", "X-Trace-Id: t1\r\nX-Trace-Id: t2"),
              with("units=2", "units=-2"), with("units=2", "units=nan"), with("hosts=3", "hosts=0"),
              with("volume=0", "volume=x"), with("shard=5,", ""), with("object=7", "object=z"),
              with("GET", "DELETE"), with("Host: s", "Host: s\r\nContent-Length: 60000000"),
              with("Host: s", "Host: s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"),
              with("Host: s", "Host: s\r\nContent-Length: 2") + "xx",
              with("Host: s", "Host: " + std::string(9000, 's'))}) {
            CAPTURE(bad.substr(0, 200));
            TestGateway gateway;
            auto client = gateway.connect_client(bad);
            CHECK((gateway.transport.sent[client].starts_with("HTTP/1.1 4") ||
                   gateway.transport.sent[client].starts_with("HTTP/1.1 501")));
            CHECK(gateway.transport.closed.contains(client));
            CHECK(gateway.core.request_count() == 0);
            CHECK(gateway.core.clients().open_count() == 0);
        }
    }
    TEST_CASE("an id that is open, or was, is refused without being told") {
        TestGateway gateway;
        gateway.connect_client(read_request("t1"));
        auto client = gateway.connect_client(read_request("t1"));
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 409 "));
        CHECK(gateway.core.request_count() == 1);
    }
    TEST_CASE("who says nothing, or does not come to an end, is closed within its time") {
        TestGateway gateway;
        auto silent = gateway.connect_client(""),
             half = gateway.connect_client("GET /read HTTP/1.1\r\nHost"),
             body = gateway.connect_client(
                 write_request("t1", "xyz").substr(0, write_request("t1", "xyz").size() - 1));
        auto full = gateway.connect_client(read_request("t2"));
        for (auto later : {sec, sec - ms})
            gateway.settle(later);
        CHECK(!gateway.transport.closed.contains(silent));
        gateway.settle(ms);
        CHECK(gateway.transport.closed.contains(silent));
        gateway.settle(699 * ms);
        CHECK(!gateway.transport.closed.contains(body));
        gateway.settle(ms);
        CHECK(gateway.transport.closed.contains(half));
        CHECK(gateway.transport.closed.contains(body));
        CHECK(gateway.transport.sent[half].starts_with("HTTP/1.1 408 "));
        CHECK(gateway.transport.sent[full].starts_with("HTTP/1.1 503 "));
    }
    // Two slow requests of a short zone day were cut off after 2 s.
    TEST_CASE("who says something late has no more time than who does at once; who was answered "
              "before has longer") {
        TestGateway gateway;
        auto late = gateway.connect_client("");
        auto slow = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        gateway.settle(1900 * ms);
        gateway.core.received(gateway.now, late, "GET /read");
        gateway.core.received(gateway.now, slow, read_request("t1").substr(0, 30));
        gateway.settle(800 * ms);
        CHECK(gateway.transport.closed.contains(late));
        gateway.send_heartbeat();
        gateway.settle(2 * sec);
        gateway.send_heartbeat();
        gateway.settle(2100 * ms);
        CHECK(!gateway.transport.closed.contains(slow));
        gateway.core.received(gateway.now, slow, read_request("t1").substr(30));
        gateway.settle();
        CHECK(gateway.core.request_count() == 1);
        gateway.send_heartbeat();
        auto endless = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\nGET");
        gateway.settle(5 * sec);
        CHECK(gateway.transport.sent[endless].find("HTTP/1.1 408 ") != std::string::npos);
    }
    TEST_CASE("a connection that asked once and stays is closed, so that others find room") {
        TestGateway gateway;
        auto client = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        gateway.settle(2 * sec);
        CHECK(!gateway.transport.closed.contains(client));
        gateway.settle(500 * ms);
        CHECK(gateway.transport.closed.contains(client));
    }
    TEST_CASE("requests sent at once are served one at a time, in order") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1") + read_request("t2") +
                                             "GET /healthz HTTP/1.1\r\n\r\n");
        CHECK(gateway.core.request_count() == 1);
        gateway.respond_to_attempt("one");
        CHECK(gateway.core.request_count() == 1);
        gateway.respond_to_attempt("two");
        CHECK(gateway.transport.sent[client] ==
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 "
              "OK\r\nContent-Length: 3\r\n\r\ntwo"
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    // Reading used to stop at a bound: from then on its leaving was not seen, and its requests were
    // sent on.
    TEST_CASE("who sends far ahead is read on, so that its leaving shows; what is past the bound "
              "is not kept") {
        for (bool leaves : {false, true}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            for (int i = 0; i < 100; ++i)
                gateway.core.received(gateway.now, client, std::string(20000, 'x'));
            if (leaves) {
                gateway.disconnect(client);
                CHECK(gateway.transport.closed.contains(node));
                CHECK(gateway.core.request_count() == 0);
                continue;
            }
            gateway.receive_from_node(node, http_response(200, "one"));
            CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 200 "));
            CHECK(gateway.transport.closed.contains(client)); // what came behind is no request
        }
    }
    TEST_CASE("past the bound of what is sent ahead, nothing that was cut is read as one request") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        std::string ahead;
        for (int i = 0; ahead.size() < 70'000; ++i)
            ahead += read_request("a" + std::to_string(i));
        gateway.core.received(gateway.now, client, ahead);
        gateway.core.received(gateway.now, client,
                              read_request("cut") + std::string(4000, 'x') + "\r\n\r\n" +
                                  read_request("late"));
        gateway.core.received(gateway.now, client, read_request("later"));
        gateway.receive_from_node(node, http_response(200, "x"), 100 * us);
        for (int i = 0; i < 400 && !gateway.transport.closed.contains(client); ++i)
            gateway.respond_to_attempt("x", 100 * us);
        CHECK(gateway.transport.closed.contains(client));
        for (auto &[conn, sent] : gateway.transport.sent) {
            if (!gateway.transport.address_of(conn).starts_with('n'))
                continue;
            CHECK(!contains(sent, "X-Trace-Id: late"));
            CHECK(!contains(sent, "X-Trace-Id: cut"));
        }
    }
    TEST_CASE(
        "past that bound, a request that was cut is refused at once, not when its time is up") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, client, read_request("cut").substr(0, 40));
        gateway.core.received(gateway.now, client, std::string(80'000, 'x'));
        gateway.receive_from_node(node, http_response(200, "one"));
        CHECK(contains(gateway.transport.sent[client], "HTTP/1.1 200 "));
        CHECK(contains(gateway.transport.sent[client], "HTTP/1.1 413 "));
        CHECK(gateway.transport.half_closed.contains(client));
    }
    TEST_CASE("past its bound an idle connection goes before one that just came, whose request may "
              "wait unread") {
        TestGateway gateway;
        std::vector<ConnectionId> idle(140);
        for (auto &client : idle)
            client = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        std::vector<ConnectionId> fresh(60);
        for (auto &client : fresh)
            client = *gateway.core.client_connected(gateway.now += us);
        for (auto client : fresh)
            CHECK(!gateway.transport.closed.contains(client));
        CHECK(gateway.transport.closed.contains(idle.front()));
    }
    TEST_CASE(
        "past its bound of connections the silent go first; one with an open request never does") {
        TestGateway gateway;
        auto asks = gateway.connect_client(read_request("t1"));
        std::vector<ConnectionId> silent(400);
        for (auto &client : silent)
            client = *gateway.core.client_connected(gateway.now += us);
        auto late = gateway.connect_client(read_request("t2"));
        CHECK(gateway.core.clients().open_count() < 200);
        CHECK(!gateway.transport.closed.contains(asks));
        CHECK(!gateway.transport.closed.contains(late));
        CHECK(gateway.transport.closed.contains(silent.front()));
        CHECK(gateway.core.request_count() == 2);
    }
}

TEST_SUITE("discovery") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    TEST_CASE("watches from the list as last had; a change counts; silence and an end make it "
              "watch again") {
        TestGateway gateway;
        auto d = gateway.transport.connection_to("d1");
        CHECK(contains(gateway.transport.sent[d], "GET /v1/servers?stream=1&index=41 "));
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        gateway.connect_client(read_request("t1"));
        CHECK(gateway.transport.connection_to("n9").value != 0);
        gateway.core.disconnected(gateway.now, d, CloseReason::end_of_stream);
        gateway.settle(100 * ms);
        CHECK(gateway.transport.connection_to("d1") != d);
        d = gateway.transport.connection_to("d1");
        gateway.core.connected(gateway.now, d);
        CHECK(contains(gateway.transport.sent[d], "index=42 "));
        gateway.core.received(gateway.now, d, head + http_chunk("\n"));
        gateway.settle(3 * sec - ms);
        CHECK(gateway.transport.connection_to("d1") == d);
        gateway.settle(ms);
        auto beside = gateway.transport.connection_to("d1");
        CHECK(beside != d);
        CHECK(!gateway.transport.closed.contains(d)); // it may speak yet
        gateway.core.connected(gateway.now, beside);
        gateway.core.received(gateway.now, beside, head + http_chunk("\n"));
        CHECK(gateway.transport.closed.contains(d));
    }
    TEST_CASE("a list with a fault changes nothing at all; an older one neither") {
        TestGateway gateway;
        auto d = gateway.transport.connection_to("d1");
        gateway.send_endpoint_list(endpoint_list_json(40, ""));
        gateway.send_endpoint_list(
            endpoint_list_json(50, endpoint_json("s1", "n9", 5) + R"(,{"instanceId":7})"));
        CHECK(gateway.transport.logged_events.size() == 1);
        CHECK(gateway.transport.closed.contains(d));
        gateway.connect_client(read_request("t1"));
        CHECK(gateway.transport.connection_to("n1").value != 0);
        CHECK(gateway.transport.connection_to("n9").value == 0);
    }
    TEST_CASE("a new address takes over once it speaks; the old one counts until then") {
        TestGateway gateway;
        auto old = gateway.transport.connection_to("d1");
        gateway.core.set_discovery_address(gateway.now, "d2");
        auto fresh = gateway.transport.connection_to("d2");
        CHECK(!gateway.transport.closed.contains(old));
        gateway.core.connected(gateway.now, fresh);
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        gateway.core.received(gateway.now, fresh, head + http_chunk("\n"));
        CHECK(gateway.transport.closed.contains(old));
        gateway.connect_client(read_request("t1"));
        CHECK(gateway.transport.connection_to("n9").value != 0);
        gateway.core.set_discovery_address(gateway.now, "d2"); // told the same again: it stays
        CHECK(!gateway.transport.closed.contains(fresh));
    }
    TEST_CASE("nothing more goes to a node that drains, and its idle connections close") {
        TestGateway gateway;
        gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.send_endpoint_list(
            endpoint_list_json(42, endpoint_json("s1", "n1", 5, "left"), false));
        gateway.settle();
        CHECK(gateway.transport.closed.contains(node));
        auto client = gateway.connect_client(read_request("t2"));
        gateway.settle(200 * ms);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
    }
}

TEST_SUITE("life") {
    TEST_CASE("a stop serves on until just before it may be killed: the longest client timeout and "
              "0.7 s later") {
        TestGateway gateway; // the longest client timeout is 1.5 s: killed 2.2 s after the stop at
                             // the soonest
        auto idle = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        auto told = gateway.now;
        gateway.core.stop(gateway.now);
        gateway.settle(50 * ms);
        auto client = gateway.connect_client(read_request("t1")), node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        CHECK(gateway.transport.sent[client].ends_with("one"));
        gateway.settle(1300 * ms);
        gateway.core.received(gateway.now, client, read_request("t2", "", "1.400"));
        gateway.settle();
        gateway.receive_from_node(node, http_response(200, "two"));
        CHECK(!gateway.transport.closed.contains(
            client)); // there is no other way in until this one is back
        gateway.settle(100 * ms);
        gateway.core.received(
            gateway.now, client,
            read_request("t3", "", "1.400")); // may be answered until this ends, no later
        while (gateway.now < told + 1700 * ms) {
            CHECK(!gateway.transport.closed.contains(idle)); // a request may be on its way on it
            gateway.settle(5 * ms);
        }
        // Then it ends, in order: a request that crosses its end is read and neither taken nor
        // reset.
        CHECK(gateway.transport.half_closed.contains(idle));
        gateway.core.received(gateway.now, idle, read_request("t4"));
        gateway.settle(ms);
        CHECK(!contains(gateway.transport.sent[node], "t4"));
        CHECK(gateway.transport.half_closed.contains(idle));
        while (!gateway.core.stopped() && gateway.now < told + 2200 * ms)
            gateway.settle(5 * ms);
        CHECK(gateway.transport.sent[client].find("Connection: close\r\n") != std::string::npos);
        CHECK(gateway.transport.closed.contains(client));
        CHECK(gateway.now <= told + 2000 * ms);
    }
    TEST_CASE("fresh ids, connections and nodes all day leave nothing behind") {
        TestGateway gateway;
        for (int i = 0; i < 300; ++i) {
            auto client = gateway.connect_client(read_request("t" + std::to_string(i)));
            gateway.receive_from_node(gateway.connect_node(),
                                      http_response(200, "x", "Connection: close\r\n"));
            gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
            gateway.settle(20 * ms);
        }
        CHECK(gateway.core.request_count() == 0);
        CHECK(gateway.core.clients().open_count() == 0);
        CHECK(gateway.core.pool().connection_count() == 0);
    }
}

// A class without a deadline was taken with one of 0 s: a stop ended at once. Without a connect
// timeout none came up.
TEST_CASE(
    "settings: what a site may leave out has no bound, what it may not is told with its path") {
    TestGateway gateway("Permissions.ConnectTimeoutS=0\nPermissions.ConnIdleS=0\n");
    auto client = gateway.connect_client(read_request("t1"));
    auto node = gateway.connect_node(100 * ms);
    gateway.receive_from_node(node, http_response(200, "one"));
    CHECK(gateway.transport.sent[client].ends_with("one"));
    for (int i = 0; i < 20; ++i) {
        gateway.settle(sec);
        gateway.send_heartbeat();
    }
    CHECK(!gateway.transport.closed.contains(node));
    for (std::string wrong :
         {"Classes.1.DeadlineS=0", "Classes.1.DeadlineS=-1", "Permissions.ConnIdleS=-1"})
        CHECK_THROWS_WITH_AS(TestGateway{wrong + "\n"},
                             doctest::Contains(wrong.substr(0, wrong.find('=')).c_str()),
                             scheduler_setup::MalformedInput);
    auto usual = settings_text();
    const std::string target = "Classes.0.TargetS=0.15\n";
    usual.erase(usual.find(target), target.size());
    TestGateway other_gateway("", usual);
    client = other_gateway.connect_client(read_request("t1"));
    other_gateway.receive_from_node(other_gateway.connect_node(), http_response(200, "one"),
                                    200 * ms); // in time until its deadline
    CHECK(other_gateway.transport.sent[client].ends_with("one"));
    std::vector<ConnectionId> wait(8);
    for (std::size_t i = 0; i < wait.size(); ++i)
        wait[i] = other_gateway.connect_client(read_request("w" + std::to_string(i)));
    other_gateway.settle(20 * ms);
    CHECK(other_gateway.core.request_count() == wait.size()); // none is late yet
}
