/// \file
/// Writes a scheduler's actions as records.
#pragma once

#include <string>

#include "scheduling/scheduler.hpp"

namespace knotvane::simulator_adapter {

/// Encodes each action as a record, in the order of the calls.
class RecordActions final : public SchedulerActions {
public:
    /// @return the records written since the last call of take_records.
    std::string take_records();

    void start_attempt(RequestId request, NodeId node, Time timeout) override;
    void cancel_attempt(RequestId request, AttemptId attempt) override;
    void reject(RequestId request, Time retry_after) override;
    void fail(RequestId request) override;
    void set_timer(TimerId timer, Time delay) override;
    void watch_endpoints() override;

private:
    std::string records_;
};

} // namespace knotvane::simulator_adapter
