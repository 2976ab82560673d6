// The edge's side of its connection to the planner: which state it uses as the state gets older,
// the stored state, and reconnecting.
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
        for (auto &[id, listed] : cluster_state.nodes)
            nodes[id] = listed.state;
        started = when;
    }
    void quota_share_changed(VolumeId volume, double value) override { sharers[volume] = value; }
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

// A client that is connected at time 0, with volume 7 in use, half of its limit as quota share, a
// lease of one second from time 0 and a fade time of ten seconds.
struct ConnectedClient {
    RecordingActions actions;
    PlannerClient client{actions, config()};
    ConnectedClient() {
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

TEST_SUITE("the state that an edge uses as it gets older") {
    // An edge loses its planner, which will give its quota share to other edges. The edge must not
    // use more than the planner counts for it, and must keep serving its clients.
    TEST_CASE(
        "an edge uses no quota share before it receives one, all of it while the lease is held, "
        "a quarter during the fade time, and then none") {
        ConnectedClient connected;
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 2);
        connected.client.tick(sec);
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 2);
        CHECK(connected.client.next_due() <= sec + 1);
        connected.client.tick(sec + 1);
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 8);
        CHECK(connected.actions.nodes.at(NodeId{1}) == NodeState::ready); // the nodes stay in use
        connected.client.tick(11 * sec);
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 8);
        connected.client.tick(11 * sec + 1);
        CHECK(std::isinf(connected.actions.sharers.at(VolumeId{7})));
        RecordingActions fresh;
        PlannerClient other(fresh, config());
        other.start(0, {});
        other.volume_used(0, VolumeId{7}, true);
        CHECK(std::isinf(fresh.sharers.at(VolumeId{7})));
    }
    // The answer to a renewal is delayed, or is for a version that this edge does not have. If the
    // lease counted from its arrival, it would last longer on the edge than on the planner.
    TEST_CASE(
        "a lease starts when its renewal was sent, and counts only with the same term and at least "
        "its version") {
        ConnectedClient connected;
        connected.client.received(900 * ms, renewed(200 * ms, 1, 1));
        connected.client.tick(1200 * ms);
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 2);
        connected.client.tick(1200 * ms + 1);
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 8);
        connected.client.received(1300 * ms, renewed(1250 * ms, 1, 2));
        connected.client.received(1300 * ms, renewed(1250 * ms, 2, 1));
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 8);
        connected.client.received(1300 * ms, renewed(1250 * ms, 1, 1));
        CHECK(connected.actions.sharers.at(VolumeId{7}) == 2);
    }
    // The last client of a volume disconnects. By the time the next one connects, the quota share
    // may belong to another edge.
    TEST_CASE("a quota share is not used without clients of its volume, nor after the planner has "
              "removed it meanwhile") {
        ConnectedClient connected;
        connected.client.volume_used(ms, VolumeId{7}, false);
        CHECK(std::isinf(connected.actions.sharers.at(VolumeId{7})));
        connected.client.received(
            ms, update(2, 1, control::encode(control::QuotaShareRemoval{VolumeId{7}}), 1));
        connected.client.volume_used(2 * ms, VolumeId{7}, true);
        CHECK(std::isinf(connected.actions.sharers.at(VolumeId{7})));
    }
    // An update is delayed. A node whose process seems older than it is would get its full load
    // during its slow start.
    TEST_CASE(
        "an incarnation of a node keeps its start time; a delayed update makes it seem younger, "
        "never older") {
        ConnectedClient connected;
        connected.client.received(5 * sec,
                                  update(2, 1, node(NodeState::ready, 2, 100 * sec), 1, 101 * sec));
        CHECK(connected.actions.started.at(NodeId{1}) == 4 * sec);
        connected.client.received(
            9 * sec, update(3, 2, node(NodeState::draining, 2, 100 * sec), 1, 102 * sec));
        CHECK(connected.actions.started.at(NodeId{1}) == 4 * sec);
    }
}

TEST_SUITE("the stored cluster state") {
    // The edge's host loses power while the state is written. An incomplete update must not be
    // used, and neither may a quota share, which may belong to another edge by now.
    TEST_CASE(
        "from a state truncated at any byte, the last complete update is used, including drains, "
        "but no quota share") {
        ConnectedClient connected;
        auto first = connected.actions.disk.size();
        connected.client.received(ms, update(2, 1, node(NodeState::draining), 1));
        auto all = connected.actions.disk;
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
            // Updates that are appended from now on are read at the next start.
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
    // An edge starts without a planner, from a state that is days old: other nodes may use the
    // addresses in it by now.
    TEST_CASE("a stored state that is too old, or from the future because a clock went back, is "
              "not used, which is logged") {
        ConnectedClient connected;
        for (Time now : {3601 * sec, -61 * sec}) {
            RecordingActions actions;
            PlannerClient client(actions, config());
            client.start(now, connected.actions.disk);
            CHECK(actions.nodes.empty());
            CHECK(actions.logged.size() == 1);
        }
    }
}

TEST_SUITE("the connection to the planner") {
    // A planner is paused, a standby takes over, and then the first one continues to send.
    TEST_CASE("a planner with an older term, or another one with the same term, is told that it is "
              "superseded and disconnected; its update is not applied") {
        for (auto [term, instance] : {std::pair{1u, 2u}, std::pair{0u, 1u}}) {
            ConnectedClient connected;
            connected.actions.sent.clear();
            connected.client.received(
                ms, update(9, 0, node(NodeState::removed), 1, 0, {term, instance}));
            CHECK(connected.actions.nodes.at(NodeId{1}) == NodeState::ready);
            CHECK(connected.actions.disconnects == 1);
            CHECK(connected.actions.sent == control::encode(control::Superseded{Term{1}}));
            CHECK(connected.actions.logged.size() == 1);
        }
    }
    // An update is lost, or the connection is lost in the middle of one.
    TEST_CASE(
        "after a version gap the full state is requested; an incomplete update is not applied") {
        ConnectedClient connected;
        connected.actions.sent.clear();
        connected.client.received(ms, update(9, 5, node(NodeState::removed), 1));
        CHECK(connected.actions.sent == control::encode(control::FullStateRequest{}));
        connected.client.received(
            ms, control::encode(control::UpdateBegin{Term{1}, 1, 1, Version{9}, Version{0}, 0}) +
                    node(NodeState::removed));
        connected.client.disconnected(2 * ms);
        CHECK(connected.actions.nodes.at(NodeId{1}) == NodeState::ready);
    }
    // A planner restarts and all edges reconnect. If they did so at once, they would overload it.
    TEST_CASE("the reconnects of 280 edges that lose a planner are spread over time, and delays "
              "grow with each failure") {
        std::vector<Time> first_delays, fifth_delays;
        for (std::uint64_t edge = 0; edge < 280; ++edge) {
            RecordingActions actions;
            PlannerClient client(actions, {control::EdgeId{edge}, "e", 1, sec, sec});
            client.start(0, {}), client.connected(0);
            client.disconnected(0);
            first_delays.push_back(client.next_due());
            Time now = 0;
            for (int i = 0; i < 4; ++i)
                now = client.next_due(), client.tick(now), client.disconnected(now);
            fifth_delays.push_back(client.next_due() - now);
        }
        // The maximum number of times within an interval of this width.
        auto max_within = [](std::vector<Time> &times, Time width) {
            std::sort(times.begin(), times.end());
            std::size_t max_count = 0;
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > width)
                    ++first;
                max_count = std::max(max_count, last - first + 1);
            }
            return max_count;
        };
        CHECK(max_within(first_delays, 10 * ms) < 30);
        CHECK(first_delays.back() <= 250 * ms);
        CHECK(max_within(fifth_delays, 100 * ms) < 30);
        CHECK(fifth_delays.back() > 2 * sec);
    }
    // A planner hangs while its connections stay open, or its host drops packets.
    TEST_CASE(
        "the connection to a silent planner is closed, and connecting to one that does not answer "
        "times out and is retried") {
        ConnectedClient connected;
        for (Time t = 0; t < 2 * sec; t += 100 * ms)
            connected.client.tick(t);
        CHECK(connected.actions.disconnects == 1);
        auto connects = connected.actions.connects;
        connected.client.tick(connected.client.next_due());
        CHECK(connected.actions.connects == connects + 1);
        connected.client.tick(connected.client.next_due()); // the connection was not established
        CHECK(connected.actions.connects == connects + 2);
    }
    // This edge can't reach a node. The planner decides by the number of edges that report it. A
    // single lost packet must not cause a report.
    TEST_CASE(
        "a node is reported unreachable after at least three failures over half a second, and "
        "reachable after one answer") {
        ConnectedClient connected;
        connected.actions.sent.clear();
        for (Time t : {0 * ms, 100 * ms, 200 * ms})
            connected.client.attempt_completed(t, NodeId{1}, AttemptOutcome::unreachable);
        CHECK(connected.actions.sent == "");
        connected.client.attempt_completed(600 * ms, NodeId{1}, AttemptOutcome::reset);
        connected.client.attempt_completed(700 * ms, NodeId{1}, AttemptOutcome::timed_out);
        CHECK(connected.actions.sent == report(NodeId{1}, false));
        connected.actions.sent.clear();
        connected.client.attempt_completed(800 * ms, NodeId{1}, AttemptOutcome::overloaded);
        CHECK(connected.actions.sent == report(NodeId{1}, true));
        connected.actions.sent.clear();
        connected.client.received(900 * ms,
                                  control::encode(control::ReachabilityRequest{NodeId{1}}));
        connected.client.received(7 * sec, control::encode(control::ReachabilityRequest{
                                               NodeId{1}})); // the last answer is too old
        CHECK(connected.actions.sent == report(NodeId{1}, true));
    }
}
