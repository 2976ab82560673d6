#include "day/passthrough.hpp"

#include <map>
#include <set>
#include <utility>

#include "day/unhearing.hpp"

namespace knotvane::day {
namespace {

class Passthrough final : public Unhearing {
public:
    explicit Passthrough(SchedulerActions &actions) : do_(actions) {}
    void configure(const SchedulerConfig &config) override {
        longest_wait_ = config.max_retry_after;
    }
    void endpoint_list_begin(Time, EndpointListKind) override { holds_.clear(); }
    void endpoint_listed(const Endpoint &endpoint) override {
        if (endpoint.state == NodeState::ready)
            holds_[endpoint.shard] = endpoint.node;
    }
    void request_received(Time, const RequestInfo &request) override {
        RequestId task = request.id;
        auto it = holds_.find(request.shard);
        if (it == holds_.end())
            denied_.insert(task);
        else
            out_.insert(task), do_.start_attempt(task, it->second, 0);
    }
    void attempt_completed(Time, const AttemptResult &result) override {
        RequestId task = result.request;
        AttemptOutcome how = result.outcome;
        if (out_.erase(task) == 0 || result.client_answered)
            return;
        if (how == AttemptOutcome::overloaded || how == AttemptOutcome::unreachable ||
            how == AttemptOutcome::not_sent)
            denied_.insert(task);
        else
            do_.fail(task);
    }
    void request_canceled(Time, RequestId task, CancelReason) override {
        out_.erase(task), denied_.erase(task);
    }
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
