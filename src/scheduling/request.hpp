// What is kept of a task and of its shots, and what is told of its workload and its plan.
#pragma once

#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/config.hpp"

namespace knotvane {

struct Shot {
    NodeId node;
    ShardId shard;
    ZoneId zone;
    Time sent = 0;
    bool out = true;
    bool proved_not_run = false;
};

// Where a task waits; `shooting` waits for a shot's outcome.
enum class Stage { turn, limit, placement, queue, shooting };

struct Task {
    RequestId id;
    WorkloadId workload;
    VolumeId volume;
    PlanId plan;
    ShardId shard;
    KeyId key;
    double units = 0;
    double hosts = 1;
    double lot = 0; // drawn for it, from 0 to 1
    bool writes = false;
    bool repeated = false;
    Time taken = 0;
    Time due = 0;
    Time first_due = 0; // of the client's first try, where this one is known to be a repeat
    Time last_call = 0; // its final answer leaves at this time at the latest
    Stage stage = Stage::turn;
    NodeId node; // whose queue it waits in
    bool ended = false;
    bool passed_limit = false;
    std::vector<Shot> shots;

    bool any_out() const {
        for (const auto &s : shots)
            if (s.out)
                return true;
        return false;
    }
    bool may_have_run() const {
        for (const auto &s : shots)
            if (!s.proved_not_run)
                return true;
        return false;
    }
};

} // namespace knotvane
