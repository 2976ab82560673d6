// Races between two events on the connections of clients and nodes. The test delivers the events to
// the core in a chosen order. A comment before a case names the failure that it guards against.
// Races that need real sockets are in loopback_test.cpp, those of discovery in discovery_test.cpp.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

std::size_t count_occurrences(const std::string &text, const std::string &part) {
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos;
         position = text.find(part, position + part.size()))
        ++count;
    return count;
}

// Whether the request with this trace id was sent to the node on this connection.
bool was_sent(TestGateway &gateway, ConnectionId node, const std::string &trace_id) {
    return contains(gateway.transport.sent[node], "X-Trace-Id: " + trace_id + "\r\n");
}
const std::string no_cancellation = "Permissions.Cancel=false\n";

} // namespace

TEST_SUITE("races with the disconnect of a client") {
    // Without permission to cancel attempts, an attempt was sent 0.22 s after the client had
    // disconnected, because its connection was established late.
    TEST_CASE("an attempt whose connection is not established when the client disconnects is never "
              "sent") {
        for (auto &settings : {std::string(), no_cancellation}) {
            TestGateway gateway(settings);
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.transport.connection_to("n1");
            gateway.disconnect(client);
            CHECK(gateway.transport.closed.contains(node));
            gateway.core.connected(gateway.now += 200 * ms, node); // races with the close
            gateway.settle(ms);
            CHECK(!was_sent(gateway, node, "t1"));
            CHECK(gateway.core.request_count() == 0);
            CHECK(gateway.core.pool().connection_count() == 0);
        }
    }
    TEST_CASE(
        "a request queued in the same moment in which the client disconnects is not written") {
        TestGateway gateway(no_cancellation);
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.transport.connection_to("n1");
        gateway.core.connected(gateway.now, node);
        // Before the end of the moment, when the queued bytes would be written.
        gateway.core.disconnected(gateway.now, client, CloseReason::reset);
        gateway.settle();
        CHECK(gateway.transport.closed.contains(node));
        CHECK(gateway.core.pool().attempts_in_flight() == 0);
    }
    TEST_CASE("a request that is partly written when the client disconnects is never completed") {
        TestGateway gateway(no_cancellation);
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
    TEST_CASE(
        "without permission to cancel, a written attempt continues after the client disconnects") {
        TestGateway gateway(no_cancellation);
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.disconnect(client);
        CHECK(!gateway.transport.closed.contains(node));
        CHECK(gateway.core.pool().attempts_in_flight() == 1);
        gateway.receive_from_node(node, http_response(200, "late"));
        CHECK(gateway.core.request_count() == 0);
        CHECK(gateway.transport.sent[client].empty());
    }
    TEST_CASE("no further attempt is started after the client disconnects") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        // A further attempt becomes due at the end of the moment.
        gateway.core.received(gateway.now, node, http_response(500, ""));
        gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
        gateway.settle();
        gateway.settle(20 * ms);
        CHECK(count_occurrences(gateway.transport.sent[node], "t1") == 1);
        CHECK(gateway.transport.connection_to("n1") == node);
        TestGateway other_gateway;
        std::vector<ConnectionId> clients(12);
        for (std::size_t i = 0; i < clients.size(); ++i)
            clients[i] = other_gateway.connect_client(read_request("w" + std::to_string(i)));
        auto connects_before = other_gateway.transport.connect_calls.size();
        for (auto waiting_client : clients)
            other_gateway.core.disconnected(other_gateway.now, waiting_client,
                                            CloseReason::end_of_stream);
        other_gateway.settle(50 * ms);
        CHECK(other_gateway.transport.connect_calls.size() == connects_before);
        CHECK(other_gateway.core.request_count() == 0);
    }
    TEST_CASE("a client that disconnects in the moment of its response gets nothing, and no state "
              "remains") {
        for (bool response_first : {false, true}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            if (response_first)
                gateway.core.received(gateway.now, node, http_response(200, "one"));
            gateway.core.disconnected(gateway.now, client, CloseReason::end_of_stream);
            if (!response_first)
                gateway.core.received(gateway.now, node, http_response(200, "one"));
            gateway.settle();
            CHECK(gateway.transport.sent[client].empty());
            CHECK(gateway.core.request_count() == 0);
            CHECK(gateway.core.clients().count() == 0);
        }
    }
    // A pipelined request got its full timeout again when its turn came, so nodes were sent a
    // longer timeout than was left.
    TEST_CASE("the timeout of a pipelined request starts when its bytes arrive") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, client, read_request("t2", "", "0.500"));
        gateway.receive_from_node(node, http_response(200, "one"), 100 * ms);
        auto second_connection = gateway.connect_node();
        REQUIRE(was_sent(gateway, second_connection, "t2"));
        CHECK(contains(gateway.transport.sent[second_connection], "X-Expires-In: 0.400000\r\n"));
    }
}

TEST_SUITE("races with the end of the repeat window") {
    // A further attempt was decided within the window but its connection was established after it,
    // and the write took effect twice.
    TEST_CASE("a further attempt whose connection is established after the window is not sent, and "
              "the request fails") {
        for (bool after_window : {false, true}) {
            TestGateway gateway("Classes.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
            auto client = gateway.connect_client(write_request("t1", "x"));
            auto node = gateway.connect_node();
            gateway.settle(120 * ms);
            gateway.core.disconnected(gateway.now, node, CloseReason::reset);
            gateway.settle();
            auto retry_connection = gateway.transport.connection_to("n1");
            REQUIRE(retry_connection != node);
            gateway.core.connected(gateway.now += after_window ? 80 * ms : 50 * ms,
                                   retry_connection);
            gateway.settle();
            CHECK(was_sent(gateway, retry_connection, "t1") == !after_window);
            if (after_window)
                CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 502 "));
        }
    }
    struct Effect {
        std::string idempotency;
        std::string group;
    };

    // Ends the attempt in flight with the given outcome, `delay` after its start.
    void end_attempt(TestGateway & gateway, ConnectionId node, const std::string &outcome,
                     Time delay) {
        auto &core = gateway.core;
        if (outcome == "connect refused") {
            gateway.settle(delay);
            core.connect_failed(gateway.now, node);
            return;
        }
        core.connected(gateway.now, node);
        if (outcome == "partly written") {
            core.sent(gateway.now, node, 500);
            gateway.transport.unwritten_bytes.clear();
        }
        gateway.settle(delay);
        if (outcome == "reset" || outcome == "partly written")
            core.disconnected(gateway.now, node, CloseReason::reset);
        else
            core.received(gateway.now, node,
                          http_response(outcome == "500" ? 500 : 503, "",
                                        outcome == "not executed" ? "X-Never-Ran: 1\r\n" : ""));
    }

    // Establishes the connection of a further attempt, if one was started, and returns how many
    // attempts were sent in total.
    std::size_t count_sent_attempts(TestGateway & gateway, ConnectionId first_connection) {
        auto latest = gateway.transport.connection_to("n1");
        if (latest != first_connection) {
            gateway.core.connected(gateway.now, latest);
            gateway.settle();
        }
        std::size_t attempts =
            count_occurrences(gateway.transport.sent[first_connection], "X-Trace-Id: t1\r\n");
        if (latest != first_connection)
            attempts += count_occurrences(gateway.transport.sent[latest], "X-Trace-Id: t1\r\n");
        return attempts;
    }

    void check_further_attempts(const Effect &effect, const std::string &outcome,
                                bool after_window) {
        CAPTURE(effect.idempotency + " " + effect.group + ", " + outcome +
                (after_window ? ", after the window" : ", within the window"));
        TestGateway gateway("Classes.1.Effect=" + effect.idempotency +
                            "\nClasses.1.Group=" + effect.group +
                            "\nClasses.1.RepeatWindowS=0.2\nClasses.1.TargetS=0.8\n");
        auto client = gateway.connect_client(write_request("t1", std::string(1000, 'x')));
        auto node = gateway.transport.connection_to("n1");
        end_attempt(gateway, node, outcome, after_window ? 210 * ms : 5 * ms);
        gateway.settle();
        gateway.settle(60 * ms); // an overloaded node is avoided for a moment
        std::size_t attempts = count_sent_attempts(gateway, node);

        bool never_executed = outcome == "not executed" || outcome == "partly written" ||
                              outcome == "connect refused";
        std::size_t first_attempts = outcome == "connect refused" ? 0 : 1;
        bool may_retry = never_executed || effect.idempotency == "idempotent" ||
                         (effect.idempotency == "deduplicated" && !after_window);
        CHECK(attempts <= first_attempts + may_retry);
        if (!may_retry)
            CHECK(attempts == first_attempts);
        gateway.settle(2 * sec);

        // Status 503 tells the client that it may safely send the request again.
        bool safe_to_repeat =
            attempts == 0 || effect.idempotency == "idempotent" || effect.group == "all";
        if (effect.idempotency == "at_most_once")
            safe_to_repeat = never_executed && attempts == first_attempts;
        if (!safe_to_repeat)
            CHECK(!contains(gateway.transport.sent[client], "HTTP/1.1 503 "));
        CHECK(gateway.core.request_count() == 0);
    }

    TEST_CASE("a further attempt is sent only where it can't take effect twice, for every effect, "
              "group and outcome") {
        const Effect effects[] = {{"idempotent", "all"},
                                  {"deduplicated", "all"},
                                  {"deduplicated", "zone"},
                                  {"deduplicated", "cell"},
                                  {"at_most_once", "all"}};
        for (const auto &effect : effects)
            for (const char *outcome :
                 {"500", "503", "not executed", "reset", "partly written", "connect refused"})
                for (bool after_window : {false, true})
                    check_further_attempts(effect, outcome, after_window);
    }
}

TEST_SUITE("the close of a client's connection") {
    // Closing a socket with unread received bytes resets the connection, and the client may lose
    // the response.
    TEST_CASE("the gateway closes its sending side first, discards later bytes, and waits briefly "
              "for the client to close") {
        for (bool client_closes : {true, false}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1", "Connection: close\r\n"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, http_response(200, "one"));
            CHECK(gateway.transport.sent[client].ends_with("one"));
            CHECK(gateway.transport.half_closed.contains(client));
            gateway.core.received(gateway.now, client, read_request("t2"));
            gateway.settle();
            CHECK(gateway.core.request_count() == 0);
            CHECK(!was_sent(gateway, node, "t2"));
            CHECK(gateway.core.clients().open_count() == 0);
            CHECK(gateway.core.clients().count() == 1);
            if (client_closes) {
                gateway.disconnect(client);
            } else {
                gateway.settle(499 * ms);
                CHECK(gateway.transport.half_closed.contains(client));
                gateway.settle(ms);
                CHECK(!gateway.transport.half_closed.contains(client)); // closed fully
            }
            CHECK(gateway.core.clients().count() == 0);
        }
    }
    TEST_CASE("the wait for the client's close begins only once its last response is written") {
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
    TEST_CASE(
        "a client that keeps sending after the gateway has finished sending is disconnected") {
        TestGateway gateway;
        auto client = gateway.connect_client("GET /none HTTP/1.1\r\nHost: s\r\n\r\n");
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 404 "));
        CHECK(gateway.transport.half_closed.contains(client));
        for (int i = 0; i < 17; ++i)
            gateway.core.received(gateway.now, client, std::string(65536, 'x'));
        CHECK(!gateway.transport.half_closed.contains(client));
        CHECK(gateway.core.clients().count() == 0);
    }
    TEST_CASE("a request that races with the close of an idle connection is not accepted") {
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
    // One more connection would use a descriptor that nodes and discovery need.
    TEST_CASE("a new client is accepted at the limit only if a connection that is being closed can "
              "be dropped") {
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
        gateway.settle(200 * ms); // some get a response and stay connected
        gateway.core.received(gateway.now, open[0], "noise\r\n\r\n");
        gateway.settle();
        CHECK(gateway.core.client_connected(gateway.now));
        CHECK(gateway.core.clients().count() <= open.size());
    }
}

TEST_SUITE("races with the graceful shutdown") {
    // Advances the clock in steps, as the event loop does.
    Time advance_until(TestGateway & gateway, Time end) {
        while (gateway.now < end)
            gateway.settle(std::min<Time>(5 * ms, end - gateway.now));
        return gateway.now;
    }
    TEST_CASE("a second stop has no effect, and a request split by the stop or pipelined after it "
              "is answered") {
        // The process is killed 2.2 s after the stop at the earliest. Idle connections are
        // closed 1.7 s after the stop.
        TestGateway gateway;
        auto split_request = read_request("two");
        auto client = gateway.connect_client(split_request.substr(0, 60));
        auto pipelining_client = gateway.connect_client("");
        auto stopped_at = gateway.now;
        gateway.core.stop(gateway.now);
        gateway.core.stop(gateway.now += 400 * ms);
        gateway.core.received(gateway.now, client, split_request.substr(60));
        gateway.settle();
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "two"));
        CHECK(gateway.transport.sent[client].ends_with("two"));
        advance_until(gateway, stopped_at + 1450 * ms);
        gateway.core.received(gateway.now, pipelining_client,
                              read_request("m1", "", "0.400") + read_request("m2", "", "0.400"));
        gateway.settle();
        gateway.respond_to_attempt("m-one");
        // Its second request was accepted.
        CHECK(!gateway.transport.closed.contains(pipelining_client));
        gateway.respond_to_attempt("m-two");
        CHECK(contains(gateway.transport.sent[pipelining_client], "m-one"));
        CHECK(gateway.transport.sent[pipelining_client].ends_with("m-two"));
        CHECK(gateway.transport.half_closed.contains(pipelining_client));
        advance_until(gateway, stopped_at + 2000 * ms);
        CHECK(gateway.core.stopped());
    }
    TEST_CASE(
        "requests at a hung or unreachable node are answered before the process may be killed") {
        for (bool connection_established : {false, true}) {
            TestGateway gateway;
            auto stopped_at = gateway.now;
            gateway.core.stop(gateway.now);
            advance_until(gateway, stopped_at + 1200 * ms);
            auto client = gateway.connect_client(write_request("t1", "x"));
            if (connection_established)
                gateway.connect_node();
            advance_until(gateway, stopped_at + 2000 * ms);
            CHECK(gateway.transport.sent[client].starts_with(
                connection_established ? "HTTP/1.1 50" : "HTTP/1.1 503"));
            CHECK(gateway.core.stopped());
            CHECK(gateway.core.request_count() == 0);
        }
    }
    TEST_CASE("a client that connects after idle connections were closed is closed too, and its "
              "request is not accepted") {
        TestGateway gateway;
        auto stopped_at = gateway.now;
        auto idle_client = gateway.connect_client("GET /healthz HTTP/1.1\r\n\r\n");
        gateway.core.stop(gateway.now);
        advance_until(gateway, stopped_at + 1750 * ms);
        CHECK(gateway.transport.half_closed.contains(idle_client));
        auto late_client = gateway.connect_client("");
        advance_until(gateway, stopped_at + 1800 * ms);
        CHECK(gateway.transport.half_closed.contains(late_client));
        gateway.core.received(gateway.now, late_client, read_request("t1"));
        gateway.settle();
        CHECK(gateway.core.request_count() == 0);
        gateway.disconnect(idle_client);
        gateway.disconnect(late_client);
        gateway.settle(ms);
        CHECK(gateway.core.stopped()); // early, as no client is connected
    }
}

TEST_SUITE("races with the close of a node's connection") {
    TEST_CASE(
        "a response without a length is completed by the end of the stream, but not by a reset") {
        for (CloseReason reason : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\nX-Store: 1\r\n\r\nthe bo");
            gateway.receive_from_node(node, "dy");
            CHECK(gateway.transport.sent[client].empty());
            gateway.core.disconnected(gateway.now, node, reason);
            gateway.settle(3 * ms);
            if (reason == CloseReason::end_of_stream)
                CHECK(gateway.transport.sent[client] ==
                      "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body");
            else
                CHECK(!contains(gateway.transport.sent[client], "the bo"));
        }
        // A write whose response was cut off by a reset may have been executed, and the node would
        // drop its repetition. It is attempted again or fails; it is neither answered nor rejected.
        TestGateway gateway;
        auto client = gateway.connect_client(write_request("t1", "x"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\n\r\nthe bo");
        gateway.core.disconnected(gateway.now, node, CloseReason::reset);
        gateway.settle(3 * sec);
        CHECK(!gateway.transport.sent[client].starts_with("HTTP/1.1 200"));
        CHECK(!gateway.transport.sent[client].starts_with("HTTP/1.1 503"));
    }
    TEST_CASE("a response that ends before its announced length is never passed on") {
        for (CloseReason reason : {CloseReason::end_of_stream, CloseReason::reset}) {
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.connect_node();
            gateway.receive_from_node(node, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe bo");
            gateway.core.disconnected(gateway.now, node, reason);
            gateway.settle(sec);
            CHECK(!contains(gateway.transport.sent[client], "the bo"));
        }
    }
    TEST_CASE("a write is attempted again at once if its connection is lost before its last byte "
              "is written") {
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
    TEST_CASE("an attempt that races with the close of an idle connection uses a new connection") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.settle(10 * ms);
        // The attempt would be sent on the idle connection at the end of the moment.
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.core.disconnected(gateway.now, node, CloseReason::end_of_stream);
        gateway.settle();
        CHECK(!was_sent(gateway, node, "t2"));
        CHECK(gateway.transport.connection_to("n1") != node);
        CHECK(was_sent(gateway, gateway.connect_node(), "t2"));
    }
    // The second response would be taken for the response to the next request.
    TEST_CASE("a connection that has just received a response is not reused, so that a second "
              "response is not misattributed") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.settle();
        CHECK(!was_sent(gateway, node, "t2"));
        gateway.receive_from_node(node, http_response(200, "one"), 4 * ms);
        CHECK(gateway.transport.closed.contains(node));
        auto other_connection = gateway.connect_node();
        CHECK(was_sent(gateway, other_connection, "t2"));
        gateway.receive_from_node(other_connection, http_response(200, "two"));
        CHECK(gateway.transport.sent[client].ends_with("two"));
        CHECK(count_occurrences(gateway.transport.sent[client], "one") == 1);
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client, read_request("t3"));
        gateway.settle();
        CHECK(was_sent(gateway, other_connection, "t3"));
    }
    TEST_CASE(
        "bytes received on an idle connection close it and are not taken for the next response") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.receive_from_node(node, http_response(200, "one"));
        gateway.settle(10 * ms);
        gateway.core.received(gateway.now, client, read_request("t2"));
        gateway.core.received(gateway.now, node, "HTTP/1.1 200 O");
        gateway.settle();
        CHECK(gateway.transport.closed.contains(node));
        CHECK(!was_sent(gateway, node, "t2"));
        CHECK(was_sent(gateway, gateway.connect_node(), "t2"));
    }
}

TEST_SUITE("races with a change of the endpoint list") {
    // The connection pool was not notified of draining nodes: their idle connections stayed open,
    // and attempts that were connecting were sent.
    TEST_CASE("an attempt that is connecting is not sent to a node that drains, leaves or changes "
              "its address") {
        struct {
            std::string list;
            std::string new_address; // empty if no node is left
        } cases[] = {
            {endpoint_json("s1", "n1", 5, "leaving"), ""},
            {endpoint_json("s1", "n1", 5, "left"), ""},
            {endpoint_json("s1", "n9", 5), "n9"},
            {endpoint_json("s1", "n1", 5, "leaving") + "," + endpoint_json("s2", "n2", 5), "n2"}};
        for (const auto &change : cases) {
            const auto &list = change.list;
            const auto &new_address = change.new_address;
            CAPTURE(list);
            TestGateway gateway;
            auto client = gateway.connect_client(read_request("t1"));
            auto node = gateway.transport.connection_to("n1");
            gateway.settle(20 * ms);
            gateway.send_endpoint_list(endpoint_list_json(42, list, false));
            gateway.settle();
            CHECK(gateway.transport.closed.contains(node));
            gateway.core.connected(gateway.now += ms, node); // races with the list
            gateway.settle();
            CHECK(!was_sent(gateway, node, "t1"));
            if (new_address.empty()) {
                gateway.settle(200 * ms);
                CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
            } else {
                REQUIRE(gateway.transport.connection_to(new_address).value != 0);
                gateway.core.connected(gateway.now, gateway.transport.connection_to(new_address));
                gateway.settle();
                CHECK(was_sent(gateway, gateway.transport.connection_to(new_address), "t1"));
            }
        }
    }
    TEST_CASE("an attempt in flight at a node that drains is answered, and its connection is "
              "closed afterwards") {
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
    TEST_CASE("a further attempt that becomes due when its node drains is not sent there") {
        TestGateway gateway;
        auto client = gateway.connect_client(read_request("t1"));
        auto node = gateway.connect_node();
        gateway.core.received(gateway.now, node, http_response(500, ""));
        gateway.send_endpoint_list(
            endpoint_list_json(42, endpoint_json("s1", "n1", 5, "leaving"), false));
        gateway.settle();
        gateway.settle(200 * ms);
        CHECK(count_occurrences(gateway.transport.sent[node], "t1") == 1);
        CHECK(gateway.transport.connection_to("n1") == node);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
    }
}
