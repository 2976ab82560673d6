#include "day/passthrough.hpp"

#include <map>
#include <set>
#include <utility>

#include "day/no_op_scheduler.hpp"

namespace knotvane::day {
namespace {

class Passthrough final : public NoOpScheduler {
public:
    explicit Passthrough(SchedulerActions &actions) : actions_(actions) {}
    void configure(const SchedulerConfig &config) override {
        longest_wait_ = config.max_retry_after;
    }
    void endpoint_list_begin(Time, EndpointListKind) override { node_of_shard_.clear(); }
    void endpoint_listed(const Endpoint &endpoint) override {
        if (endpoint.state == NodeState::ready)
            node_of_shard_[endpoint.shard] = endpoint.node;
    }
    void request_received(Time, const RequestInfo &request) override {
        RequestId id = request.id;
        auto it = node_of_shard_.find(request.shard);
        if (it == node_of_shard_.end())
            rejected_.insert(id);
        else
            in_flight_.insert(id), actions_.start_attempt(id, it->second, 0);
    }
    void attempt_completed(Time, const AttemptResult &result) override {
        RequestId id = result.request;
        AttemptOutcome outcome = result.outcome;
        if (in_flight_.erase(id) == 0 || result.client_answered)
            return;
        if (outcome == AttemptOutcome::overloaded || outcome == AttemptOutcome::unreachable ||
            outcome == AttemptOutcome::not_sent)
            rejected_.insert(id);
        else
            actions_.fail(id);
    }
    void request_canceled(Time, RequestId id, CancelReason) override {
        in_flight_.erase(id), rejected_.erase(id);
    }
    void settle(Time) override {
        for (auto id : std::exchange(rejected_, {}))
            actions_.reject(id, longest_wait_);
    }

private:
    SchedulerActions &actions_;
    Time longest_wait_ = 0;
    std::map<ShardId, NodeId> node_of_shard_;
    std::set<RequestId> in_flight_, rejected_;
};

} // namespace

std::unique_ptr<Scheduler> make_passthrough(SchedulerActions &actions) {
    return std::make_unique<Passthrough>(actions);
}

} // namespace knotvane::day
