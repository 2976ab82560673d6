// A node's word with the planner, without I/O: it says who it is and that it is there, again and
// again.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "common/reconnect_backoff.hpp"
#include "control/messages.hpp"

namespace knotvane::node {

class PlannerRegistration final : control::MessageHandler {
public:
    struct Actions {
        std::function<void()> dial, hang_up;
        std::function<void(std::string)> send, log_event;
        // The node's store does what the planner orders; `how` as store::Store::Cut counts.
        std::function<std::uint8_t(VolumeId of, VolumeId as, std::uint32_t epoch,
                                   const std::vector<control::EdgeIncarnation> &late)>
            open_cut{};
        std::function<bool(VolumeId of, VolumeId as)> seal{};
        std::function<bool(VolumeId as)> drop{};
        std::function<std::uint8_t(VolumeId of, VolumeId as)> clone{};
        std::function<std::vector<std::pair<std::uint64_t, std::uint64_t>>(VolumeId, VolumeId)>
            diff{};
    };
    // `every`: between two signs of life.
    PlannerRegistration(Actions line, NodeId node, ShardId shard, ZoneId zone, std::string address,
                        std::uint64_t seed, Time every);
    // The node's process began, under a life of its own.
    void start(Time now, std::uint64_t incarnation, Time started);
    // It is going down: nobody is told, the connection ends.
    void stop(Time now);
    void connected(Time now);
    void disconnected(Time now);
    void received(Time now, std::string_view in);
    Time next_due() const;
    void tick(Time now);
    NodeState told() const { return told_; }

private:
    void node_told(NodeState state) override;
    void cut_open(VolumeId of, VolumeId as, std::uint32_t epoch,
                  const std::vector<control::EdgeIncarnation> &late) override;
    void cut_seal(VolumeId of, VolumeId as) override;
    void cut_drop(VolumeId as) override;
    void cut_clone(VolumeId of, VolumeId as) override;
    void diff_asked(std::uint64_t question, VolumeId a, VolumeId b, std::uint64_t from) override;
    void unexpected(const char *what) override { fault_ = what; }

    Actions actions_;
    NodeId node_;
    ShardId shard_;
    ZoneId zone_;
    std::string address_, fault_;
    ReconnectBackoff reconnect_backoff_;
    Time every_, renew_at_ = 0, started_ = 0;
    std::uint64_t incarnation_ = 0;
    bool up_ = false, running_ = false;
    NodeState told_ = NodeState::removed;
    control::Reader reader_;
};

} // namespace knotvane::node
