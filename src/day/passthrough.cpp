#include "day/passthrough.hpp"

#include <map>
#include <set>

#include "day/unhearing.hpp"

namespace knotvane::day {
namespace {

class Passthrough final : public Unhearing {
public:
    explicit Passthrough(SchedulerActions &actions) : do_(actions) {}
    void set_denials(Time longest_wait) override { longest_wait_ = longest_wait; }
    void endpoint_list_begin(Time, EndpointListKind) override { holds_.clear(); }
    void endpoint_listed(NodeId node, ShardId shard, ZoneId, NodeState state, Time) override {
        if (state == NodeState::ready)
            holds_[shard] = node;
    }
    void request_received(Time, RequestId task, WorkloadId, VolumeId, PlanId, ShardId shard, KeyId, double,
                    double, bool, bool, Time) override {
        auto it = holds_.find(shard);
        if (it == holds_.end())
            denied_.insert(task);
        else
            out_.insert(task), do_.start_attempt(task, it->second, 0);
    }
    void attempt_completed(Time, RequestId task, AttemptId, NodeId, AttemptOutcome how, Time, bool ended, double,
                    double, std::span<const float>) override {
        if (out_.erase(task) == 0 || ended)
            return;
        if (how == AttemptOutcome::overloaded || how == AttemptOutcome::unreachable || how == AttemptOutcome::not_sent)
            denied_.insert(task);
        else
            do_.error(task);
    }
    void request_canceled(Time, RequestId task, bool) override { out_.erase(task), denied_.erase(task); }
    void settle(Time) override {
        for (auto task : std::exchange(denied_, {}))
            do_.reject(task, longest_wait_);
    }

private:
    SchedulerActions &do_;
    Time longest_wait_ = 0;
    std::map<ShardId, NodeId> holds_;
    std::set<RequestId> out_, denied_;
};

} // namespace

std::unique_ptr<Scheduler> make_passthrough(SchedulerActions &actions) {
    return std::make_unique<Passthrough>(actions);
}

} // namespace knotvane::day
