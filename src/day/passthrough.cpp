#include "day/passthrough.hpp"

#include <map>
#include <set>

#include "day/unhearing.hpp"

namespace knotvane::day {
namespace {

class Passthrough final : public Unhearing {
public:
    explicit Passthrough(Actions &actions) : do_(actions) {}
    void set_denials(Time longest_wait) override { longest_wait_ = longest_wait; }
    void list_begins(Time, ListKind) override { holds_.clear(); }
    void node_listed(NodeId node, ShardId shard, ZoneId, NodeState state, Time) override {
        if (state == NodeState::ready)
            holds_[shard] = node;
    }
    void task_taken(Time, TaskId task, WorkloadId, VolumeId, PlanId, ShardId shard, KeyId, double,
                    double, bool, bool, Time) override {
        auto it = holds_.find(shard);
        if (it == holds_.end())
            denied_.insert(task);
        else
            out_.insert(task), do_.shoot(task, it->second, 0);
    }
    void shot_ended(Time, TaskId task, ShotId, NodeId, Outcome how, Time, bool ended, double,
                    double, std::span<const float>) override {
        if (out_.erase(task) == 0 || ended)
            return;
        if (how == Outcome::full || how == Outcome::unreachable || how == Outcome::unsent)
            denied_.insert(task);
        else
            do_.error(task);
    }
    void task_withdrawn(Time, TaskId task, bool) override { out_.erase(task), denied_.erase(task); }
    void settle(Time) override {
        for (auto task : std::exchange(denied_, {}))
            do_.deny(task, longest_wait_);
    }

private:
    Actions &do_;
    Time longest_wait_ = 0;
    std::map<ShardId, NodeId> holds_;
    std::set<TaskId> out_, denied_;
};

} // namespace

std::unique_ptr<Scheduler> make_passthrough(Actions &actions) {
    return std::make_unique<Passthrough>(actions);
}

} // namespace knotvane::day
