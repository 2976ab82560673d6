// The front in one: requests, attempts, answers, what clients and nodes may do wrong, discovery,
// stopping.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"
#include "http_gateway/config.hpp"
#include "http_gateway/trace.hpp"

using namespace knotvane;
using namespace knotvane::http_gateway;

TEST_SUITE("requests and answers") {
    TEST_CASE("a read goes to the node that holds its shard and comes back as the node gave it") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        CHECK(f.w.sent[n].starts_with("GET /read/x?y=1 HTTP/1.1\r\n"));
        CHECK(has(f.w.sent[n], "X-Trace-Id: t1\r\n"));
        CHECK(has(f.w.sent[n], "X-Expires-In: 1.000000\r\n"));
        CHECK(!has(f.w.sent[n], "Cookie"));
        f.answer(n, reply(200, "the body", "X-Store: 1\r\n"));
        CHECK(f.w.sent[c] == "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body");
        CHECK(f.core.requests() == 0);
        // The next one on both connections.
        f.settle(10 * ms);
        f.core.bytes(f.now, c, read_of("t2"));
        f.settle();
        CHECK(f.w.connected.size() == 2); // discovery's and the node's
        CHECK(has(f.w.sent[n], "X-Trace-Id: t2\r\n"));
    }
    TEST_CASE("a write's body, mark and length pass on unchanged") {
        Front f;
        f.client(write_of("t1", std::string("a\0b", 3)));
        auto &sent = f.w.sent[f.node()];
        CHECK(has(sent, "Idempotency-Key: k1\r\n"));
        CHECK(sent.ends_with("Content-Length: 3\r\n\r\n" + std::string("a\0b", 3)));
    }
    TEST_CASE("a node's no before it ran is attempted again; after it may have run, a write fails "
              "and a read goes again") {
        for (bool writes : {false, true}) {
            Front f;
            auto c = f.client(writes ? write_of("t1", "x") : read_of("t1"));
            f.answer(f.node(), reply(503, "", "X-Never-Ran: 1\r\n"));
            f.settle(300 * ms);
            CHECK(!has(f.w.sent[c], " 502 "));
        }
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(500, ""));
        f.settle(10 * ms);
        auto again = f.node();
        CHECK(again != n);
        CHECK(has(f.w.sent[again], "X-Trace-Id: t1\r\n"));
        f.answer(again, reply(200, "ok"));
        CHECK(f.w.sent[c].ends_with("ok"));
    }
    TEST_CASE("what the module gives up is answered at once, with when to come back") {
        Front f;
        auto c = f.client(read_of("t1")); // the node's connection never comes up
        f.settle(260 * ms);
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 503 "));
        CHECK(has(f.w.sent[c], "Retry-After: 2.000\r\n"));
    }
    TEST_CASE("never after the client's timeout, and once") {
        Front f;
        auto c = f.client(read_of("t1", "", "0.100"));
        f.node();
        f.settle(97 * ms);
        auto told = f.w.sent[c];
        CHECK(told.starts_with("HTTP/1.1 503 "));
        f.settle(sec);
        CHECK(f.w.sent[c] == told);
        CHECK(f.core.requests() == 0);
    }
    TEST_CASE("a client that leaves: its attempt is closed, nothing is written to it") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.gone(c);
        CHECK(f.w.closed.contains(n));
        f.answer(n, reply(200, "late"));
        CHECK(f.w.sent[c].empty());
        CHECK(f.core.requests() == 0);
        CHECK(f.core.pools().attempts_out() == 0);
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
                Front f;
                auto c = f.client(write_of("t1", "x"));
                auto n = f.node();
                for (std::size_t at = 0; at < bad.size(); at += piece)
                    f.core.bytes(f.now, n, bad.substr(at, piece));
                f.settle();
                CHECK(f.w.closed.contains(n));
                CHECK(!has(f.w.sent[c], " 200 "));
            }
    }
    TEST_CASE("a good answer with more behind it is delivered and its connection dropped") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one") + reply(200, "one"));
        CHECK(f.w.sent[c].ends_with("one"));
        CHECK(f.w.closed.contains(n));
    }
    TEST_CASE("bytes on a connection that waits for nothing: it is dropped, they answer nobody") {
        Front f;
        f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one"));
        f.answer(n, reply(200, "one"));
        CHECK(f.w.closed.contains(n));
    }
    TEST_CASE(
        "an answer that stops short ends soon; one past the protocol's 64 KiB is still good") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        auto big = reply(200, std::string(400'000, 'b'));
        f.answer(n, big.substr(0, 200'000));
        f.settle(240 * ms); // a throttled node, a network in pieces
        f.answer(n, big.substr(200'000));
        CHECK(f.w.sent[c].ends_with(std::string(400'000, 'b')));
        CHECK(f.w.closed.empty());
        Front g;
        g.client(read_of("t2"));
        n = g.node();
        g.answer(n, big.substr(0, 100));
        g.settle(249 * ms);
        CHECK(!g.w.closed.contains(n));
        g.settle(ms);
        CHECK(g.w.closed.contains(n));
    }
    TEST_CASE("1xx in front is passed over") {
        Front f;
        auto c = f.client(read_of("t1"));
        f.answer(f.node(), "HTTP/1.1 102 Processing\r\n\r\n" + reply(200, "one"));
        CHECK(f.w.sent[c].ends_with("one"));
    }
}

TEST_SUITE("clients that do wrong") {
    TEST_CASE("each gets an error and its connection is closed; the module hears of none") {
        std::string good = read_of("t1");
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
            Front f;
            auto c = f.client(bad);
            CHECK(
                (f.w.sent[c].starts_with("HTTP/1.1 4") || f.w.sent[c].starts_with("HTTP/1.1 501")));
            CHECK(f.w.closed.contains(c));
            CHECK(f.core.requests() == 0);
            CHECK(f.core.clients().open() == 0);
        }
    }
    TEST_CASE("an id that is open, or was, is refused without being told") {
        Front f;
        f.client(read_of("t1"));
        auto c = f.client(read_of("t1"));
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 409 "));
        CHECK(f.core.requests() == 1);
    }
    TEST_CASE("who says nothing, or does not come to an end, is closed within its time") {
        Front f;
        auto silent = f.client(""), half = f.client("GET /read HTTP/1.1\r\nHost"),
             body = f.client(write_of("t1", "xyz").substr(0, write_of("t1", "xyz").size() - 1));
        auto full = f.client(read_of("t2"));
        for (auto later : {sec, sec - ms})
            f.settle(later);
        CHECK(!f.w.closed.contains(silent));
        f.settle(ms);
        CHECK(f.w.closed.contains(silent));
        f.settle(699 * ms);
        CHECK(!f.w.closed.contains(body));
        f.settle(ms);
        CHECK(f.w.closed.contains(half));
        CHECK(f.w.closed.contains(body));
        CHECK(f.w.sent[half].starts_with("HTTP/1.1 408 "));
        CHECK(f.w.sent[full].starts_with("HTTP/1.1 503 "));
    }
    // Two slow requests of a short zone day were cut off after 2 s.
    TEST_CASE("who says something late has no more time than who does at once; who was answered "
              "before has longer") {
        Front f;
        auto late = f.client("");
        auto slow = f.client("GET /healthz HTTP/1.1\r\n\r\n");
        f.settle(1900 * ms);
        f.core.bytes(f.now, late, "GET /read");
        f.core.bytes(f.now, slow, read_of("t1").substr(0, 30));
        f.settle(800 * ms);
        CHECK(f.w.closed.contains(late));
        f.blank(), f.settle(2 * sec), f.blank(), f.settle(2100 * ms);
        CHECK(!f.w.closed.contains(slow));
        f.core.bytes(f.now, slow, read_of("t1").substr(30));
        f.settle();
        CHECK(f.core.requests() == 1);
        f.blank();
        auto endless = f.client("GET /healthz HTTP/1.1\r\n\r\nGET");
        f.settle(5 * sec);
        CHECK(f.w.sent[endless].find("HTTP/1.1 408 ") != std::string::npos);
    }
    TEST_CASE("a connection that asked once and stays is closed, so that others find room") {
        Front f;
        auto c = f.client("GET /healthz HTTP/1.1\r\n\r\n");
        f.settle(2 * sec);
        CHECK(!f.w.closed.contains(c));
        f.settle(500 * ms);
        CHECK(f.w.closed.contains(c));
    }
    TEST_CASE("requests sent at once are served one at a time, in order") {
        Front f;
        auto c = f.client(read_of("t1") + read_of("t2") + "GET /healthz HTTP/1.1\r\n\r\n");
        CHECK(f.core.requests() == 1);
        f.serve("one");
        CHECK(f.core.requests() == 1);
        f.serve("two");
        CHECK(f.w.sent[c] == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 "
                             "OK\r\nContent-Length: 3\r\n\r\ntwo"
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    // Reading used to stop at a bound: from then on its leaving was not seen, and its requests were
    // sent on.
    TEST_CASE("who sends far ahead is read on, so that its leaving shows; what is past the bound "
              "is not kept") {
        for (bool leaves : {false, true}) {
            Front f;
            auto c = f.client(read_of("t1"));
            auto n = f.node();
            for (int i = 0; i < 100; ++i)
                f.core.bytes(f.now, c, std::string(20000, 'x'));
            if (leaves) {
                f.gone(c);
                CHECK(f.w.closed.contains(n));
                CHECK(f.core.requests() == 0);
                continue;
            }
            f.answer(n, reply(200, "one"));
            CHECK(f.w.sent[c].starts_with("HTTP/1.1 200 "));
            CHECK(f.w.closed.contains(c)); // what came behind is no request
        }
    }
    TEST_CASE("past the bound of what is sent ahead, nothing that was cut is read as one request") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        std::string ahead;
        for (int i = 0; ahead.size() < 70'000; ++i)
            ahead += read_of("a" + std::to_string(i));
        f.core.bytes(f.now, c, ahead);
        f.core.bytes(f.now, c,
                     read_of("cut") + std::string(4000, 'x') + "\r\n\r\n" + read_of("late"));
        f.core.bytes(f.now, c, read_of("later"));
        f.answer(n, reply(200, "x"), 100 * us);
        for (int i = 0; i < 400 && !f.w.closed.contains(c); ++i)
            f.serve("x", 100 * us);
        CHECK(f.w.closed.contains(c));
        for (auto &[conn, sent] : f.w.sent) {
            if (!f.w.at(conn).starts_with('n'))
                continue;
            CHECK(!has(sent, "X-Trace-Id: late"));
            CHECK(!has(sent, "X-Trace-Id: cut"));
        }
    }
    TEST_CASE(
        "past that bound, a request that was cut is refused at once, not when its time is up") {
        Front f;
        auto c = f.client(read_of("t1"));
        auto n = f.node();
        f.core.bytes(f.now, c, read_of("cut").substr(0, 40));
        f.core.bytes(f.now, c, std::string(80'000, 'x'));
        f.answer(n, reply(200, "one"));
        CHECK(has(f.w.sent[c], "HTTP/1.1 200 "));
        CHECK(has(f.w.sent[c], "HTTP/1.1 413 "));
        CHECK(f.w.shutting.contains(c));
    }
    TEST_CASE("past its bound an idle connection goes before one that just came, whose request may "
              "wait unread") {
        Front f;
        std::vector<ConnId> idle;
        for (int i = 0; i < 140; ++i)
            idle.push_back(f.client("GET /healthz HTTP/1.1\r\n\r\n"));
        std::vector<ConnId> fresh;
        for (int i = 0; i < 60; ++i)
            fresh.push_back(*f.core.client_came(f.now += us));
        for (auto c : fresh)
            CHECK(!f.w.closed.contains(c));
        CHECK(f.w.closed.contains(idle.front()));
    }
    TEST_CASE(
        "past its bound of connections the silent go first; one with an open request never does") {
        Front f;
        auto asks = f.client(read_of("t1"));
        std::vector<ConnId> silent;
        for (int i = 0; i < 400; ++i)
            silent.push_back(*f.core.client_came(f.now += us));
        auto late = f.client(read_of("t2"));
        CHECK(f.core.clients().open() < 200);
        CHECK(!f.w.closed.contains(asks));
        CHECK(!f.w.closed.contains(late));
        CHECK(f.w.closed.contains(silent.front()));
        CHECK(f.core.requests() == 2);
    }
}

TEST_SUITE("discovery") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    TEST_CASE("watches from the list as last had; a change counts; silence and an end make it "
              "watch again") {
        Front f;
        auto d = f.w.to("d1");
        CHECK(has(f.w.sent[d], "GET /v1/servers?stream=1&index=41 "));
        f.list(list_of(42, node_entry("s1", "n9", 5), false));
        f.client(read_of("t1"));
        CHECK(f.w.to("n9").value != 0);
        f.core.gone(f.now, d, Gone::ended);
        f.settle(100 * ms);
        CHECK(f.w.to("d1") != d);
        d = f.w.to("d1");
        f.core.up(f.now, d);
        CHECK(has(f.w.sent[d], "index=42 "));
        f.core.bytes(f.now, d, head + Front::chunk("\n"));
        f.settle(3 * sec - ms);
        CHECK(f.w.to("d1") == d);
        f.settle(ms);
        auto beside = f.w.to("d1");
        CHECK(beside != d);
        CHECK(!f.w.closed.contains(d)); // it may speak yet
        f.core.up(f.now, beside);
        f.core.bytes(f.now, beside, head + Front::chunk("\n"));
        CHECK(f.w.closed.contains(d));
    }
    TEST_CASE("a list with a fault changes nothing at all; an older one neither") {
        Front f;
        auto d = f.w.to("d1");
        f.list(list_of(40, ""));
        f.list(list_of(50, node_entry("s1", "n9", 5) + R"(,{"instanceId":7})"));
        CHECK(f.w.said.size() == 1);
        CHECK(f.w.closed.contains(d));
        f.client(read_of("t1"));
        CHECK(f.w.to("n1").value != 0);
        CHECK(f.w.to("n9").value == 0);
    }
    TEST_CASE("a new address takes over once it speaks; the old one counts until then") {
        Front f;
        auto old = f.w.to("d1");
        f.core.discovery_at(f.now, "d2");
        auto fresh = f.w.to("d2");
        CHECK(!f.w.closed.contains(old));
        f.core.up(f.now, fresh);
        f.list(list_of(42, node_entry("s1", "n9", 5), false));
        f.core.bytes(f.now, fresh, head + Front::chunk("\n"));
        CHECK(f.w.closed.contains(old));
        f.client(read_of("t1"));
        CHECK(f.w.to("n9").value != 0);
        f.core.discovery_at(f.now, "d2"); // told the same again: it stays
        CHECK(!f.w.closed.contains(fresh));
    }
    TEST_CASE("nothing more goes to a node that drains, and its idle connections close") {
        Front f;
        f.client(read_of("t1"));
        auto n = f.node();
        f.answer(n, reply(200, "one"));
        f.list(list_of(42, node_entry("s1", "n1", 5, "left"), false));
        f.settle();
        CHECK(f.w.closed.contains(n));
        auto c = f.client(read_of("t2"));
        f.settle(200 * ms);
        CHECK(f.w.sent[c].starts_with("HTTP/1.1 503 "));
    }
}

TEST_SUITE("life") {
    TEST_CASE("a stop serves on until just before it may be killed: the longest client timeout and "
              "0.7 s later") {
        Front f; // the longest client timeout is 1.5 s: killed 2.2 s after the stop at the soonest
        auto idle = f.client("GET /healthz HTTP/1.1\r\n\r\n");
        auto told = f.now;
        f.core.stop(f.now);
        f.settle(50 * ms);
        auto c = f.client(read_of("t1")), n = f.node();
        f.answer(n, reply(200, "one"));
        CHECK(f.w.sent[c].ends_with("one"));
        f.settle(1300 * ms);
        f.core.bytes(f.now, c, read_of("t2", "", "1.400"));
        f.settle();
        f.answer(n, reply(200, "two"));
        CHECK(!f.w.closed.contains(c)); // there is no other way in until this one is back
        f.settle(100 * ms);
        f.core.bytes(f.now, c,
                     read_of("t3", "", "1.400")); // may be answered until this ends, no later
        while (f.now < told + 1700 * ms) {
            CHECK(!f.w.closed.contains(idle)); // a request may be on its way on it
            f.settle(5 * ms);
        }
        // Then it ends, in order: a request that crosses its end is read and neither taken nor
        // reset.
        CHECK(f.w.shutting.contains(idle));
        f.core.bytes(f.now, idle, read_of("t4"));
        f.settle(ms);
        CHECK(!has(f.w.sent[n], "t4"));
        CHECK(f.w.shutting.contains(idle));
        while (!f.core.over() && f.now < told + 2200 * ms)
            f.settle(5 * ms);
        CHECK(f.w.sent[c].find("Connection: close\r\n") != std::string::npos);
        CHECK(f.w.closed.contains(c));
        CHECK(f.now <= told + 2000 * ms);
    }
    TEST_CASE("fresh ids, connections and nodes all day leave nothing behind") {
        Front f;
        for (int i = 0; i < 300; ++i) {
            auto c = f.client(read_of("t" + std::to_string(i)));
            f.answer(f.node(), reply(200, "x", "Connection: close\r\n"));
            f.core.gone(f.now, c, Gone::ended);
            f.settle(20 * ms);
        }
        CHECK(f.core.requests() == 0);
        CHECK(f.core.clients().open() == 0);
        CHECK(f.core.pools().open() == 0);
    }
}

TEST_CASE("a trace tells where what was counted and what was open differ, and what it can't read") {
    Trace t;
    for (auto line : {"[1] info trace attempt request=1 attempt=0 node=2 conn=3 how=0 at=5 "
                      "connected=100 written=120 first=900 over=950",
                      "trace attempt request=2 attempt=0 node=2 conn=3 how=5 at=5 connected=- "
                      "written=- first=- over=70",
                      "trace told request=1 attempt=0 late=40", "trace late us=2500",
                      "trace node id=2 counted=3 open=1", "trace node id=2 counted=1 open=1",
                      "serves address=x", "trace attempt how=x", "trace node counted=-"})
        t.line(line);
    auto r = t.report();
    for (auto part :
         {"answered: 1, us 950 in", "begun to be answered: 1; first byte to end: 1, us 50",
          "reset: 1, us 70", "new connections: 1, us 100", "looks at a node: 2",
          "less open connections 2: 1", "could not be read: 2"}) {
        CAPTURE(part);
        CHECK(has(r, part));
    }
}
// A class without a deadline was taken with one of 0 s: a stop ended at once. Without a connect
// timeout none came up.
TEST_CASE(
    "settings: what a site may leave out has no bound, what it may not is told with its path") {
    Front f("Permissions.ConnectTimeoutS=0\nPermissions.ConnIdleS=0\n");
    auto c = f.client(read_of("t1"));
    auto n = f.node(100 * ms);
    f.answer(n, reply(200, "one"));
    CHECK(f.w.sent[c].ends_with("one"));
    for (int i = 0; i < 20; ++i)
        f.settle(sec), f.blank();
    CHECK(!f.w.closed.contains(n));
    for (std::string wrong :
         {"Classes.1.DeadlineS=0", "Classes.1.DeadlineS=-1", "Permissions.ConnIdleS=-1"})
        CHECK_THROWS_WITH_AS(Front{wrong + "\n"},
                             doctest::Contains(wrong.substr(0, wrong.find('=')).c_str()),
                             scheduler_setup::MalformedInput);
    auto usual = settings_text();
    const std::string target = "Classes.0.TargetS=0.15\n";
    usual.erase(usual.find(target), target.size());
    Front g("", usual);
    c = g.client(read_of("t1"));
    g.answer(g.node(), reply(200, "one"), 200 * ms); // in time until its deadline
    CHECK(g.w.sent[c].ends_with("one"));
    std::vector<ConnId> wait;
    for (int i = 0; i < 8; ++i)
        wait.push_back(g.client(read_of("w" + std::to_string(i))));
    g.settle(20 * ms);
    CHECK(g.core.requests() == wait.size()); // none is late yet
}
TEST_CASE(
    "configuration: settings at the simulator's paths, names in order, a fault names its field") {
    std::string good =
        R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
        "limits":{"sockets":256},"settings":{"Classes":[{"Name":"a b","TargetS":0.15},{"Name":"c"}],"Report":{"Columns":[]},
        "Extra":{"Writes":[false,true]},"Contracts":[],"Zones":["z1","z2"]}})";
    Config c(good);
    CHECK(c.seed() == 0x8c1f30d27a5be964);
    CHECK(c.settings().count("Classes.count") == 2);
    CHECK(c.settings().number("Classes.0.TargetS") == 0.15);
    CHECK(c.settings().text("Extra.Writes") == "false,true");
    CHECK(c.names("Classes") == std::vector<std::string>{"a b", "c"});
    CHECK(c.names("Zones").size() == 2);
    for (std::string field : {"listen", "discovery", "seed", "sockets", "settings"}) {
        auto bad = good;
        bad.replace(bad.find("\"" + field), 1, "\"x");
        CHECK_THROWS_WITH_AS(Config{bad}, doctest::Contains(field.c_str()),
                             scheduler_setup::MalformedInput);
    }
    CHECK_THROWS_AS(Config{"[]"}, scheduler_setup::MalformedInput);
    CHECK_THROWS_AS(Config{"{"}, scheduler_setup::MalformedInput);
}
