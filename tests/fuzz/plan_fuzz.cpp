// Feeds arbitrary bytes to a planner and to an edge's planner client. Neither may crash; the
// planner must close a connection with malformed bytes and log it; an edge's replica must not
// change by an incomplete update.
#include <algorithm>
#include <cstdint>
#include <cstdlib>

#include "../planner/helpers.hpp"
#include "edge/planner_client.hpp"

namespace {

using namespace knotvane;

struct CountingActions final : edge::PlannerClientActions {
    std::size_t logged = 0, disconnects = 0, state_changes = 0;
    void connect_planner() override {}
    void disconnect_planner() override { ++disconnects; }
    void send_planner(std::string) override {}
    void store_cluster_state(std::string, bool) override {}
    void log_event(std::string) override { ++logged; }
    void cluster_state_changed(const control::ClusterState &, bool, bool,
                               const std::map<NodeId, Time> &) override {
        ++state_changes;
    }
    void quota_share_changed(VolumeId, double) override {}
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    std::size_t chunk_size = size > 0 ? 1 + data[0] : 1;
    std::string_view in(reinterpret_cast<const char *>(data), size);
    if (size > 0)
        in.remove_prefix(1);
    planner::PlannerFixture p;
    // A snapshot is in progress while the bytes arrive.
    p.deliver(0, 60,
              control::encode(
                  control::SnapshotRequest{control::SnapshotOperation::take, "v", "first", ""}));
    p.core.settle(0);
    auto logged_before = p.recorded.logged.size();
    for (std::size_t at = 0; at < in.size(); at += chunk_size)
        p.deliver(0, 70, std::string(in.substr(at, chunk_size)));
    for (Time now : {Time{0}, Time{1}, 200 * ms, 20 * sec})
        p.core.settle(now);
    auto closed =
        std::count(p.recorded.closed.begin(), p.recorded.closed.end(), planner::SessionId{70});
    if (closed > 1 || (closed == 1 && p.recorded.logged.size() == logged_before))
        std::abort();
    if (p.core.allocation().bound(VolumeId{7}) > control::full_limit_millionths)
        std::abort();
    CountingActions actions;
    const edge::PlannerClientConfig config{control::EdgeId{1}, "e", 1, sec, 3600 * sec};
    edge::PlannerClient client(actions, config);
    client.start(0, {});
    client.connected(0);
    auto before = client.replica().version();
    for (std::size_t at = 0; at < in.size(); at += chunk_size) {
        client.received(0, in.substr(at, chunk_size));
        if (actions.state_changes == 0 && client.replica().version() != before)
            std::abort();
    }
    client.tick(1);
    if (actions.disconnects > 1)
        std::abort();
    // Also starts a client from the same bytes as its cached state.
    edge::PlannerClient restarted_client(actions, config);
    restarted_client.start(0, in);
    return 0;
}
