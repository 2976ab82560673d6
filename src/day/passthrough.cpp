#include "day/passthrough.hpp"

#include <map>
#include <set>

namespace knotvane::day {
namespace {

class Passthrough final : public Scheduler {
  public:
    explicit Passthrough(Actions &actions) : do_(actions) {}
    void set_place(PeerId, std::uint32_t, ZoneId) override {}
    void set_clock(Time, Time) override {}
    void add_workload(WorkloadId, Time, Time, double, double) override {}
    void set_repeat(WorkloadId, Repeat, Group, Time) override {}
    void set_turns(WorkloadId, Time) override {}
    void add_plan(PlanId, double, double, double, double) override {}
    void set_limit(PlanId, double, double) override {}
    void set_units(double, double, double, double) override {}
    void set_shots(std::uint32_t, bool, bool) override {}
    void set_further_shots(double, double, Time) override {}
    void set_denials(Time longest_wait) override { longest_wait_ = longest_wait; }
    void set_clients(bool) override {}
    void set_list(bool, Time, Time) override {}
    void set_cold(double, Time, Time, double) override {}
    void ready(Time) override {}
    void list_begins(Time, ListKind) override { holds_.clear(); }
    void node_listed(NodeId node, ShardId shard, ZoneId, NodeState state, Time) override {
        if (state == NodeState::ready) holds_[shard] = node;
    }
    void list_ends() override {}
    void list_failed(Time) override {}
    void task_taken(Time, TaskId task, WorkloadId, VolumeId, PlanId, ShardId shard, KeyId, double, double, bool, bool,
                    Time) override {
        auto it = holds_.find(shard);
        if (it == holds_.end())
            denied_.insert(task);
        else
            out_.insert(task), do_.shoot(task, it->second, 0);
    }
    void shot_ended(Time, TaskId task, ShotId, NodeId, Outcome how, Time, bool ended, double, double,
                    std::span<const float>) override {
        if (out_.erase(task) == 0 || ended) return;
        if (how == Outcome::full || how == Outcome::unreachable || how == Outcome::unsent)
            denied_.insert(task);
        else
            do_.error(task);
    }
    void task_withdrawn(Time, TaskId task, bool) override { out_.erase(task), denied_.erase(task); }
    void alarm(Time, AlarmId) override {}
    void settle(Time) override {
        for (auto task : std::exchange(denied_, {})) do_.deny(task, longest_wait_);
    }

  private:
    Actions &do_;
    Time longest_wait_ = 0;
    std::map<ShardId, NodeId> holds_;
    std::set<TaskId> out_, denied_;
};

} // namespace

std::unique_ptr<Scheduler> make_passthrough(Actions &actions) { return std::make_unique<Passthrough>(actions); }

} // namespace knotvane::day
