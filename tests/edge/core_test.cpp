// The edge: each outcome from the event that it names, layout, flushes, the node list, settings.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "edge/endpoint_file.hpp"
#include "edge/settings.hpp"
#include "edge/unflushed_writes.hpp"
#include "helpers.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using Lines = std::vector<std::string>;

TEST_SUITE("links: every outcome comes from its event") {
    TEST_CASE("answered, error, full, and what the node proves not to have run") {
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
    TEST_CASE("timed_out: sent and not answered in its time; a late answer is not told") {
        Linked l;
        l.start_attempt(1);
        l.links.tick(100 * ms); // when the connection's own time to be made is looked at
        CHECK(l.links.next_due() == sec);
        l.links.tick(sec);
        l.links.received(sec + 1, l.link, answer(2, node_protocol::Status::ok));
        CHECK(l.w.told == Lines{"1 timed_out "});
    }
    TEST_CASE("unreachable: refused, not listed, or no connection within its time") {
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
    TEST_CASE("reset: the connection is lost with the shot on it") {
        Linked l;
        l.start_attempt(1);
        l.links.disconnected(l.link);
        CHECK(l.w.told == Lines{"1 reset "});
    }
    TEST_CASE("called_off: asked for while it is out; unsent where nothing had gone out") {
        Linked l;
        l.start_attempt(1);
        l.links.cancel_attempt(RequestId{1}, AttemptId{0});
        Linked m(false);
        m.start_attempt(2);
        m.links.cancel_attempt(RequestId{2}, AttemptId{0});
        CHECK(l.w.told == Lines{"1 called_off "});
        CHECK(m.w.told == Lines{"2 unsent "});
    }
    TEST_CASE("unsent: lost or out of time before a byte of it went out") {
        Linked l(false);
        l.start_attempt(1);
        l.links.connected(ms, l.link); // greeted, but no welcome comes
        l.links.disconnected(l.link);
        Linked m(true, 100); // a hundred bytes: one frame, the rest waits
        m.start_attempt(1);
        m.start_attempt(2);
        m.start_attempt(3);
        m.links.disconnected(m.link);
        CHECK(l.w.told == Lines{"1 unsent "});
        std::sort(m.w.told.begin(), m.w.told.end());
        CHECK(std::count(m.w.told.begin(), m.w.told.end(), "3 unsent ") == 1);
    }
    TEST_CASE("a node silent in the middle of an answer costs its connection, soon") {
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
    TEST_CASE("a garbled answer, a wrong node, an unasked frame end the connection with a reason") {
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
    TEST_CASE("what the other side does not take waits here, and goes when there is room") {
        Linked l(true, 200);
        for (std::uint64_t t = 1; t <= 9; ++t)
            l.start_attempt(t);
        auto before = l.w.sent[l.link].size();
        l.links.sent(ms, l.link, before);
        CHECK(l.w.sent[l.link].size() > before);
    }
    TEST_CASE(
        "a node that is not listed any more keeps its connection until the last shot is over") {
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
    TEST_CASE("a not-after time by the node's clock is never later than by ours") {
        Linked l(false);
        l.work->kind = node_protocol::FrameKind::write, l.work->not_after = 500 * ms;
        l.start_attempt(1);
        l.links.connected(10 * ms, l.link);
        l.links.received(30 * ms, l.link,
                         welcome(1, 7 * sec)); // said 7 s at some moment between 10 and 30 ms
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

TEST_SUITE("layout and flushes") {
    TEST_CASE("every edge places alike, and shards share evenly") {
        std::vector<ShardId> shards;
        for (int i = 0; i < 8; ++i)
            shards.emplace_back(i);
        Layout a(1 << 20, 1 << 16, shards), b(1 << 20, 1 << 16, {shards.rbegin(), shards.rend()});
        std::map<ShardId, int> count;
        for (std::uint64_t e = 0; e < 4000; ++e) {
            CHECK(a.shard_of(VolumeId{3}, e << 20) == b.shard_of(VolumeId{3}, e << 20));
            ++count[a.shard_of(VolumeId{3}, e << 20)];
        }
        for (auto &[s, n] : count)
            CHECK((n > 400 && n < 600));
    }
    TEST_CASE("writes that overlap have a piece with the same key") {
        CHECK(rc::check([](std::uint16_t a, std::uint16_t na, std::uint16_t b, std::uint16_t nb) {
            Layout l(1 << 20, 1 << 16, {ShardId{0}});
            auto keys = [&](std::uint64_t at, std::uint64_t n) {
                std::set<KeyId> out;
                for (; n > 0;) {
                    auto cut = l.split_length(at, n, true);
                    out.insert(l.key_of(VolumeId{1}, at));
                    at += cut, n -= cut;
                }
                return out;
            };
            std::uint64_t x = a * 512ull, nx = (na % 300 + 1) * 512ull, y = b % 1000 * 512ull,
                          ny = (nb % 300 + 1) * 512ull;
            if (x >= y + ny || y >= x + nx)
                return;
            auto one = keys(x, nx), two = keys(y, ny);
            RC_ASSERT(std::any_of(one.begin(), one.end(), [&](auto k) { return two.contains(k); }));
        }));
    }
    TEST_CASE("a flush covers what was written before it, and not what came meanwhile") {
        UnflushedWrites u;
        u.write_answered(ShardId{1}, 1);
        auto mark = u.flush_mark();
        u.write_answered(ShardId{1}, 1);
        u.flush_answered(ShardId{1}, 1, mark);
        CHECK(u.shards_to_flush().size() == 1);
        u.flush_answered(ShardId{1}, 1, u.flush_mark());
        CHECK(u.shards_to_flush().empty());
        CHECK(u.losses() == 0);
    }
    TEST_CASE("a store of another life has lost what was not flushed") {
        UnflushedWrites u;
        u.write_answered(ShardId{1}, 1);
        u.flush_answered(ShardId{1}, 2, u.flush_mark());
        CHECK(u.losses() == 1);
        u.write_answered(ShardId{2}, 1);
        u.write_answered(ShardId{2}, 3);
        CHECK(u.losses() == 2);
    }
}

TEST_SUITE("files") {
    EndpointList list() {
        EndpointList l;
        l.version = 7;
        l.nodes = {{NodeId{1}, "127.0.0.1:1", ShardId{0}, ZoneId{0}, NodeState::ready, 5},
                   {NodeId{2}, "127.0.0.1:2", ShardId{1}, ZoneId{0}, NodeState::draining, 6}};
        return l;
    }
    TEST_CASE("a node list is read as it was written") {
        Lines faults;
        auto got = parse_endpoint_list("f", format_endpoint_list(list()), faults);
        CHECK(faults.empty());
        CHECK(got.nodes.size() == 2);
        CHECK(got.nodes[1].state == NodeState::draining);
    }
    TEST_CASE("a list cut short anywhere is none") {
        auto text = format_endpoint_list(list());
        auto whole = text.size() - 1; // without the last line's end it still says all
        for (std::size_t n = 0; n < whole; ++n) {
            Lines faults;
            CHECK(parse_endpoint_list("f", text.substr(0, n), faults).nodes.empty());
            CHECK_MESSAGE(!faults.empty(), n);
        }
    }
    TEST_CASE("contradictions are told with their line") {
        auto text = format_endpoint_list(list());
        auto with = [&](const std::string &from, const std::string &to) {
            auto t = text;
            t.replace(t.find(from), from.size(), to);
            Lines faults;
            parse_endpoint_list("f", t, faults);
            std::string all;
            for (auto &f : faults)
                all += f + "\n";
            return all;
        };
        CHECK(with("nodes = 2", "nodes = 3") == "f:3: [list] nodes = 3: the file lists 2 nodes\n");
        CHECK(with("127.0.0.1:2", "127.0.0.1:1").find("f:13:") == 0);
        CHECK(with("state = draining", "state = dreaming")
                  .find("expected one of draining, gone, ready") != std::string::npos);
        CHECK(with("[node 2]", "[node 1]").find("stands twice") != std::string::npos);
        CHECK(with("shard = 1", "shrad = 1").find("needs the key 'shard'") != std::string::npos);
    }
    TEST_CASE("an edge's settings: one line for each fault") {
        std::string text = R"([edge]
id = 1
edges = 1
nodes = nodes.ini
color = blue
[layout]
extent = 100KiB
span = 64KiB
unit = 64KB
shards = 3
[plan p]
weight = 0
reserve = 100
[volume v]
size = 1000
plan = q
[workload w]
command = write
due = 4s
client_timeout = 3s
repeat = numbered
window = 2500ms
key_rest = 1s
)";
        settings::File f("edge.ini", text);
        check(f);
        auto faults = f.faults();
        auto has = [&](const std::string &what) {
            bool found = std::any_of(faults.begin(), faults.end(),
                                     [&](auto &x) { return x.find(what) != std::string::npos; });
            CHECK_MESSAGE(found, what);
        };
        has("edge.ini:2: [edge] id = 1: expected below edges");
        has("edge.ini:5: key 'color' is not known in [edge]");
        has("edge.ini:7: [layout] extent = 100KiB: expected a multiple of span");
        has("edge.ini:9: [layout] unit = 64KB: expected a size like");
        has("edge.ini:12: [plan p] weight = 0: a plan with a reserve can't weigh nothing");
        has("edge.ini:15: [volume v] size = 1000: expected a multiple of align");
        has("edge.ini:16: [volume v] plan = q: no section [plan q]");
        has("edge.ini:19: [workload w] due = 4s: expected above 0 and at most client_timeout");
        has("edge.ini:23: [workload w] key_rest = 1s: expected at least how long a shot may still "
            "run");
        has("no [workload NAME] is for every read");
    }
}
