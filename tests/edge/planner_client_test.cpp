// The edge's side of its connection to the planner: what it goes by as its state ages, the state on
// the disk, reconnecting.
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
    void store_cluster_state(std::string bytes, bool replace) override {
        disk = replace ? bytes : disk + bytes;
    }
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
    return control::encode(control::NodeUpdate{
        NodeId{1}, control::Node{"a", ShardId{0}, ZoneId{0}, state, started, incarnation}});
}

struct PlannerProcess {
    std::uint64_t term = 1;
    std::uint64_t instance = 1;
};

std::string update(std::uint64_t version, std::uint64_t from, const std::string &entries,
                   std::uint64_t count, Time planner_time = 0, PlannerProcess planner = {}) {
    return control::encode(control::UpdateBegin{Term{planner.term}, planner.instance, 1,
                                                Version{version}, Version{from}, planner_time}) +
           entries + control::encode(control::UpdateEnd{Version{version}, count});
}

std::string renewed(Time sent_at, std::uint64_t term, std::uint64_t min_version) {
    return control::encode(
        control::LeaseRenewed{sent_at, Term{term}, sec, 10 * sec, Version{min_version}});
}

std::string report(NodeId node, bool reachable) {
    return control::encode(control::ReachabilityReport{node, reachable});
}

PlannerClientConfig config(std::uint64_t edge = 3) {
    return {control::EdgeId{edge}, "e", 1, 300 * ms, 3600 * sec};
}

// Up since 0, with volume 7 in use, its half part told, and a lease of one second from there; fade
// ten.
struct Following {
    RecordingActions actions;
    PlannerClient client{actions, config()};
    Following() {
        client.start(0, {});
        client.tick(0);
        client.connected(0);
        client.volume_used(0, VolumeId{7}, true);
        client.received(
            0, update(1, 0,
                      node(NodeState::ready) + control::encode(control::QuotaShareUpdate{
                                                   VolumeId{7}, control::QuotaShare{500000, 2}}),
                      2));
        client.received(0, renewed(0, 1, 1));
    }
};

} // namespace

TEST_SUITE("what an edge goes by as its state ages") {
    // An edge loses its planner, which will give its quota share to others. It must use no more
    // than the planner counts for it, and go on serving.
    TEST_CASE("no share before it is told one; all of it within the lease, a quarter past it, then "
              "none") {
        Following f;
        CHECK(f.actions.sharers.at(VolumeId{7}) == 2);
        f.client.tick(sec);
        CHECK(f.actions.sharers.at(VolumeId{7}) == 2);
        CHECK(f.client.next_due() <= sec + 1);
        f.client.tick(sec + 1);
        CHECK(f.actions.sharers.at(VolumeId{7}) == 8);
        CHECK(f.actions.nodes.at(NodeId{1}) == NodeState::ready); // served on
        f.client.tick(11 * sec);
        CHECK(f.actions.sharers.at(VolumeId{7}) == 8);
        f.client.tick(11 * sec + 1);
        CHECK(std::isinf(f.actions.sharers.at(VolumeId{7})));
        RecordingActions fresh;
        PlannerClient other(fresh, config());
        other.start(0, {});
        other.volume_used(0, VolumeId{7}, true);
        CHECK(std::isinf(fresh.sharers.at(VolumeId{7})));
    }
    // An answer to a renewal is late, or is for a version that this edge does not hold: counted
    // from its arrival, the lease would outlast what the planner counts.
    TEST_CASE(
        "a lease counts from when its renewal was sent, and only with the version that it is for") {
        Following f;
        f.client.received(900 * ms, renewed(200 * ms, 1, 1));
        f.client.tick(1200 * ms);
        CHECK(f.actions.sharers.at(VolumeId{7}) == 2);
        f.client.tick(1200 * ms + 1);
        CHECK(f.actions.sharers.at(VolumeId{7}) == 8);
        f.client.received(1300 * ms, renewed(1250 * ms, 1, 2));
        f.client.received(1300 * ms, renewed(1250 * ms, 2, 1));
        CHECK(f.actions.sharers.at(VolumeId{7}) == 8);
        f.client.received(1300 * ms, renewed(1250 * ms, 1, 1));
        CHECK(f.actions.sharers.at(VolumeId{7}) == 2);
    }
    // The last client of a volume leaves; by the time the next one comes, the share may be another
    // edge's.
    TEST_CASE("a volume without clients has no share, and none comes in meanwhile") {
        Following f;
        f.client.volume_used(ms, VolumeId{7}, false);
        CHECK(std::isinf(f.actions.sharers.at(VolumeId{7})));
        f.client.received(
            ms, update(2, 1, control::encode(control::QuotaShareRemoval{VolumeId{7}}), 1));
        f.client.volume_used(2 * ms, VolumeId{7}, true);
        CHECK(std::isinf(f.actions.sharers.at(VolumeId{7})));
    }
    // An update is late. A node that is taken for older than it is would get its full load while
    // cold.
    TEST_CASE(
        "an incarnation of a node keeps its start; a late update makes it younger, never older") {
        Following f;
        f.client.received(5 * sec,
                          update(2, 1, node(NodeState::ready, 2, 100 * sec), 1, 101 * sec));
        CHECK(f.actions.started.at(NodeId{1}) == 4 * sec);
        f.client.received(9 * sec,
                          update(3, 2, node(NodeState::draining, 2, 100 * sec), 1, 102 * sec));
        CHECK(f.actions.started.at(NodeId{1}) == 4 * sec);
    }
}

TEST_SUITE("the plan on disk") {
    // The edge's host lost power while the plan was written. Half of an update must not be used,
    // and no share may be: it is another edge's by now.
    TEST_CASE("cut at any byte: the last whole update is used, drains among them, and no share") {
        Following f;
        auto first = f.actions.disk.size();
        f.client.received(ms, update(2, 1, node(NodeState::draining), 1));
        auto all = f.actions.disk;
        REQUIRE(all.size() > first);
        for (std::size_t cut = 0; cut <= all.size(); ++cut) {
            RecordingActions actions;
            PlannerClient client(actions, config());
            client.start(sec, std::string_view(all).substr(0, cut));
            client.volume_used(sec, VolumeId{7}, true);
            CHECK(std::isinf(actions.sharers.at(VolumeId{7})));
            if (cut < first)
                CHECK(actions.nodes.empty());
            else
                CHECK(actions.nodes.at(NodeId{1}) ==
                      (cut < all.size() ? NodeState::ready : NodeState::draining));
            // What is added from here on is read at the next start.
            if (cut < first)
                continue;
            client.connected(sec);
            client.received(sec, update(9, cut < all.size() ? 1 : 2, node(NodeState::removed), 1));
            RecordingActions next;
            PlannerClient other(next, config());
            other.start(sec, actions.disk);
            CHECK(next.nodes.at(NodeId{1}) == NodeState::removed);
        }
    }
    // An edge starts without a planner from a plan that is days old: nodes in it may be others by
    // now.
    TEST_CASE("too old, or from the future by a clock that went back: not used, and logged") {
        Following f;
        for (Time now : {3601 * sec, -61 * sec}) {
            RecordingActions actions;
            PlannerClient client(actions, config());
            client.start(now, f.actions.disk);
            CHECK(actions.nodes.empty());
            CHECK(actions.logged.size() == 1);
        }
    }
}

TEST_SUITE("the connection to the planner") {
    // A planner was paused, a standby took over, and the first one goes on sending.
    TEST_CASE(
        "an older term, or a second planner under one term, is told so and left; nothing changes") {
        for (auto [term, instance] : {std::pair{1u, 2u}, std::pair{0u, 1u}}) {
            Following f;
            f.actions.sent.clear();
            f.client.received(ms, update(9, 0, node(NodeState::removed), 1, 0, {term, instance}));
            CHECK(f.actions.nodes.at(NodeId{1}) == NodeState::ready);
            CHECK(f.actions.disconnects == 1);
            CHECK(f.actions.sent == control::encode(control::Superseded{Term{1}}));
            CHECK(f.actions.logged.size() == 1);
        }
    }
    // An update is lost, or the connection breaks in the middle of one.
    TEST_CASE("after a gap the full state is requested; half of an update changes nothing") {
        Following f;
        f.actions.sent.clear();
        f.client.received(ms, update(9, 5, node(NodeState::removed), 1));
        CHECK(f.actions.sent == control::encode(control::FullStateRequest{}));
        f.client.received(
            ms, control::encode(control::UpdateBegin{Term{1}, 1, 1, Version{9}, Version{0}, 0}) +
                    node(NodeState::removed));
        f.client.disconnected(2 * ms);
        CHECK(f.actions.nodes.at(NodeId{1}) == NodeState::ready);
    }
    // A planner restarts, and all edges reconnect: together they would overload it at once.
    TEST_CASE("280 edges that lose a planner reconnect spread out, each later after each failure") {
        std::vector<Time> first, fifth;
        for (std::uint64_t e = 0; e < 280; ++e) {
            RecordingActions actions;
            PlannerClient client(actions, {control::EdgeId{e}, "e", 1, sec, sec});
            client.start(0, {}), client.connected(0);
            client.disconnected(0);
            first.push_back(client.next_due());
            Time now = 0;
            for (int i = 0; i < 4; ++i)
                now = client.next_due(), client.tick(now), client.disconnected(now);
            fifth.push_back(client.next_due() - now);
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
    // A planner hangs with its connections open, or its host drops packets.
    TEST_CASE(
        "a planner that answers nothing is left; one that is not reached is given up in time") {
        Following f;
        for (Time t = 0; t < 2 * sec; t += 100 * ms)
            f.client.tick(t);
        CHECK(f.actions.disconnects == 1);
        auto connects = f.actions.connects;
        f.client.tick(f.client.next_due());
        CHECK(f.actions.connects == connects + 1);
        f.client.tick(f.client.next_due()); // nothing came of it
        CHECK(f.actions.connects == connects + 2);
    }
    // A node is lost to this edge; the planner decides by how many edges say so. One lost packet
    // must not count.
    TEST_CASE("a node is reported unreachable after three failures over half a second, reachable "
              "by one answer") {
        Following f;
        f.actions.sent.clear();
        for (Time t : {0 * ms, 100 * ms, 200 * ms})
            f.client.attempt_completed(t, NodeId{1}, AttemptOutcome::unreachable);
        CHECK(f.actions.sent == "");
        f.client.attempt_completed(600 * ms, NodeId{1}, AttemptOutcome::reset);
        f.client.attempt_completed(700 * ms, NodeId{1}, AttemptOutcome::timed_out);
        CHECK(f.actions.sent == report(NodeId{1}, false));
        f.actions.sent.clear();
        f.client.attempt_completed(800 * ms, NodeId{1}, AttemptOutcome::overloaded);
        CHECK(f.actions.sent == report(NodeId{1}, true));
        f.actions.sent.clear();
        f.client.received(900 * ms, control::encode(control::ReachabilityRequest{NodeId{1}}));
        f.client.received(7 * sec, control::encode(control::ReachabilityRequest{
                                       NodeId{1}})); // too long ago to vouch
        CHECK(f.actions.sent == report(NodeId{1}, true));
    }
}
