// The planner's decisions: parts of limits in every order of events, leases, nodes' presence,
// drains, settings, other planners, and what an edge's copy takes.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "helpers.hpp"
#include "planner/desired_state_files.hpp"

using namespace knotvane;
using namespace knotvane::planner;

TEST_SUITE("parts of a limit") {
    TEST_CASE("shrink first, then grow: another edge gets its part once the first goes by less") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        CHECK(p.part(1) == 1000000);
        p.hello(ms, 2, {VolumeId{7}});
        CHECK(p.part(2) == 0);
        CHECK(p.core.allocation().bound(VolumeId{7}) == 1000000);
        p.read(1);
        CHECK(p.part(1) == 500000);
        p.renew(2 * ms, 1); // says that it goes by less
        p.renew(3 * ms, 2);
        CHECK(p.part(2) == 500000);
    }
    TEST_CASE("an edge that is silent keeps a quarter past its lease, and nothing past that") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.hello(0, 2, {VolumeId{7}}); // the first never says that it heard of this
        p.renew(0, 2);
        p.renew(1100 * ms, 2);
        CHECK(p.part(2) == 0);
        p.renew(1101 * ms, 2);
        p.renew(1102 * ms, 2);
        CHECK(p.part(2) == 750000);
        for (Time t = 2 * sec; t < 11 * sec; t += sec)
            p.renew(t, 2);
        CHECK(p.part(2) == 750000);
        for (Time t = 11101 * ms; t < 11105 * ms; t += ms)
            p.renew(t, 2);
        CHECK(p.part(2) == 1000000);
    }
    TEST_CASE("an edge that comes back has no right before it goes by what was lowered meanwhile") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        p.renew(0, 1);
        auto before = p.edges[1].renewals.size();
        p.core.settle(1200 * ms); // lapsed; the news of it is sent, and lies unread
        p.deliver(1300 * ms, 1, control::renew(1300 * ms, Term{1}, p.edges[1].replica.version()));
        p.core.settle(1300 * ms);
        p.read(1);
        CHECK(p.edges[1].renewals.size() == before);
        p.renew(1301 * ms, 1);
        CHECK(p.edges[1].renewals.size() == before + 1);
    }
    // Edges hold what they were last delivered, in any order, some of it never; and they fade on
    // their own.
    TEST_CASE("in any order of joins, leaves, news and lapses no more is held than the whole") {
        CHECK(rc::check([] {
            QuotaAllocation allocation;
            std::uint64_t version = 0;
            VolumeId v{1};
            struct Edge {
                std::uint32_t part = 0;
                Version at, least;
                int stage = 0; // 0 held, 1 a piece, 2 none
            };
            std::map<std::uint64_t, Edge> edges;
            std::map<std::uint64_t, std::vector<std::pair<Version, std::uint32_t>>>
                mail; // never lost, any order
            for (int i = 0, n = *rc::gen::inRange(1, 120); i < n; ++i) {
                auto id = *rc::gen::inRange<std::uint64_t>(0, 4);
                auto &e = edges[id];
                EdgeId edge{id};
                switch (*rc::gen::inRange(0, 7)) {
                case 0:
                    allocation.serve(v, edge, true);
                    break;
                case 1:
                    allocation.serve(v, edge, false);
                    break;
                case 2: // an edge takes one of its letters; older ones are dropped
                case 3:
                    if (!mail[id].empty()) {
                        auto at = *rc::gen::inRange<std::size_t>(0, mail[id].size());
                        auto [ver, part] = mail[id][at];
                        if (ver > e.at)
                            e.at = ver, e.part = part;
                    }
                    break;
                case 4: // its word comes in, perhaps an old one
                    allocation.acked(edge, e.at);
                    if (e.at >= e.least && e.stage < 2)
                        e.stage = 0, allocation.back(edge);
                    break;
                case 5:
                    if (e.stage == 0) {
                        e.stage = 1;
                        e.least = Version{version + allocation.lapsed(edge)};
                    }
                    break;
                case 6:
                    // It has faded out, or comes back with nothing.
                    if (e.stage == 1)
                        allocation.forgotten(edge), mail[id].clear(),
                            e = {0, Version{version}, {}, 0};
                    break;
                }
                ++version;
                allocation.allocate(
                    Version{version},
                    [&](VolumeId, EdgeId to, const control::QuotaShare &part) {
                        mail[to.value].emplace_back(Version{version}, part.millionths);
                    },
                    [](VolumeId, EdgeId, const QuotaAllocation::Hold *) {});
                std::uint64_t sum = 0;
                for (auto &[_, x] : edges)
                    sum += x.stage == 0 ? x.part : control::usable_millionths(x.part, 1, 1);
                RC_ASSERT(sum <= control::whole_limit);
                RC_ASSERT(allocation.bound(v) <= control::whole_limit);
            }
        }));
    }
    TEST_CASE("a store made anew parts nothing until what the old one gave must have run out") {
        PlannerFixture p(Term{1}, true);
        p.hello(0, 1, {VolumeId{7}});
        p.renew(0, 1);
        CHECK(p.part(1) == 0);
        for (Time t = 0; t <= 2200 * ms; t += 100 * ms)
            p.renew(t, 1);
        CHECK(p.part(1) == 750000);
        for (Time t = 2200 * ms; t <= 13 * sec; t += 100 * ms)
            p.renew(t, 1);
        CHECK(p.part(1) == 1000000);
    }
}

TEST_SUITE("presence of a node") {
    auto node = [] { return NodeLiveness(500 * ms, 200 * ms, 300 * ms, 60 * sec); };
    TEST_CASE("silent to the planner but reached by an edge that vouches for it: in") {
        auto n = node();
        n.heard(0, "a", 1, 0);
        int asked = 0;
        for (Time t = 0; t < 10 * sec; t += 100 * ms) {
            CHECK(n.in(t, 3));
            if (n.to_ask(t))
                ++asked, n.witness(EdgeId{1}, true);
        }
        CHECK(asked == 10);
    }
    TEST_CASE("silent, and nobody vouches for it: out after long") {
        auto n = node();
        n.heard(0, "a", 1, 0);
        CHECK(n.in(2500 * ms, 3));
        n.in(2501 * ms, 3);
        CHECK_FALSE(n.in(2701 * ms, 3));
    }
    TEST_CASE("silent, and out of reach for most edges for a while: out") {
        auto n = node();
        n.heard(0, "a", 1, 0);
        n.witness(EdgeId{1}, false);
        CHECK(n.in(sec, 3));
        n.witness(EdgeId{2}, false);
        CHECK(n.in(2 * sec, 3));
        CHECK(n.in(2199 * ms, 3));
        CHECK_FALSE(n.in(2200 * ms, 3));
    }
    TEST_CASE("out of reach for edges, but heard: in") {
        auto n = node();
        n.witness(EdgeId{1}, false);
        n.heard(0, "a", 1, 0);
        for (Time t = 0; t < 2 * sec; t += 100 * ms) {
            n.renewed(t), n.witness(EdgeId{1}, false);
            CHECK(n.in(t, 1));
        }
    }
    TEST_CASE("another life is in at once; the same has to be steady, the longer the more often it "
              "went") {
        auto n = node();
        n.heard(0, "a", 1, 0);
        n.in(0, 0), n.in(sec, 0);
        CHECK_FALSE(n.in(1200 * ms, 0));
        n.renewed(1300 * ms);
        CHECK_FALSE(n.in(1300 * ms, 0));
        CHECK(n.in(1600 * ms, 0));
        n.in(2 * sec, 0);
        CHECK_FALSE(n.in(2300 * ms, 0)); // the second time within a minute
        n.renewed(2400 * ms), n.in(2400 * ms, 0);
        CHECK_FALSE(n.in(2700 * ms, 0));
        n.heard(2800 * ms, "a", 2, 2800 * ms);
        CHECK(n.in(2800 * ms, 0));
        CHECK(n.started() == 2800 * ms);
    }
    TEST_CASE("one life keeps the start that was told first") {
        auto n = node();
        n.heard(0, "a", 1, 100);
        n.heard(sec, "a", 1, 107);
        CHECK(n.started() == 100);
    }
}

TEST_SUITE("drains and settings") {
    TEST_CASE("a drain says what it would do, needs force where nothing else serves, is durable "
              "before it is told") {
        PlannerFixture p;
        p.hello(0, 1);
        p.renew(0, 1);
        p.deliver(0, 50, control::ask_drain(NodeId{1}, true, 1));
        p.core.settle(0);
        p.read(50);
        CHECK_FALSE(p.edges[50].done);
        CHECK(p.edges[50].effect_text.find("no other ready node holds its shard") !=
              std::string::npos);
        p.recorded.durable = false;
        p.deliver(ms, 50, control::ask_drain(NodeId{1}, true, 2));
        p.core.settle(ms);
        p.read(50), p.read(1);
        CHECK_FALSE(p.edges[50].done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::ready);
        p.recorded.durable = true;
        p.core.settle(sec);
        p.read(50), p.read(1);
        CHECK(p.edges[50].done);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
    }
    TEST_CASE("a planner that comes back from its rows holds the drain, and says so") {
        PlannerFixture p;
        p.deliver(0, 50, control::ask_drain(NodeId{1}, true, 2));
        p.core.settle(0);
        RecordingTransport after;
        Core again(after, after, sec, 100 * ms, 10 * sec, 500 * ms, 200 * ms, 200 * ms, sec);
        for (auto &[key, row] : p.recorded.rows) {
            auto [kind, a, b] = key;
            CHECK(again.restore(kind, a, b, row.first, row.second) == "");
        }
        again.start(0, Term{2}, 12, 5, p.recorded.version, Version{0}, 1, false);
        again.settle(0);
        CHECK(again.state().cluster_state().nodes.at(NodeId{1}).state == NodeState::draining);
        CHECK(again.state().cluster_state().volumes == p.core.state().cluster_state().volumes);
        CHECK(again.version() == p.recorded.version);
    }
    auto refusals = [](PlannerFixture &p, const DesiredState &w, Time now = 0) {
        std::vector<std::pair<int, std::string>> faults;
        p.core.apply_desired_state(now, w, faults);
        std::string all;
        for (auto &[line, what] : faults)
            all += std::to_string(line) + ":" + what + ";";
        return all;
    };
    TEST_CASE(
        "a node in use can't be left out before its drain was known long enough; then it can") {
        PlannerFixture p;
        auto less = desired(2);
        less.nodes.erase(NodeId{1});
        CHECK(refusals(p, less).find("drain it first") != std::string::npos);
        CHECK(p.core.settings() == 1);
        auto draining = desired(2);
        draining.nodes.at(NodeId{1}).draining = true;
        CHECK(refusals(p, draining) == "");
        p.core.settle(0);
        less.version = 3;
        CHECK(refusals(p, less, 999 * ms) != "");
        CHECK(refusals(p, less, 1000 * ms) == "");
        CHECK_FALSE(p.core.state().cluster_state().nodes.contains(NodeId{1}));
    }
    TEST_CASE("an older version, a shard that changes, a volume that shrinks or has clients: "
              "refused whole") {
        PlannerFixture p;
        p.hello(0, 1, {VolumeId{7}});
        auto w = desired(3);
        w.nodes.at(NodeId{1}).shard = ShardId{5};
        w.volumes.at(VolumeId{7}).fact.size = 512;
        w.plans.at("p").weight = 9;
        auto all = refusals(p, w);
        CHECK(all.find("20:node 1 holds shard 0") != std::string::npos);
        CHECK(all.find("12:volume v would shrink") != std::string::npos);
        CHECK(p.core.state().cluster_state().plans.begin()->second.weight == 1);
        w = desired(3);
        w.volumes[VolumeId{8}] = {{"w", 512, 512, {}}, "p", 0};
        w.volumes.erase(VolumeId{7});
        CHECK(refusals(p, w).find("has clients at 1 edges") != std::string::npos);
        CHECK(refusals(p, desired(3)) == "");
        CHECK(refusals(p, desired(2)).find("older than the one in use, 3") != std::string::npos);
    }
    TEST_CASE("the fleet's file: what is written is read; cut short anywhere it is refused, with a "
              "line") {
        auto text = write_fleet(desired());
        std::vector<std::string> faults;
        auto back = read_fleet("f", text, faults);
        CHECK(faults.empty());
        CHECK(write_fleet(back) == text);
        auto whole = text.find_last_not_of("\n");
        for (std::size_t cut = 0; cut < whole; ++cut) {
            faults.clear();
            read_fleet("f", text.substr(0, cut), faults);
            CHECK_FALSE(faults.empty());
        }
        faults.clear();
        read_fleet("f",
                   "[fleet]\nversion = 1\nnodes = 0\nplans = 1\nvolumes = 1\n[plan p]\nweight = "
                   "0\nreserve = 5\n"
                   "[volume v]\nsize = 4KiB\nplan = p\n[end]\nversion = 1\n",
                   faults);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0] == "f:7: [plan p] weight = 0: a plan with a reserve can't weigh nothing: "
                           "its reserve would not be met");
    }
}

TEST_SUITE("other planners, and what edges take") {
    TEST_CASE("an edge that follows a newer term: this planner stops, and hands out nothing more") {
        PlannerFixture p(Term{3});
        p.deliver(0, 1, control::edge_hello(EdgeId{1}, "e", Term{4}, 9, 5, Version{0}, {}, {}));
        p.core.settle(0);
        CHECK(p.recorded.is_retired);
        CHECK(p.recorded.sent[SessionId{1}].empty());
    }
    TEST_CASE("two planners under one term, and a store that is an old copy, are noticed, too") {
        PlannerFixture p(Term{3});
        p.deliver(0, 1, control::edge_hello(EdgeId{1}, "e", Term{3}, 99, 5, Version{0}, {}, {}));
        CHECK(p.recorded.is_retired);
        PlannerFixture q(Term{3});
        q.deliver(0, 1, control::edge_hello(EdgeId{1}, "e", Term{2}, 9, 5, Version{900}, {}, {}));
        CHECK(q.recorded.is_retired);
    }
    TEST_CASE(
        "a store made anew goes above the term it meets, and holds the drains that edges know of") {
        PlannerFixture p(Term{1}, true);
        p.deliver(
            0, 1,
            control::edge_hello(EdgeId{1}, "e", Term{8}, 9, 77, Version{30}, {NodeId{2}}, {}));
        p.core.settle(0);
        CHECK_FALSE(p.recorded.is_retired);
        CHECK(p.core.term() == Term{9});
        CHECK(p.core.state().cluster_state().nodes.at(NodeId{2}).state == NodeState::draining);
    }
    TEST_CASE("changes are told once each, however often they changed; what is not answered is "
              "told again") {
        PlannerFixture p;
        p.hello(0, 1);
        p.renew(0, 1);
        CHECK(p.edges[1].last == control::UpdateResult::whole);
        for (std::uint64_t incarnation = 2; incarnation < 9; ++incarnation)
            p.node(ms, 1, incarnation, 0), p.core.settle(ms);
        p.read(1);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 2);
        p.renew(2 * ms, 1);
        CHECK(p.edges[1].last == control::UpdateResult::changes);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 8);
        CHECK(p.edges[1].replica.version() == p.core.version());
        p.renew(2 * ms, 1);
        p.node(3 * ms, 1, 20, 0), p.core.settle(3 * ms);
        p.recorded.sent.clear(); // lost
        p.core.settle(1100 * ms);
        p.read(1);
        CHECK(p.edges[1].replica.cluster_state().nodes.at(NodeId{1}).incarnation == 20);
    }
    TEST_CASE("a peer that talks out of turn, or no protocol, is closed with one line") {
        PlannerFixture p;
        p.deliver(0, 60, control::renew(0, Term{1}, Version{1}));
        p.deliver(0, 61, "GET / HTTP/1.1\r\n\r\n");
        p.deliver(0, 61, "more of it");
        CHECK(p.recorded.closed.size() == 2);
        CHECK(p.recorded.logged.back().find("a message of") != std::string::npos);
    }
    TEST_CASE(
        "an edge's copy: a gap, a broken count, an older term, another instance change nothing") {
        control::ClusterStateReplica c;
        auto news = [&](std::uint64_t term, std::uint64_t instance, std::uint64_t version,
                        std::uint64_t from, std::uint64_t count = 1) {
            c.begins(Term{term}, instance, 1, Version{version}, Version{from});
            c.put(VolumeId{version},
                  control::Volume{"v" + std::to_string(version), 512, 512, PlanId{0}});
            return c.ends(Version{version}, count);
        };
        CHECK(news(2, 1, 5, 0) == control::UpdateResult::whole);
        CHECK(news(2, 1, 7, 6) == control::UpdateResult::gap);
        CHECK(news(2, 1, 6, 5, 2) == control::UpdateResult::broken);
        CHECK(news(2, 1, 5, 0) == control::UpdateResult::old);
        CHECK(news(1, 1, 9, 0) == control::UpdateResult::foreign);
        CHECK(news(2, 2, 9, 0) == control::UpdateResult::foreign);
        CHECK(c.cluster_state().names.size() == 1);
        CHECK(news(2, 1, 6, 5) == control::UpdateResult::changes);
        CHECK(news(3, 9, 8, 6) == control::UpdateResult::changes);
        CHECK(c.cluster_state().names.size() == 3);
        CHECK(c.ends(Version{8}, 0) == control::UpdateResult::broken);
    }
}
