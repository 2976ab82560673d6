// The watch at discovery, tested on the core with events that the test delivers: silence, resets,
// rejected requests, formats of lists, changes of discovery's address, and the start of a process.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

// Sends a request and returns whether the gateway has connected to that address.
bool routes_to(TestGateway &gateway, const std::string &trace_id, const std::string &address) {
    gateway.connect_client(read_request(trace_id));
    return gateway.transport.connection_to(address).value != 0;
}
std::string leaving_node() {
    return endpoint_json("s1", "n1", 5, "leaving");
}
// A delta list in which the node has moved to n9.
std::string moved_node_list() {
    return endpoint_list_json(42, endpoint_json("s1", "n9", 5), false);
}
// Establishes the latest connection to an address and delivers bytes from it.
void connect_and_receive(TestGateway &gateway, const std::string &address,
                         const std::string &bytes) {
    auto connection = gateway.transport.connection_to(address);
    gateway.core.connected(gateway.now, connection);
    gateway.settle();
    gateway.core.received(gateway.now, connection, bytes);
    gateway.settle();
}
// Advances the clock in steps, as the event loop does, until the core starts one more connection,
// or by `timeout`. Returns the time that has passed.
Time wait_for_connect(TestGateway &gateway, Time timeout) {
    auto started_at = gateway.now,
         connects_before = static_cast<Time>(gateway.transport.connect_calls.size());
    while (gateway.transport.connect_calls.size() == static_cast<std::size_t>(connects_before) &&
           gateway.now < started_at + timeout)
        gateway.settle(5 * ms);
    return gateway.now - started_at;
}

} // namespace

TEST_SUITE("formats of endpoint lists") {
    // An indented list was rejected as "not a JSON object": the watch was closed, and the gateway
    // never got a list.
    TEST_CASE("an indented list that arrives in two pieces, cut at any byte, is applied once it is "
              "complete") {
        const std::string list =
            "{\n  \"generation\": 42,\n  \"reset\": false,\n  \"instances\": [\n    {\n      "
            "\"instanceId\": "
            "\"s1\",\n \"hostPort\": \"n\\u0039\", \"zone\": \"a\", \"cell\": 5,\n \"lifecycle\": "
            "\"active\", \"startedAtMs\": 0\n    }\n  ]\n}\n";
        const std::string body = http_chunk(list.substr(0, 18)) + http_chunk(list.substr(18));
        for (std::size_t cut = 1; cut < body.size(); cut += 3) {
            TestGateway gateway;
            auto watch = gateway.transport.connection_to("d1");
            gateway.core.received(gateway.now, watch, body.substr(0, cut));
            gateway.settle();
            gateway.core.received(gateway.now, watch, body.substr(cut));
            gateway.settle();
            REQUIRE(gateway.transport.logged_events.empty());
            REQUIRE(routes_to(gateway, "t1", "n9"));
        }
    }
    TEST_CASE("a complete response instead of a stream is applied, with or without a length") {
        for (bool has_length : {true, false}) {
            TestGateway gateway;
            gateway.core.disconnected(gateway.now, gateway.transport.connection_to("d1"),
                                      CloseReason::reset);
            gateway.settle(60 * ms);
            gateway.settle();
            connect_and_receive(gateway, "d1",
                                has_length ? http_response(200, moved_node_list())
                                           : "HTTP/1.1 200 OK\r\n\r\n" + moved_node_list());
            if (!has_length)
                gateway.disconnect(gateway.transport.connection_to("d1"));
            CHECK(routes_to(gateway, "t1", "n9"));
        }
    }
    TEST_CASE("a full list removes the nodes that it omits, and a list of an older generation is "
              "ignored") {
        TestGateway gateway;
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s2", "n2", 6)));
        auto client = gateway.connect_client(read_request("t1"));
        gateway.settle(200 * ms);
        CHECK(gateway.transport.connection_to("n1").value == 0);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
        gateway.send_endpoint_list(endpoint_list_json(41, endpoint_json("s1", "n1", 5)));
        CHECK(!routes_to(gateway, "t2", "n1"));
    }
}

TEST_SUITE("failures of a watch") {
    // The gateway is expected to know of a drain 6 s after its watch became silent. The drain's
    // grace period ends 250 ms later.
    TEST_CASE(
        "a silent watch is replaced within 3 s, and failed replacements are retried within 6 s") {
        for (bool connection_established : {false, true}) {
            CAPTURE(connection_established);
            TestGateway gateway; // has just received a blank line
            auto silent_since = gateway.now;
            wait_for_connect(gateway, 10 * sec);
            CHECK(gateway.now - silent_since <= 3005 * ms);
            for (int failures = 0; failures < 3; ++failures) {
                if (connection_established)
                    gateway.core.connected(gateway.now, gateway.transport.connection_to("d1"));
                wait_for_connect(gateway, 10 * sec);
            }
            CHECK(gateway.now - silent_since < 5500 * ms);
            connect_and_receive(
                gateway, "d1",
                watch_response_head +
                    http_chunk(endpoint_list_json(42, leaving_node(), false) + "\n"));
            auto client = gateway.connect_client(read_request("t1"));
            gateway.settle(200 * ms);
            CHECK(gateway.transport.connection_to("n1").value == 0);
            CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
        }
    }
    TEST_CASE("if a silent watch answers before its replacement, it stays and the replacement is "
              "closed") {
        TestGateway gateway;
        auto watch = gateway.transport.connection_to("d1");
        wait_for_connect(gateway, 10 * sec);
        auto replacement = gateway.transport.connection_to("d1");
        gateway.core.received(gateway.now, watch, http_chunk(moved_node_list() + "\n"));
        CHECK(gateway.transport.closed.contains(replacement));
        CHECK(!gateway.transport.closed.contains(watch));
        CHECK(routes_to(gateway, "t1", "n9"));
        // It becomes silent again and is replaced again.
        auto silent_since = gateway.now;
        wait_for_connect(gateway, 10 * sec);
        CHECK(gateway.now - silent_since <= 3005 * ms);
    }
    TEST_CASE("a watch that receives bytes but never a complete list counts as silent") {
        TestGateway gateway;
        auto watch = gateway.transport.connection_to("d1"), first_watch = watch;
        Time started_at = gateway.now;
        gateway.core.received(gateway.now, watch, http_chunk("{\"generation\":4"));
        while (gateway.transport.connection_to("d1") == first_watch &&
               gateway.now < started_at + 10 * sec) {
            gateway.settle(100 * ms);
            gateway.core.received(gateway.now, watch, http_chunk("2"));
        }
        CHECK(gateway.now - started_at <= 3200 * ms);
    }
    // Ends the latest connection of the watch with the given failure.
    void fail_watch(TestGateway & gateway, const std::string &failure) {
        auto connection = gateway.transport.connection_to("d1");
        auto &core = gateway.core;
        if (failure == "refused")
            return core.connect_failed(gateway.now, connection);
        core.connected(gateway.now, connection);
        if (failure == "reset")
            return core.disconnected(gateway.now, connection, CloseReason::reset);
        if (failure == "ended")
            return core.disconnected(gateway.now, connection, CloseReason::end_of_stream);
        std::string bytes;
        if (failure == "noise")
            bytes = "\x01\x02\r\n\r\n";
        else if (failure == "endless")
            bytes = watch_response_head + http_chunk("{\"a\":\"" + std::string(5 << 20, 'a'));
        else
            bytes = http_response(std::stoi(failure), "");
        core.received(gateway.now, connection, bytes);
    }
    TEST_CASE("after any failure of a connection or response, the watch reconnects within 155 ms") {
        for (std::string failure :
             {"reset", "ended", "refused", "429", "302", "noise", "endless"}) {
            CAPTURE(failure);
            TestGateway gateway;
            auto watch = gateway.transport.connection_to("d1");
            gateway.core.disconnected(gateway.now, watch,
                                      failure == "ended" ? CloseReason::end_of_stream
                                                         : CloseReason::reset);
            Time failed_at = gateway.now;
            for (int failures = 0; failures < 6; ++failures) {
                auto waited = wait_for_connect(gateway, 10 * sec);
                CHECK(waited <= 155 * ms);
                fail_watch(gateway, failure);
                gateway.settle();
            }
            CHECK(gateway.now - failed_at < sec);
        }
    }
    // Of 32 schedulers that reconnected within 50 ms, a shared discovery service rejected 13 all
    // day.
    TEST_CASE("at a shared service, first requests are spread, rejected ones back off, and a "
              "queued one is not repeated") {
        const std::string shared_service = "RegistryMode=on_request\nRules.AskWithinS=10\n";
        TestGateway gateway(shared_service);
        auto watch = gateway.transport.connection_to("d1");
        gateway.core.disconnected(gateway.now, watch, CloseReason::reset);
        Time lost_at = gateway.now;
        int requests = 0;
        while (gateway.now < lost_at + 20 * sec) {
            wait_for_connect(gateway, 10 * sec);
            ++requests;
            gateway.core.connected(gateway.now, gateway.transport.connection_to("d1"));
            gateway.core.received(gateway.now, gateway.transport.connection_to("d1"),
                                  http_response(429, ""));
        }
        CHECK(requests <= 20); // delays of at most 4 s, 2 s on average
        CHECK(requests >= 5);
        wait_for_connect(gateway, 10 * sec);
        auto queued_watch = gateway.transport.connection_to("d1");
        gateway.core.connected(gateway.now, queued_watch);
        // The request waits in the service's queue. Repeating it would cost the service one more.
        gateway.settle(2400 * ms);
        CHECK(gateway.transport.connection_to("d1") == queued_watch);
        std::set<Time> first_connect_times;
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            RecordingTransport transport;
            Core core(
                transport, [](SchedulerActions &actions) { return make_scheduler(actions, 7); },
                core_config(settings_text() + shared_service, seed));
            core.start(1000 * sec, endpoint_list_json(41, endpoint_json("s1", "n1", 5)), "d1");
            CHECK(transport.connect_calls.empty());
            first_connect_times.insert(core.next_due());
        }
        CHECK(first_connect_times.size() == 8);
        CHECK(*first_connect_times.rbegin() - *first_connect_times.begin() > 200 * ms);
        CHECK(*first_connect_times.rbegin() < 1001 * sec);
    }
}

TEST_SUITE("changes of discovery's address") {
    TEST_CASE("the old watch completes a partly received list, and the new watch takes over once "
              "it answers") {
        TestGateway gateway;
        auto old_watch = gateway.transport.connection_to("d1");
        auto list = moved_node_list() + "\n";
        gateway.core.received(gateway.now, old_watch, http_chunk(list.substr(0, 40)));
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.received(gateway.now, old_watch, http_chunk(list.substr(40)));
        gateway.settle();
        CHECK(routes_to(gateway, "t1", "n9"));
        connect_and_receive(gateway, "d2", watch_response_head + http_chunk("\n"));
        CHECK(contains(gateway.transport.sent[gateway.transport.connection_to("d2")], "index=42 "));
        CHECK(gateway.transport.closed.contains(old_watch));
    }
    TEST_CASE("a drain that both watches report, in either order, stays in effect") {
        for (bool old_first : {true, false}) {
            TestGateway gateway;
            auto old_watch = gateway.transport.connection_to("d1");
            gateway.core.set_discovery_address(gateway.now, "d2");
            gateway.core.connected(gateway.now, gateway.transport.connection_to("d2"));
            auto drain = http_chunk(endpoint_list_json(42, leaving_node(), false) + "\n");
            if (old_first)
                gateway.core.received(gateway.now, old_watch, drain);
            gateway.core.received(gateway.now, gateway.transport.connection_to("d2"),
                                  watch_response_head + drain);
            if (!old_first)
                gateway.core.received(gateway.now, old_watch, drain); // is closed already
            gateway.settle();
            CHECK(!routes_to(gateway, "t1", "n1"));
        }
    }
    TEST_CASE("an open watch stays in use until the watch at a new address answers") {
        TestGateway gateway;
        auto watch = gateway.transport.connection_to("d1");
        gateway.core.set_discovery_address(gateway.now, "d1");
        CHECK(gateway.transport.connection_to("d1") == watch);
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.set_discovery_address(gateway.now, "d3");
        CHECK(gateway.transport.closed.contains(gateway.transport.connection_to("d2")));
        for (int i = 0; i < 5; ++i) {
            gateway.core.connect_failed(gateway.now, gateway.transport.connection_to("d3"));
            gateway.settle(200 * ms);
        }
        CHECK(!gateway.transport.closed.contains(watch));
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        CHECK(routes_to(gateway, "t1", "n9"));
        gateway.core.set_discovery_address(gateway.now, "d1");
        CHECK(gateway.transport.closed.contains(gateway.transport.connection_to("d3")));
        CHECK(gateway.transport.connection_to("d1") == watch);
    }
    TEST_CASE(
        "if the old watch ends before the new one is connected, only the new address is tried") {
        TestGateway gateway;
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.disconnected(gateway.now, gateway.transport.connection_to("d1"),
                                  CloseReason::end_of_stream);
        auto connects_before = gateway.transport.connect_calls.size();
        gateway.core.connect_failed(gateway.now, gateway.transport.connection_to("d2"));
        gateway.settle(200 * ms);
        CHECK(gateway.transport.connect_calls.size() == connects_before + 1);
        connect_and_receive(gateway, "d2",
                            watch_response_head + http_chunk(moved_node_list() + "\n"));
        CHECK(routes_to(gateway, "t1", "n9"));
    }
    TEST_CASE("lists of an older generation are ignored, but after 12 s discovery counts as "
              "rebuilt and they are applied") {
        TestGateway gateway;
        gateway.send_endpoint_list(endpoint_list_json(42, leaving_node(), false));
        gateway.core.set_discovery_address(gateway.now, "d2");
        auto outdated_list = http_chunk(endpoint_list_json(3, endpoint_json("s1", "n1", 5)) + "\n");
        connect_and_receive(gateway, "d2", watch_response_head + outdated_list);
        CHECK(!routes_to(gateway, "t1", "n1"));
        for (int i = 0; i < 13; ++i) {
            gateway.settle(sec);
            gateway.core.received(gateway.now, gateway.transport.connection_to("d2"),
                                  outdated_list);
        }
        gateway.settle(200 * ms);
        gateway.settle();
        connect_and_receive(gateway, "d2", watch_response_head + outdated_list);
        CHECK(contains(gateway.transport.sent[gateway.transport.connection_to("d2")], "index=0 "));
        CHECK(routes_to(gateway, "t2", "n1"));
    }
}

TEST_SUITE("the start of a process") {
    // A gateway that has just started with an initial list and is not connected to discovery yet.
    struct StartingGateway {
        RecordingTransport transport;
        Time now = 1000 * sec;
        Core core;
        explicit StartingGateway(const std::string &initial_list)
            : core(
                  transport, [](SchedulerActions &actions) { return make_scheduler(actions, 7); },
                  core_config(settings_text(), 1)) {
            core.start(now, initial_list, "d1");
            core.settle(now);
        }
        bool is_ready() {
            auto client = *core.client_connected(now);
            core.received(now, client, "GET /healthz HTTP/1.1\r\n\r\n");
            core.settle(now);
            return transport.sent[client].starts_with("HTTP/1.1 200 ");
        }
        void receive_list(const std::string &list) {
            core.connected(now, transport.connection_to("d1"));
            core.received(now, transport.connection_to("d1"),
                          watch_response_head + http_chunk(list + "\n"));
            core.settle(now);
        }
    };
    const std::string initial_list = endpoint_list_json(41, endpoint_json("s1", "n1", 5));
    // The gateway is expected to know what the agent has from its start, and the initial list may
    // be outdated.
    TEST_CASE("the initial list is used only together with the agent's first answer") {
        StartingGateway gateway(initial_list);
        CHECK(!gateway.is_ready());
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1"));
        gateway.core.settle(gateway.now);
        CHECK(gateway.transport.connection_to("n1").value == 0);
        gateway.receive_list(endpoint_list_json(42, leaving_node(), false));
        CHECK(gateway.is_ready());
        CHECK(gateway.transport.connection_to("n1").value == 0);
        StartingGateway other_gateway(initial_list);
        other_gateway.receive_list(endpoint_list_json(41, "", false)); // reports no change
        CHECK(other_gateway.is_ready());
        client = *other_gateway.core.client_connected(other_gateway.now);
        other_gateway.core.received(other_gateway.now, client, read_request("t1"));
        other_gateway.core.settle(other_gateway.now);
        CHECK(other_gateway.transport.connection_to("n1").value != 0);
        StartingGateway third_gateway(initial_list);
        third_gateway.receive_list(endpoint_list_json(50, endpoint_json("s2", "n2", 5)));
        client = *third_gateway.core.client_connected(third_gateway.now);
        third_gateway.core.received(third_gateway.now, client, read_request("t1"));
        third_gateway.core.settle(third_gateway.now);
        CHECK(third_gateway.transport.connection_to("n1").value == 0);
        CHECK(third_gateway.transport.connection_to("n2").value != 0);
    }
    TEST_CASE("while discovery is unreachable, the gateway is ready after 2 s with the initial "
              "list and keeps reconnecting") {
        StartingGateway gateway(initial_list);
        for (int i = 0; i < 399; ++i)
            gateway.core.settle(gateway.now += 5 * ms);
        CHECK(!gateway.is_ready());
        gateway.core.settle(gateway.now += 5 * ms);
        CHECK(gateway.is_ready());
        CHECK(gateway.transport.connect_calls.size() > 5);
        for (auto connects_before = gateway.transport.connect_calls.size();
             gateway.transport.connect_calls.size() == connects_before;)
            gateway.core.settle(gateway.now += 5 * ms);
        gateway.receive_list(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1"));
        gateway.core.settle(gateway.now);
        CHECK(gateway.transport.connection_to("n9").value != 0);
    }
    TEST_CASE("a malformed initial list is ignored") {
        StartingGateway gateway("{\"generation\":1}");
        CHECK(!gateway.is_ready());
        gateway.receive_list(endpoint_list_json(7, endpoint_json("s1", "n1", 5)));
        CHECK(gateway.is_ready());
    }
}
