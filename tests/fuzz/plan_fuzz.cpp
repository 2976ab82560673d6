// Any bytes to a planner and to an edge's subscription: neither may crash, a planner must close
// what it can't read with one line, and an edge's copy must not change by news that is not whole.
#include <algorithm>
#include <cstdint>
#include <cstdlib>

#include "../planner/helpers.hpp"
#include "edge/planner_client.hpp"

namespace {

using namespace knotvane;

struct CountingActions final : edge::PlannerClientActions {
    std::size_t logged = 0, hung_up = 0, taken = 0;
    void connect_planner() override {}
    void disconnect_planner() override { ++hung_up; }
    void send_planner(std::string) override {}
    void store_cluster_state(std::string, bool) override {}
    void log_event(std::string) override { ++logged; }
    void cluster_state_changed(const control::ClusterState &, bool, bool,
                               const std::map<NodeId, Time> &) override {
        ++taken;
    }
    void quota_share_changed(VolumeId, double) override {}
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    std::size_t piece = size > 0 ? 1 + data[0] : 1;
    std::string_view in(reinterpret_cast<const char *>(data), size);
    if (size > 0)
        in.remove_prefix(1);
    planner::PlannerFixture p;
    // A snapshot is under way while the bytes come.
    p.deliver(0, 60,
              control::encode(
                  control::SnapshotRequest{control::SnapshotOperation::take, "v", "first", ""}));
    p.core.settle(0);
    auto lines = p.recorded.logged.size();
    for (std::size_t at = 0; at < in.size(); at += piece)
        p.deliver(0, 70, std::string(in.substr(at, piece)));
    for (Time now : {Time{0}, Time{1}, 200 * ms, 20 * sec})
        p.core.settle(now);
    auto closed =
        std::count(p.recorded.closed.begin(), p.recorded.closed.end(), planner::SessionId{70});
    if (closed > 1 || (closed == 1 && p.recorded.logged.size() == lines))
        std::abort();
    if (p.core.allocation().bound(VolumeId{7}) > control::full_limit_millionths)
        std::abort();
    CountingActions actions;
    const edge::PlannerClientConfig config{control::EdgeId{1}, "e", 1, sec, 3600 * sec};
    edge::PlannerClient s(actions, config);
    s.start(0, {});
    s.connected(0);
    auto before = s.replica().version();
    for (std::size_t at = 0; at < in.size(); at += piece) {
        s.received(0, in.substr(at, piece));
        if (actions.taken == 0 && s.replica().version() != before)
            std::abort();
    }
    s.tick(1);
    if (actions.hung_up > 1)
        std::abort();
    // The same bytes as a plan on disk.
    edge::PlannerClient t(actions, config);
    t.start(0, in);
    return 0;
}
