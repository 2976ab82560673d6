// The edge's word with the planner: what it goes on doing by how old its plan is, the plan on disk,
// coming back.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "edge/planner_client.hpp"

using namespace knotvane;
using namespace knotvane::edge;
using control::Term;
using control::Version;

namespace {

struct RecordingActions final : edge::PlannerClientActions {
    std::string sent, disk;
    std::vector<std::string> logged;
    int connects = 0, disconnects = 0;
    std::map<VolumeId, double> sharers;
    std::map<NodeId, NodeState> nodes;
    std::map<NodeId, Time> started;
    void connect_planner() override { ++connects; }
    void disconnect_planner() override { ++disconnects; }
    void send_planner(std::string bytes) override { sent += bytes; }
    void store_plan(std::string bytes, bool anew) override { disk = anew ? bytes : disk + bytes; }
    void log_event(std::string text) override { logged.push_back(std::move(text)); }
    void cluster_state_changed(const control::ClusterState &cluster_state, bool, bool,
                               const std::map<NodeId, Time> &when) override {
        nodes.clear();
        for (auto &[id, n] : cluster_state.nodes)
            nodes[id] = n.state;
        started = when;
    }
    void quota_share_changed(VolumeId v, double h) override { sharers[v] = h; }
};

std::string node(NodeState state, std::uint64_t incarnation = 1, Time started = 0) {
    return control::put(NodeId{1},
                        control::Node{"a", ShardId{0}, ZoneId{0}, state, started, incarnation});
}
std::string news(std::uint64_t version, std::uint64_t from, const std::string &what,
                 std::uint64_t count, Time planner_now = 0, std::uint64_t term = 1,
                 std::uint64_t instance = 1) {
    return control::begins(Term{term}, instance, 1, Version{version}, Version{from}, planner_now) +
           what + control::ends(Version{version}, count);
}

// Up since 0, with volume 7 in use, its half part told, and a lease of one second from there; fade
// ten.
struct Following {
    RecordingActions line;
    PlannerClient s{line, control::EdgeId{3}, "e", 1, 300 * ms, 3600 * sec};
    Following() {
        s.start(0, {});
        s.tick(0);
        s.connected(0);
        s.volume_used(0, VolumeId{7}, true);
        s.received(0, news(1, 0,
                           node(NodeState::ready) +
                               control::put(VolumeId{7}, control::QuotaShare{500000, 2}),
                           2));
        s.received(0, control::renewed(0, Term{1}, sec, 10 * sec, Version{1}));
    }
};

} // namespace

TEST_SUITE("what an edge does by the age of its plan") {
    TEST_CASE(
        "no part before it is told one; all of it within the lease, a quarter past it, then none") {
        Following f;
        CHECK(f.line.sharers.at(VolumeId{7}) == 2);
        f.s.tick(sec);
        CHECK(f.line.sharers.at(VolumeId{7}) == 2);
        CHECK(f.s.next_due() <= sec + 1);
        f.s.tick(sec + 1);
        CHECK(f.line.sharers.at(VolumeId{7}) == 8);
        CHECK(f.line.nodes.at(NodeId{1}) == NodeState::ready); // served on
        f.s.tick(11 * sec);
        CHECK(f.line.sharers.at(VolumeId{7}) == 8);
        f.s.tick(11 * sec + 1);
        CHECK(std::isinf(f.line.sharers.at(VolumeId{7})));
        RecordingActions fresh;
        PlannerClient t(fresh, control::EdgeId{3}, "e", 1, 300 * ms, 3600 * sec);
        t.start(0, {});
        t.volume_used(0, VolumeId{7}, true);
        CHECK(std::isinf(fresh.sharers.at(VolumeId{7})));
    }
    TEST_CASE(
        "a renewal counts from when it was asked for, and not for an older plan than it is for") {
        Following f;
        f.s.received(900 * ms, control::renewed(200 * ms, Term{1}, sec, 10 * sec, Version{1}));
        f.s.tick(1200 * ms);
        CHECK(f.line.sharers.at(VolumeId{7}) == 2);
        f.s.tick(1200 * ms + 1);
        CHECK(f.line.sharers.at(VolumeId{7}) == 8);
        f.s.received(1300 * ms, control::renewed(1250 * ms, Term{1}, sec, 10 * sec, Version{2}));
        f.s.received(1300 * ms, control::renewed(1250 * ms, Term{2}, sec, 10 * sec, Version{1}));
        CHECK(f.line.sharers.at(VolumeId{7}) == 8);
        f.s.received(1300 * ms, control::renewed(1250 * ms, Term{1}, sec, 10 * sec, Version{1}));
        CHECK(f.line.sharers.at(VolumeId{7}) == 2);
    }
    TEST_CASE("a volume without clients has no part, and none comes in meanwhile") {
        Following f;
        f.s.volume_used(ms, VolumeId{7}, false);
        CHECK(std::isinf(f.line.sharers.at(VolumeId{7})));
        f.s.received(ms, news(2, 1, control::drop_quota_share(VolumeId{7}), 1));
        f.s.volume_used(2 * ms, VolumeId{7}, true);
        CHECK(std::isinf(f.line.sharers.at(VolumeId{7})));
    }
    TEST_CASE("one life of a node keeps its start; late news makes it younger, never older") {
        Following f;
        f.s.received(5 * sec, news(2, 1, node(NodeState::ready, 2, 100 * sec), 1, 101 * sec));
        CHECK(f.line.started.at(NodeId{1}) == 4 * sec);
        f.s.received(9 * sec, news(3, 2, node(NodeState::draining, 2, 100 * sec), 1, 102 * sec));
        CHECK(f.line.started.at(NodeId{1}) == 4 * sec);
    }
}

TEST_SUITE("the plan on disk") {
    TEST_CASE(
        "cut at any byte: the last whole news of it is used, drains among them, and no part") {
        Following f;
        auto first = f.line.disk.size();
        f.s.received(ms, news(2, 1, node(NodeState::draining), 1));
        auto all = f.line.disk;
        REQUIRE(all.size() > first);
        for (std::size_t cut = 0; cut <= all.size(); ++cut) {
            RecordingActions line;
            PlannerClient s(line, control::EdgeId{3}, "e", 1, 300 * ms, 3600 * sec);
            s.start(sec, std::string_view(all).substr(0, cut));
            s.volume_used(sec, VolumeId{7}, true);
            CHECK(std::isinf(line.sharers.at(VolumeId{7})));
            if (cut < first)
                CHECK(line.nodes.empty());
            else
                CHECK(line.nodes.at(NodeId{1}) ==
                      (cut < all.size() ? NodeState::ready : NodeState::draining));
            // What is added from here on is read at the next start.
            if (cut < first)
                continue;
            s.connected(sec);
            s.received(sec, news(9, cut < all.size() ? 1 : 2, node(NodeState::removed), 1));
            RecordingActions next;
            PlannerClient t(next, control::EdgeId{3}, "e", 1, 300 * ms, 3600 * sec);
            t.start(sec, line.disk);
            CHECK(next.nodes.at(NodeId{1}) == NodeState::removed);
        }
    }
    TEST_CASE("too old, or from the future by a clock that went back: not used, and said") {
        Following f;
        for (Time now : {3601 * sec, -61 * sec}) {
            RecordingActions line;
            PlannerClient s(line, control::EdgeId{3}, "e", 1, 300 * ms, 3600 * sec);
            s.start(now, f.line.disk);
            CHECK(line.nodes.empty());
            CHECK(line.logged.size() == 1);
        }
    }
}

TEST_SUITE("the connection to the planner") {
    TEST_CASE(
        "an older term, or a second planner under one term, is told so and left; nothing changes") {
        for (auto [term, instance] : {std::pair{1u, 2u}, std::pair{0u, 1u}}) {
            Following f;
            f.line.sent.clear();
            f.s.received(ms, news(9, 0, node(NodeState::removed), 1, 0, term, instance));
            CHECK(f.line.nodes.at(NodeId{1}) == NodeState::ready);
            CHECK(f.line.disconnects == 1);
            CHECK(f.line.sent == control::superseded(Term{1}));
            CHECK(f.line.logged.size() == 1);
        }
    }
    TEST_CASE("a gap is asked about; half of a list is none") {
        Following f;
        f.line.sent.clear();
        f.s.received(ms, news(9, 5, node(NodeState::removed), 1));
        CHECK(f.line.sent == control::ask());
        f.s.received(ms, control::begins(Term{1}, 1, 1, Version{9}, Version{0}, 0) +
                             node(NodeState::removed));
        f.s.disconnected(2 * ms);
        CHECK(f.line.nodes.at(NodeId{1}) == NodeState::ready);
    }
    TEST_CASE("280 edges that lose a planner come back spread out, each later after each failure") {
        std::vector<Time> first, fifth;
        for (std::uint64_t e = 0; e < 280; ++e) {
            RecordingActions line;
            PlannerClient s(line, control::EdgeId{e}, "e", 1, sec, sec);
            s.start(0, {}), s.connected(0);
            s.disconnected(0);
            first.push_back(s.next_due());
            Time now = 0;
            for (int i = 0; i < 4; ++i)
                now = s.next_due(), s.tick(now), s.disconnected(now);
            fifth.push_back(s.next_due() - now);
        }
        auto within = [](std::vector<Time> &v,
                         Time width) { // the most that fall into one such span
            std::sort(v.begin(), v.end());
            std::size_t most = 0;
            for (std::size_t i = 0, j = 0; j < v.size(); ++j) {
                while (v[j] - v[i] > width)
                    ++i;
                most = std::max(most, j - i + 1);
            }
            return most;
        };
        CHECK(within(first, 10 * ms) < 30);
        CHECK(first.back() <= 250 * ms);
        CHECK(within(fifth, 100 * ms) < 30);
        CHECK(fifth.back() > 2 * sec);
    }
    TEST_CASE(
        "a planner that answers nothing is left; one that is not reached is given up in time") {
        Following f;
        for (Time t = 0; t < 2 * sec; t += 100 * ms)
            f.s.tick(t);
        CHECK(f.line.disconnects == 1);
        auto connects = f.line.connects;
        f.s.tick(f.s.next_due());
        CHECK(f.line.connects == connects + 1);
        f.s.tick(f.s.next_due()); // nothing came of it
        CHECK(f.line.connects == connects + 2);
    }
    TEST_CASE("a node is called out of reach after three failures over half a second, and in reach "
              "by one answer") {
        Following f;
        f.line.sent.clear();
        for (Time t : {0 * ms, 100 * ms, 200 * ms})
            f.s.attempt_completed(t, NodeId{1}, AttemptOutcome::unreachable);
        CHECK(f.line.sent == "");
        f.s.attempt_completed(600 * ms, NodeId{1}, AttemptOutcome::reset);
        f.s.attempt_completed(700 * ms, NodeId{1}, AttemptOutcome::timed_out);
        CHECK(f.line.sent == control::witness(NodeId{1}, false));
        f.line.sent.clear();
        f.s.attempt_completed(800 * ms, NodeId{1}, AttemptOutcome::overloaded);
        CHECK(f.line.sent == control::witness(NodeId{1}, true));
        f.line.sent.clear();
        f.s.received(900 * ms, control::ask_witness(NodeId{1}));
        f.s.received(7 * sec, control::ask_witness(NodeId{1})); // too long ago to vouch
        CHECK(f.line.sent == control::witness(NodeId{1}, true));
    }
}
