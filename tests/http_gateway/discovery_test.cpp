// The watch of discovery on the core, events made by hand: silence, resets, refused calls, lists in
// any form, moves, restarts.
#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

// Whether a request goes to that address now.
bool goes_to(TestGateway &gateway, const std::string &trace, const std::string &address) {
    gateway.connect_client(read_request(trace));
    return gateway.transport.connection_to(address).value != 0;
}
std::string leaving() {
    return endpoint_json("s1", "n1", 5, "leaving");
}
std::string moved() {
    return endpoint_list_json(42, endpoint_json("s1", "n9", 5), false);
}
// An agent that answers on the connection made last.
void speaks(TestGateway &gateway, const std::string &address, const std::string &bytes) {
    auto d = gateway.transport.connection_to(address);
    gateway.core.connected(gateway.now, d);
    gateway.settle();
    gateway.core.received(gateway.now, d, bytes);
    gateway.settle();
}
// Steps on as the loop does; the watch made last never comes up. Tells when one more was made.
Time until_dialled(TestGateway &gateway, Time most) {
    auto begun = gateway.now, d = static_cast<Time>(gateway.transport.connect_calls.size());
    while (gateway.transport.connect_calls.size() == static_cast<std::size_t>(d) &&
           gateway.now < begun + most)
        gateway.settle(5 * ms);
    return gateway.now - begun;
}

} // namespace

TEST_SUITE("lists in all their forms") {
    // An indented list was "not a JSON object": the watch was dropped, and nothing was ever
    // learned.
    TEST_CASE("indented, cut anywhere, in a number or an escape too: it counts once it is whole") {
        const std::string list =
            "{\n  \"generation\": 42,\n  \"reset\": false,\n  \"instances\": [\n    {\n      "
            "\"instanceId\": "
            "\"s1\",\n \"hostPort\": \"n\\u0039\", \"zone\": \"a\", \"cell\": 5,\n \"lifecycle\": "
            "\"active\", \"startedAtMs\": 0\n    }\n  ]\n}\n";
        const std::string in = http_chunk(list.substr(0, 18)) + http_chunk(list.substr(18));
        for (std::size_t cut = 1; cut < in.size(); cut += 3) {
            TestGateway gateway;
            auto d = gateway.transport.connection_to("d1");
            gateway.core.received(gateway.now, d, in.substr(0, cut));
            gateway.settle();
            gateway.core.received(gateway.now, d, in.substr(cut));
            gateway.settle();
            REQUIRE(gateway.transport.logged_events.empty());
            REQUIRE(goes_to(gateway, "t1", "n9"));
        }
    }
    TEST_CASE("a whole answer instead of a stream, with a length or none, counts; the watch is "
              "opened again") {
        for (bool length : {true, false}) {
            TestGateway gateway;
            gateway.core.disconnected(gateway.now, gateway.transport.connection_to("d1"),
                                      CloseReason::reset);
            gateway.settle(60 * ms);
            gateway.settle();
            speaks(gateway, "d1",
                   length ? http_response(200, moved()) : "HTTP/1.1 200 OK\r\n\r\n" + moved());
            if (!length)
                gateway.disconnect(gateway.transport.connection_to("d1"));
            CHECK(goes_to(gateway, "t1", "n9"));
        }
    }
    TEST_CASE("a node that a late whole list leaves out is gone; one of an older generation "
              "changes nothing") {
        TestGateway gateway;
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s2", "n2", 6)));
        auto client = gateway.connect_client(read_request("t1"));
        gateway.settle(200 * ms);
        CHECK(gateway.transport.connection_to("n1").value == 0);
        CHECK(gateway.transport.sent[client].starts_with("HTTP/1.1 503 "));
        gateway.send_endpoint_list(endpoint_list_json(41, endpoint_json("s1", "n1", 5)));
        CHECK(!goes_to(gateway, "t2", "n1"));
    }
}

TEST_SUITE("a watch that breaks") {
    // What a silent watch misses counts as told 6 s after it fell silent, and the drain's grace
    // ends 250 ms later.
    TEST_CASE("silent: a new one beside it within 3 s, and again while calls fail or bring "
              "nothing, inside the 6 s") {
        for (bool up : {false, true}) {
            CAPTURE(up);
            TestGateway gateway; // the last blank line came just now
            auto silent = gateway.now;
            until_dialled(gateway, 10 * sec);
            CHECK(gateway.now - silent <= 3005 * ms);
            for (int fails = 0; fails < 3; ++fails) {
                if (up)
                    gateway.core.connected(gateway.now, gateway.transport.connection_to("d1"));
                until_dialled(gateway, 10 * sec);
            }
            CHECK(gateway.now - silent < 5500 * ms);
            speaks(gateway, "d1",
                   watch_response_head +
                       http_chunk(endpoint_list_json(42, leaving(), false) + "\n"));
            auto node = gateway.connect_client(read_request("t1"));
            gateway.settle(200 * ms);
            CHECK(gateway.transport.connection_to("n1").value == 0);
            CHECK(gateway.transport.sent[node].starts_with("HTTP/1.1 503 "));
        }
    }
    TEST_CASE(
        "silent, then it speaks before the new one does: it tells on, and the new one is let go") {
        TestGateway gateway;
        auto first = gateway.transport.connection_to("d1");
        until_dialled(gateway, 10 * sec);
        auto beside = gateway.transport.connection_to("d1");
        gateway.core.received(gateway.now, first, http_chunk(moved() + "\n"));
        CHECK(gateway.transport.closed.contains(beside));
        CHECK(!gateway.transport.closed.contains(first));
        CHECK(goes_to(gateway, "t1", "n9"));
        // Silent again: a new one again.
        auto since = gateway.now;
        until_dialled(gateway, 10 * sec);
        CHECK(gateway.now - since <= 3005 * ms);
    }
    TEST_CASE("bytes that bring nothing to an end are no life: an object that trickles, or a head "
              "without a body") {
        TestGateway gateway;
        auto d = gateway.transport.connection_to("d1"), begun = d;
        Time since = gateway.now;
        gateway.core.received(gateway.now, d, http_chunk("{\"generation\":4"));
        while (gateway.transport.connection_to("d1") == begun && gateway.now < since + 10 * sec) {
            gateway.settle(100 * ms);
            gateway.core.received(gateway.now, d, http_chunk("2"));
        }
        CHECK(gateway.now - since <= 3200 * ms);
    }
    // Ends the call that was made last in the way that `how` names.
    void fail_call(TestGateway & gateway, const std::string &how) {
        auto call = gateway.transport.connection_to("d1");
        auto &core = gateway.core;
        if (how == "refused")
            return core.connect_failed(gateway.now, call);
        core.connected(gateway.now, call);
        if (how == "reset")
            return core.disconnected(gateway.now, call, CloseReason::reset);
        if (how == "ended")
            return core.disconnected(gateway.now, call, CloseReason::end_of_stream);
        std::string bytes;
        if (how == "noise")
            bytes = "\x01\x02\r\n\r\n";
        else if (how == "endless")
            bytes = watch_response_head + http_chunk("{\"a\":\"" + std::string(5 << 20, 'a'));
        else
            bytes = http_response(std::stoi(how), "");
        core.received(gateway.now, call, bytes);
    }
    TEST_CASE(
        "reset, ended, refused, no 200, noise, endless: asked again at once, in time for a drain") {
        for (std::string how : {"reset", "ended", "refused", "429", "302", "noise", "endless"}) {
            CAPTURE(how);
            TestGateway gateway;
            auto d = gateway.transport.connection_to("d1");
            gateway.core.disconnected(
                gateway.now, d, how == "ended" ? CloseReason::end_of_stream : CloseReason::reset);
            Time since = gateway.now;
            for (int fails = 0; fails < 6; ++fails) {
                auto waited = until_dialled(gateway, 10 * sec);
                CHECK(waited <= 155 * ms);
                fail_call(gateway, how);
                gateway.settle();
            }
            CHECK(gateway.now - since < sec);
        }
    }
    // Thirteen of thirty-two schedulers that came back within 50 ms were refused by a shared
    // discovery all day.
    TEST_CASE("where all share one service: refused calls come back later each time, the first is "
              "spread, waits are borne") {
        const std::string shared = "RegistryMode=on_request\nRules.AskWithinS=10\n";
        TestGateway gateway(shared);
        auto d = gateway.transport.connection_to("d1");
        gateway.core.disconnected(gateway.now, d, CloseReason::reset);
        Time since = gateway.now;
        int calls = 0;
        while (gateway.now < since + 20 * sec) {
            until_dialled(gateway, 10 * sec);
            ++calls;
            gateway.core.connected(gateway.now, gateway.transport.connection_to("d1"));
            gateway.core.received(gateway.now, gateway.transport.connection_to("d1"),
                                  http_response(429, ""));
        }
        CHECK(calls <= 20); // 4 s apart at most, 2 s in the mean
        CHECK(calls >= 5);
        until_dialled(gateway, 10 * sec);
        auto waits = gateway.transport.connection_to("d1");
        gateway.core.connected(gateway.now, waits);
        gateway.settle(2400 * ms); // it waits in turn there: asking again would cost one more call
        CHECK(gateway.transport.connection_to("d1") == waits);
        std::set<Time> firsts;
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            RecordingTransport transport;
            Core core(
                transport, [](SchedulerActions &a) { return make_scheduler(a, 7); },
                core_config(settings_text() + shared, seed));
            core.start(1000 * sec, endpoint_list_json(41, endpoint_json("s1", "n1", 5)), "d1");
            CHECK(transport.connect_calls.empty());
            firsts.insert(core.next_due());
        }
        CHECK(firsts.size() == 8);
        CHECK(*firsts.rbegin() - *firsts.begin() > 200 * ms);
        CHECK(*firsts.rbegin() < 1001 * sec);
    }
}

TEST_SUITE("discovery moves") {
    TEST_CASE("while a list is half read: the old watch's rest counts, the new one takes over once "
              "it speaks") {
        TestGateway gateway;
        auto old = gateway.transport.connection_to("d1");
        auto list = moved() + "\n";
        gateway.core.received(gateway.now, old, http_chunk(list.substr(0, 40)));
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.received(gateway.now, old, http_chunk(list.substr(40)));
        gateway.settle();
        CHECK(goes_to(gateway, "t1", "n9"));
        speaks(gateway, "d2", watch_response_head + http_chunk("\n"));
        CHECK(contains(gateway.transport.sent[gateway.transport.connection_to("d2")], "index=42 "));
        CHECK(gateway.transport.closed.contains(old));
    }
    TEST_CASE("a drain told by both, in either order, counts once and stays") {
        for (bool old_first : {true, false}) {
            TestGateway gateway;
            auto old = gateway.transport.connection_to("d1");
            gateway.core.set_discovery_address(gateway.now, "d2");
            gateway.core.connected(gateway.now, gateway.transport.connection_to("d2"));
            auto drain = http_chunk(endpoint_list_json(42, leaving(), false) + "\n");
            if (old_first)
                gateway.core.received(gateway.now, old, drain);
            gateway.core.received(gateway.now, gateway.transport.connection_to("d2"),
                                  watch_response_head + drain);
            if (!old_first)
                gateway.core.received(gateway.now, old, drain); // it is let go already
            gateway.settle();
            CHECK(!goes_to(gateway, "t1", "n1"));
        }
    }
    TEST_CASE("the same address, twice, back again, one that is not up: the standing watch tells "
              "until another speaks") {
        TestGateway gateway;
        auto d = gateway.transport.connection_to("d1");
        gateway.core.set_discovery_address(gateway.now, "d1");
        CHECK(gateway.transport.connection_to("d1") == d);
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.set_discovery_address(gateway.now, "d3");
        CHECK(gateway.transport.closed.contains(gateway.transport.connection_to("d2")));
        for (int i = 0; i < 5; ++i) {
            gateway.core.connect_failed(gateway.now, gateway.transport.connection_to("d3"));
            gateway.settle(200 * ms);
        }
        CHECK(!gateway.transport.closed.contains(d));
        gateway.send_endpoint_list(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        CHECK(goes_to(gateway, "t1", "n9"));
        gateway.core.set_discovery_address(gateway.now, "d1");
        CHECK(gateway.transport.closed.contains(gateway.transport.connection_to("d3")));
        CHECK(gateway.transport.connection_to("d1") == d);
    }
    TEST_CASE("the old one ends before the new one is up: only the new one is asked, until it is") {
        TestGateway gateway;
        gateway.core.set_discovery_address(gateway.now, "d2");
        gateway.core.disconnected(gateway.now, gateway.transport.connection_to("d1"),
                                  CloseReason::end_of_stream);
        auto dials = gateway.transport.connect_calls.size();
        gateway.core.connect_failed(gateway.now, gateway.transport.connection_to("d2"));
        gateway.settle(200 * ms);
        CHECK(gateway.transport.connect_calls.size() == dials + 1);
        speaks(gateway, "d2", watch_response_head + http_chunk(moved() + "\n"));
        CHECK(goes_to(gateway, "t1", "n9"));
    }
    TEST_CASE("an agent that is behind is passed over; one that stays behind for 12 s was made "
              "anew and counts") {
        TestGateway gateway;
        gateway.send_endpoint_list(endpoint_list_json(42, leaving(), false));
        gateway.core.set_discovery_address(gateway.now, "d2");
        auto behind = http_chunk(endpoint_list_json(3, endpoint_json("s1", "n1", 5)) + "\n");
        speaks(gateway, "d2", watch_response_head + behind);
        CHECK(!goes_to(gateway, "t1", "n1"));
        for (int i = 0; i < 13; ++i) {
            gateway.settle(sec);
            gateway.core.received(gateway.now, gateway.transport.connection_to("d2"), behind);
        }
        gateway.settle(200 * ms);
        gateway.settle();
        speaks(gateway, "d2", watch_response_head + behind);
        CHECK(contains(gateway.transport.sent[gateway.transport.connection_to("d2")], "index=0 "));
        CHECK(goes_to(gateway, "t2", "n1"));
    }
}

TEST_SUITE("a new process") {
    struct Fresh {
        RecordingTransport transport;
        Time now = 1000 * sec;
        Core core;
        explicit Fresh(const std::string &known)
            : core(
                  transport, [](SchedulerActions &a) { return make_scheduler(a, 7); },
                  core_config(settings_text(), 1)) {
            core.start(now, known, "d1");
            core.settle(now);
        }
        bool ready() {
            auto client = *core.client_connected(now);
            core.received(now, client, "GET /healthz HTTP/1.1\r\n\r\n");
            core.settle(now);
            return transport.sent[client].starts_with("HTTP/1.1 200 ");
        }
        void hears(const std::string &list) {
            core.connected(now, transport.connection_to("d1"));
            core.received(now, transport.connection_to("d1"),
                          watch_response_head + http_chunk(list + "\n"));
            core.settle(now);
        }
    };
    const std::string known = endpoint_list_json(41, endpoint_json("s1", "n1", 5));
    // What the agent has counts as told from the first moment; the list that was given may be old.
    TEST_CASE("it goes by no list before the agent's first word, which counts together with the "
              "list it was given") {
        Fresh gateway(known);
        CHECK(!gateway.ready());
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1"));
        gateway.core.settle(gateway.now);
        CHECK(gateway.transport.connection_to("n1").value == 0);
        gateway.hears(endpoint_list_json(42, leaving(), false));
        CHECK(gateway.ready());
        CHECK(gateway.transport.connection_to("n1").value == 0);
        Fresh other_gateway(known);
        other_gateway.hears(endpoint_list_json(41, "", false)); // nothing has changed
        CHECK(other_gateway.ready());
        client = *other_gateway.core.client_connected(other_gateway.now);
        other_gateway.core.received(other_gateway.now, client, read_request("t1"));
        other_gateway.core.settle(other_gateway.now);
        CHECK(other_gateway.transport.connection_to("n1").value != 0);
        Fresh h(known);
        h.hears(endpoint_list_json(50, endpoint_json("s2", "n2", 5)));
        client = *h.core.client_connected(h.now);
        h.core.received(h.now, client, read_request("t1"));
        h.core.settle(h.now);
        CHECK(h.transport.connection_to("n1").value == 0);
        CHECK(h.transport.connection_to("n2").value != 0);
    }
    TEST_CASE(
        "while discovery is down it is ready after 2 s, by the list it was given, and asks on") {
        Fresh gateway(known);
        for (int i = 0; i < 399; ++i)
            gateway.core.settle(gateway.now += 5 * ms);
        CHECK(!gateway.ready());
        gateway.core.settle(gateway.now += 5 * ms);
        CHECK(gateway.ready());
        CHECK(gateway.transport.connect_calls.size() > 5);
        for (auto calls = gateway.transport.connect_calls.size();
             gateway.transport.connect_calls.size() == calls;)
            gateway.core.settle(gateway.now += 5 * ms);
        gateway.hears(endpoint_list_json(42, endpoint_json("s1", "n9", 5), false));
        auto client = *gateway.core.client_connected(gateway.now);
        gateway.core.received(gateway.now, client, read_request("t1"));
        gateway.core.settle(gateway.now);
        CHECK(gateway.transport.connection_to("n9").value != 0);
    }
    TEST_CASE("a list given at the start that can't be read is told and passed over") {
        Fresh gateway("{\"generation\":1}");
        CHECK(!gateway.ready());
        gateway.hears(endpoint_list_json(7, endpoint_json("s1", "n1", 5)));
        CHECK(gateway.ready());
    }
}
