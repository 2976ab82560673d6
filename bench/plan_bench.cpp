// What a plan's change costs: the longest moment that it holds an edge's loop at so many volumes,
// and the planner's time and bytes a change at so many edges; and how long a change takes to reach
// every edge, in virtual time, by the fleet's size. Times are of this machine; bytes and virtual
// times are the same on all.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include "../tests/planner/helpers.hpp"
#include "edge/plan_cache_file.hpp"
#include "edge/planner_client.hpp"
#include "sim/planner_simulation.hpp"

namespace {

using namespace knotvane;
using Clock = std::chrono::steady_clock;

double us_since(Clock::time_point t) {
    return std::chrono::duration<double, std::micro>(Clock::now() - t).count();
}

struct FileActions final : edge::PlannerClientActions {
    void connect_planner() override {}
    void disconnect_planner() override {}
    void send_planner(std::string) override {}
    void store_cluster_state(std::string bytes, bool replace) override {
        if (!edge::write_cluster_state(path, bytes, replace))
            std::printf("can't write %s\n", path.c_str());
    }
    std::string path = (std::filesystem::temp_directory_path() / "knotvane-plan-bench").string();
    ~FileActions() override { std::filesystem::remove(path); }
    void log_event(std::string) override {}
    void cluster_state_changed(const control::ClusterState &, bool, bool,
                               const std::map<NodeId, Time> &) override {}
    void quota_share_changed(VolumeId, double) override {}
};

std::string whole(std::uint64_t volumes, std::uint64_t version) {
    auto out = control::encode(
                   control::UpdateBegin{control::Term{1}, 1, 1, control::Version{version}, {}, 0}) +
               control::encode(control::PlanUpdate{PlanId{0}, control::Plan{"p"}});
    for (std::uint64_t v = 0; v < volumes; ++v)
        out += control::encode(control::VolumeUpdate{
            VolumeId{v}, control::Volume{"volume-" + std::to_string(v), 1 << 30, 512, PlanId{0}}});
    return out + control::encode(control::UpdateEnd{control::Version{version}, volumes + 1});
}

void edge_moments(std::uint64_t volumes) {
    FileActions actions;
    edge::PlannerClient s(actions, {control::EdgeId{1}, "e", 1, sec, sec});
    s.start(0, {});
    s.connected(0);
    double longest[2] = {}, total[2] = {};
    // The first whole list, then another over it: what was there is taken down, too.
    for (int round = 0; round < 2; ++round) {
        auto news = whole(volumes, static_cast<std::uint64_t>(round) + 1);
        Time now = round * sec;
        auto moment = [&](auto call) {
            auto t = Clock::now();
            call();
            auto took = us_since(t);
            longest[round] = std::max(longest[round], took), total[round] += took;
        };
        moment([&] { s.received(now, news); });
        for (int i = 0; i < 2000; ++i)
            moment([&] { s.tick(now); });
    }
    double change = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
        auto v = 3 + i;
        auto news = control::encode(control::UpdateBegin{
                        control::Term{1}, 1, 1, control::Version{v}, control::Version{v - 1}, 0}) +
                    control::encode(control::VolumeUpdate{
                        VolumeId{i},
                        control::Volume{"volume-" + std::to_string(i), 1 << 30, 4096, PlanId{0}}}) +
                    control::encode(control::UpdateEnd{control::Version{v}, 1});
        auto t = Clock::now();
        s.received(3 * sec, news);
        change = std::max(change, us_since(t));
    }
    std::printf("edge, %6llu volumes: first whole list, longest moment %7.0f us of %7.0f; over "
                "another %7.0f of %7.0f; "
                "a change %5.1f us at most%s\n",
                static_cast<unsigned long long>(volumes), longest[0], total[0], longest[1],
                total[1], change,
                s.replica().version() == control::Version{202} ? "" : "  (NOT TAKEN)");
}

void planner_change(std::uint64_t edges, std::uint64_t nodes) {
    planner::PlannerFixture p;
    auto w = planner::desired(2);
    for (std::uint64_t n = 1; n <= nodes; ++n)
        w.nodes[NodeId{n}] = {ShardId{static_cast<std::int32_t>(n) - 1}, ZoneId{0}, false, "", 0};
    p.core.apply_desired_state(0, w);
    for (std::uint64_t n = 1; n <= nodes; ++n)
        p.node(0, n);
    p.core.settle(0);
    for (std::uint64_t e = 1; e <= edges; ++e)
        p.hello(0, 10000 + e);
    for (std::uint64_t e = 1; e <= edges; ++e)
        p.renew(0, 10000 + e);
    double took = 0;
    std::size_t bytes = 0;
    constexpr int changes = 50;
    for (int i = 0; i < changes; ++i) {
        Time now = (i + 1) * ms;
        p.recorded.sent.clear();
        p.node(now, 1, 100 + static_cast<std::uint64_t>(i), 0);
        auto t = Clock::now();
        p.core.settle(now);
        took += us_since(t);
        for (auto &[side, b] : p.recorded.sent)
            bytes += b.size();
        for (std::uint64_t e = 1; e <= edges; ++e)
            p.read(10000 + e), p.renew(now, 10000 + e);
    }
    std::printf(
        "planner, %3llu edges, %2llu nodes: a change %7.0f us, %6.2f us and %4.0f bytes an edge\n",
        static_cast<unsigned long long>(edges), static_cast<unsigned long long>(nodes),
        took / changes, took / changes / static_cast<double>(edges),
        static_cast<double>(bytes) / changes / static_cast<double>(edges));
}

Time at(std::vector<Time> v, double q) {
    if (v.empty())
        return 0;
    std::sort(v.begin(), v.end());
    return v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
}

void fleet(std::uint32_t edges, bool troubled) {
    std::vector<Time> middle, last;
    double out = 0, in = 0;
    std::uint64_t broken = 0, versions = 0;
    constexpr std::uint64_t days = 3;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        sim::PlannerScenario d;
        d.seed = seed, d.edges = edges, d.nodes = std::max(3u, edges * 58 / 280),
        d.volumes = std::max(6u, edges);
        d.length = 30 * sec, d.fault_interval = sec;
        d.planner_dies = troubled, d.loss = troubled ? 0.02 : 0, d.repeats = troubled ? 0.02 : 0;
        auto r = sim::simulate(d);
        middle.insert(middle.end(), r.median_edge_delays.begin(), r.median_edge_delays.end());
        last.insert(last.end(), r.last_edge_delays.begin(), r.last_edge_delays.end());
        out += static_cast<double>(r.planner_bytes_out) / seconds(r.length);
        in += static_cast<double>(r.planner_bytes_in) / seconds(r.length);
        broken += r.violations.size(), versions += r.versions;
    }
    std::printf(
        "%5u %5u  %-8s %9llu %10.0f %10.0f %10.0f %10.0f %10.0f %10.0f %8llu\n", edges,
        std::max(3u, edges * 58 / 280), troubled ? "bad" : "calm",
        static_cast<unsigned long long>(versions), static_cast<double>(at(middle, 0.5)) / 1e6,
        static_cast<double>(at(last, 0.5)) / 1e6, static_cast<double>(at(last, 1)) / 1e6,
        out / days, in / days, (out + in) / days / edges, static_cast<unsigned long long>(broken));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv) {
    for (std::uint64_t v : {100, 1000, 10000, 30000})
        edge_moments(v);
    for (std::uint64_t e : {3, 30, 100, 280})
        planner_change(e, std::max<std::uint64_t>(3, e * 58 / 280));
    if (argc > 1 && std::strcmp(argv[1], "--no-fleets") == 0)
        return 0;
    std::printf("\nin virtual time, delay of a message up to 50 ms; ms until a change has reached "
                "an edge\n");
    std::printf("edges nodes  day       versions  middle ms    last ms   worst ms   B/s out    B/s "
                "in   B/s edge   broken\n");
    for (bool troubled : {false, true})
        for (std::uint32_t e : {3u, 10u, 30u, 100u, 280u})
            fleet(e, troubled);
}
