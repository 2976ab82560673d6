// The watch and its crossings, by hand on the core: silence, resets, refused calls, lists in any
// form, moves, restarts.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"
#include "http_gateway/json_stream.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

namespace {

// Whether a request goes to that address now.
bool goes_to(TestGateway &f, const std::string &trace, const std::string &address) {
    f.client(read_of(trace));
    return f.w.to(address).value != 0;
}
std::string leaving() {
    return node_entry("s1", "n1", 5, "leaving");
}
std::string moved() {
    return list_of(42, node_entry("s1", "n9", 5), false);
}
// An agent that answers on the connection made last.
void speaks(TestGateway &f, const std::string &address, const std::string &bytes) {
    auto d = f.w.to(address);
    f.core.connected(f.now, d);
    f.settle();
    f.core.received(f.now, d, bytes);
    f.settle();
}
// Steps on as the loop does; the watch made last never comes up. Tells when one more was made.
Time until_dialled(TestGateway &f, Time most) {
    auto begun = f.now, d = static_cast<Time>(f.w.connected.size());
    while (f.w.connected.size() == static_cast<std::size_t>(d) && f.now < begun + most)
        f.settle(5 * ms);
    return f.now - begun;
}

} // namespace

TEST_SUITE("objects out of a stream") {
    std::vector<std::string> objects(std::string_view in, std::size_t piece) {
        JsonStream s(1000);
        std::vector<std::string> out;
        for (std::size_t at = 0; at < in.size(); at += piece)
            for (auto bite = in.substr(at, piece); !bite.empty();) {
                bite.remove_prefix(s.take(bite));
                if (auto o = s.take_object())
                    out.push_back(*o);
                if (*s.fault())
                    return out;
            }
        return out;
    }
    TEST_CASE("any split, on one line or many, with braces and quotes in texts: the same objects") {
        const std::string a = R"({"a":"x}\"{\\","b":[{"c":-12.5e3},[]]})",
                          b = "{\n  \"a\": {\r\n\t\"b\": [1,\n2]\n }\n}", c = "{}";
        const std::string in = a + "\n\n" + b + "\r\n" + c + c + "\n";
        for (std::size_t piece = 1; piece <= in.size(); ++piece)
            REQUIRE(objects(in, piece) == std::vector<std::string>{a, b, c, c});
    }
    TEST_CASE("what is no object, or too long, is told; nothing after it is read") {
        for (auto bad : {"[1]", "x", "}", "\n 1"}) {
            JsonStream s(10);
            s.take(bad);
            CHECK(*s.fault());
        }
        JsonStream s(10);
        s.take("{\"a\":12345678}");
        CHECK(*s.fault());
        CHECK(!s.take_object());
    }
    TEST_CASE("a blank line is one between objects, not within") {
        JsonStream s(100);
        s.take("\n");
        CHECK(s.take_blank_line());
        s.take("{\n\n");
        CHECK(!s.take_blank_line());
        s.take("}");
        CHECK(s.take_object());
        s.take("\r\n");
        CHECK(!s.take_blank_line()); // the object's own line
        s.take("\r\n");
        CHECK(s.take_blank_line());
    }
}

TEST_SUITE("lists in all their forms") {
    // An indented list was "not a JSON object": the watch was dropped, and nothing was ever
    // learned.
    TEST_CASE("indented, cut anywhere, in a number or an escape too: it counts once it is whole") {
        const std::string list =
            "{\n  \"generation\": 42,\n  \"reset\": false,\n  \"instances\": [\n    {\n      "
            "\"instanceId\": "
            "\"s1\",\n \"hostPort\": \"n\\u0039\", \"zone\": \"a\", \"cell\": 5,\n \"lifecycle\": "
            "\"active\", \"startedAtMs\": 0\n    }\n  ]\n}\n";
        const std::string in =
            TestGateway::chunk(list.substr(0, 18)) + TestGateway::chunk(list.substr(18));
        for (std::size_t cut = 1; cut < in.size(); cut += 3) {
            TestGateway f;
            auto d = f.w.to("d1");
            f.core.received(f.now, d, in.substr(0, cut));
            f.settle();
            f.core.received(f.now, d, in.substr(cut));
            f.settle();
            REQUIRE(f.w.said.empty());
            REQUIRE(goes_to(f, "t1", "n9"));
        }
    }
    TEST_CASE("a whole answer instead of a stream, with a length or none, counts; the watch is "
              "opened again") {
        for (bool length : {true, false}) {
            TestGateway f;
            f.core.disconnected(f.now, f.w.to("d1"), CloseReason::reset);
            f.settle(60 * ms);
            f.settle();
            speaks(f, "d1", length ? reply(200, moved()) : "HTTP/1.1 200 OK\r\n\r\n" + moved());
            if (!length)
                f.gone(f.w.to("d1"));
            CHECK(goes_to(f, "t1", "n9"));
        }
    }
    TEST_CASE("a node that a late whole list leaves out is gone; one of an older generation "
              "changes nothing") {
        TestGateway f;
        f.list(list_of(42, node_entry("s2", "n2", 6)));
        auto c = f.client(read_of("t1"));
        f.settle(200 * ms);
        CHECK(f.w.to("n1").value == 0);
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 503 "));
        f.list(list_of(41, node_entry("s1", "n1", 5)));
        CHECK(!goes_to(f, "t2", "n1"));
    }
}

TEST_SUITE("a watch that breaks") {
    // What a silent watch misses counts as told 6 s after it fell silent, and the drain's grace
    // ends 250 ms later.
    TEST_CASE("silent: a new one beside it within 3 s, and again while calls fail or bring "
              "nothing, inside the 6 s") {
        for (bool up : {false, true}) {
            CAPTURE(up);
            TestGateway f; // the last blank line came just now
            auto silent = f.now;
            until_dialled(f, 10 * sec);
            CHECK(f.now - silent <= 3005 * ms);
            for (int fails = 0; fails < 3; ++fails) {
                if (up)
                    f.core.connected(f.now, f.w.to("d1"));
                until_dialled(f, 10 * sec);
            }
            CHECK(f.now - silent < 5500 * ms);
            speaks(f, "d1", watch_head + TestGateway::chunk(list_of(42, leaving(), false) + "\n"));
            auto n = f.client(read_of("t1"));
            f.settle(200 * ms);
            CHECK(f.w.to("n1").value == 0);
            CHECK(f.w.sent[n].starts_with("HTTP/1.1 503 "));
        }
    }
    TEST_CASE(
        "silent, then it speaks before the new one does: it tells on, and the new one is let go") {
        TestGateway f;
        auto first = f.w.to("d1");
        until_dialled(f, 10 * sec);
        auto beside = f.w.to("d1");
        f.core.received(f.now, first, TestGateway::chunk(moved() + "\n"));
        CHECK(f.w.closed.contains(beside));
        CHECK(!f.w.closed.contains(first));
        CHECK(goes_to(f, "t1", "n9"));
        // Silent again: a new one again.
        auto since = f.now;
        until_dialled(f, 10 * sec);
        CHECK(f.now - since <= 3005 * ms);
    }
    TEST_CASE("bytes that bring nothing to an end are no life: an object that trickles, or a head "
              "without a body") {
        TestGateway f;
        auto d = f.w.to("d1"), begun = d;
        Time since = f.now;
        f.core.received(f.now, d, TestGateway::chunk("{\"generation\":4"));
        while (f.w.to("d1") == begun && f.now < since + 10 * sec) {
            f.settle(100 * ms);
            f.core.received(f.now, d, TestGateway::chunk("2"));
        }
        CHECK(f.now - since <= 3200 * ms);
    }
    TEST_CASE(
        "reset, ended, refused, no 200, noise, endless: asked again at once, in time for a drain") {
        for (std::string how : {"reset", "ended", "refused", "429", "302", "noise", "endless"}) {
            CAPTURE(how);
            TestGateway f;
            auto d = f.w.to("d1");
            f.core.disconnected(f.now, d,
                                how == "ended" ? CloseReason::end_of_stream : CloseReason::reset);
            Time since = f.now;
            for (int fails = 0; fails < 6; ++fails) {
                auto waited = until_dialled(f, 10 * sec);
                CHECK(waited <= 155 * ms);
                auto again = f.w.to("d1");
                if (how == "refused") {
                    f.core.connect_failed(f.now, again);
                } else {
                    f.core.connected(f.now, again);
                    if (how == "reset" || how == "ended")
                        f.core.disconnected(f.now, again,
                                            how == "ended" ? CloseReason::end_of_stream
                                                           : CloseReason::reset);
                    else
                        f.core.received(
                            f.now, again,
                            how == "noise" ? "\x01\x02\r\n\r\n"
                            : how == "endless"
                                ? watch_head +
                                      TestGateway::chunk("{\"a\":\"" + std::string(5 << 20, 'a'))
                                : reply(std::stoi(how), ""));
                }
                f.settle();
            }
            CHECK(f.now - since < sec);
        }
    }
    // Thirteen of thirty-two schedulers that came back within 50 ms were refused by a shared
    // discovery all day.
    TEST_CASE("where all share one service: refused calls come back later each time, the first is "
              "spread, waits are borne") {
        const std::string shared = "RegistryMode=on_request\nRules.AskWithinS=10\n";
        TestGateway f(shared);
        auto d = f.w.to("d1");
        f.core.disconnected(f.now, d, CloseReason::reset);
        Time since = f.now;
        int calls = 0;
        while (f.now < since + 20 * sec) {
            until_dialled(f, 10 * sec);
            ++calls;
            f.core.connected(f.now, f.w.to("d1"));
            f.core.received(f.now, f.w.to("d1"), reply(429, ""));
        }
        CHECK(calls <= 20); // 4 s apart at most, 2 s in the mean
        CHECK(calls >= 5);
        until_dialled(f, 10 * sec);
        auto waits = f.w.to("d1");
        f.core.connected(f.now, waits);
        f.settle(2400 * ms); // it waits in turn there: asking again would cost one more call
        CHECK(f.w.to("d1") == waits);
        std::set<Time> firsts;
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            RecordingTransport w;
            Core core(
                w, [](SchedulerActions &a) { return make_scheduler(a, 7); },
                core_config(settings_text() + shared, seed));
            core.start(1000 * sec, list_of(41, node_entry("s1", "n1", 5)), "d1");
            CHECK(w.connected.empty());
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
        TestGateway f;
        auto old = f.w.to("d1");
        auto list = moved() + "\n";
        f.core.received(f.now, old, TestGateway::chunk(list.substr(0, 40)));
        f.core.discovery_at(f.now, "d2");
        f.core.received(f.now, old, TestGateway::chunk(list.substr(40)));
        f.settle();
        CHECK(goes_to(f, "t1", "n9"));
        speaks(f, "d2", watch_head + TestGateway::chunk("\n"));
        CHECK(has(f.w.sent[f.w.to("d2")], "index=42 "));
        CHECK(f.w.closed.contains(old));
    }
    TEST_CASE("a drain told by both, in either order, counts once and stays") {
        for (bool old_first : {true, false}) {
            TestGateway f;
            auto old = f.w.to("d1");
            f.core.discovery_at(f.now, "d2");
            f.core.connected(f.now, f.w.to("d2"));
            auto drain = TestGateway::chunk(list_of(42, leaving(), false) + "\n");
            if (old_first)
                f.core.received(f.now, old, drain);
            f.core.received(f.now, f.w.to("d2"), watch_head + drain);
            if (!old_first)
                f.core.received(f.now, old, drain); // it is let go already
            f.settle();
            CHECK(!goes_to(f, "t1", "n1"));
        }
    }
    TEST_CASE("the same address, twice, back again, one that is not up: the standing watch tells "
              "until another speaks") {
        TestGateway f;
        auto d = f.w.to("d1");
        f.core.discovery_at(f.now, "d1");
        CHECK(f.w.to("d1") == d);
        f.core.discovery_at(f.now, "d2");
        f.core.discovery_at(f.now, "d3");
        CHECK(f.w.closed.contains(f.w.to("d2")));
        for (int i = 0; i < 5; ++i) {
            f.core.connect_failed(f.now, f.w.to("d3"));
            f.settle(200 * ms);
        }
        CHECK(!f.w.closed.contains(d));
        f.list(list_of(42, node_entry("s1", "n9", 5), false));
        CHECK(goes_to(f, "t1", "n9"));
        f.core.discovery_at(f.now, "d1");
        CHECK(f.w.closed.contains(f.w.to("d3")));
        CHECK(f.w.to("d1") == d);
    }
    TEST_CASE("the old one ends before the new one is up: only the new one is asked, until it is") {
        TestGateway f;
        f.core.discovery_at(f.now, "d2");
        f.core.disconnected(f.now, f.w.to("d1"), CloseReason::end_of_stream);
        auto dials = f.w.connected.size();
        f.core.connect_failed(f.now, f.w.to("d2"));
        f.settle(200 * ms);
        CHECK(f.w.connected.size() == dials + 1);
        speaks(f, "d2", watch_head + TestGateway::chunk(moved() + "\n"));
        CHECK(goes_to(f, "t1", "n9"));
    }
    TEST_CASE("an agent that is behind is passed over; one that stays behind for 12 s was made "
              "anew and counts") {
        TestGateway f;
        f.list(list_of(42, leaving(), false));
        f.core.discovery_at(f.now, "d2");
        auto behind = TestGateway::chunk(list_of(3, node_entry("s1", "n1", 5)) + "\n");
        speaks(f, "d2", watch_head + behind);
        CHECK(!goes_to(f, "t1", "n1"));
        for (int i = 0; i < 13; ++i) {
            f.settle(sec);
            f.core.received(f.now, f.w.to("d2"), behind);
        }
        f.settle(200 * ms);
        f.settle();
        speaks(f, "d2", watch_head + behind);
        CHECK(has(f.w.sent[f.w.to("d2")], "index=0 "));
        CHECK(goes_to(f, "t2", "n1"));
    }
}

TEST_SUITE("a new process") {
    struct Fresh {
        RecordingTransport w;
        Time now = 1000 * sec;
        Core core;
        explicit Fresh(const std::string &known)
            : core(
                  w, [](SchedulerActions &a) { return make_scheduler(a, 7); },
                  core_config(settings_text(), 1)) {
            core.start(now, known, "d1");
            core.settle(now);
        }
        bool ready() {
            auto c = *core.client_connected(now);
            core.received(now, c, "GET /healthz HTTP/1.1\r\n\r\n");
            core.settle(now);
            return w.sent[c].starts_with("HTTP/1.1 200 ");
        }
        void hears(const std::string &list) {
            core.connected(now, w.to("d1"));
            core.received(now, w.to("d1"), watch_head + TestGateway::chunk(list + "\n"));
            core.settle(now);
        }
    };
    const std::string known = list_of(41, node_entry("s1", "n1", 5));
    // What the agent has counts as told from the first moment; the list that was given may be old.
    TEST_CASE("it goes by no list before the agent's first word, which counts together with the "
              "list it was given") {
        Fresh f(known);
        CHECK(!f.ready());
        auto c = *f.core.client_connected(f.now);
        f.core.received(f.now, c, read_of("t1"));
        f.core.settle(f.now);
        CHECK(f.w.to("n1").value == 0);
        f.hears(list_of(42, leaving(), false));
        CHECK(f.ready());
        CHECK(f.w.to("n1").value == 0);
        Fresh g(known);
        g.hears(list_of(41, "", false)); // nothing has changed
        CHECK(g.ready());
        c = *g.core.client_connected(g.now);
        g.core.received(g.now, c, read_of("t1"));
        g.core.settle(g.now);
        CHECK(g.w.to("n1").value != 0);
        Fresh h(known);
        h.hears(list_of(50, node_entry("s2", "n2", 5)));
        c = *h.core.client_connected(h.now);
        h.core.received(h.now, c, read_of("t1"));
        h.core.settle(h.now);
        CHECK(h.w.to("n1").value == 0);
        CHECK(h.w.to("n2").value != 0);
    }
    TEST_CASE(
        "while discovery is down it is ready after 2 s, by the list it was given, and asks on") {
        Fresh f(known);
        for (int i = 0; i < 399; ++i)
            f.core.settle(f.now += 5 * ms);
        CHECK(!f.ready());
        f.core.settle(f.now += 5 * ms);
        CHECK(f.ready());
        CHECK(f.w.connected.size() > 5);
        for (auto calls = f.w.connected.size(); f.w.connected.size() == calls;)
            f.core.settle(f.now += 5 * ms);
        f.hears(list_of(42, node_entry("s1", "n9", 5), false));
        auto c = *f.core.client_connected(f.now);
        f.core.received(f.now, c, read_of("t1"));
        f.core.settle(f.now);
        CHECK(f.w.to("n9").value != 0);
    }
    TEST_CASE("a list given at the start that can't be read is told and passed over") {
        Fresh f("{\"generation\":1}");
        CHECK(!f.ready());
        f.hears(list_of(7, node_entry("s1", "n1", 5)));
        CHECK(f.ready());
    }
}
