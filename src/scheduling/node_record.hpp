// What a scheduler has seen of a node.
#pragma once

#include <set>
#include <tuple>
#include <utility>

#include "common/node_state.hpp"
#include "scheduling/request.hpp"
#include "scheduling/samples.hpp"

namespace knotvane {

struct NodeSeen {
    NodeId id;
    ShardId shard;
    ZoneId zone;
    NodeState state = NodeState::removed;
    Time started = 0;
    Time cold_until = 0;
    bool listed = false;
    Recent sent, asked;                                             // units
    std::set<std::pair<Time, std::pair<RequestId, AttemptId>>> out; // by the time sent
    std::set<Time>
        ghosts; // when shots were sent that ended unanswered: their work may still be there
    std::size_t overdue = 0; // of those out, when last looked at
    double units_waiting = 0, units_out = 0;
    Time heard = 0, last_shot = 0, hold_until = 0;
    Time lost = -1'000'000 * sec; // when a shot was last found lost
    Time overtaken = 0;           // when the last sent of those answered was sent
    std::uint32_t refusals = 0;   // unreachable, one after another with no answer between
    std::uint32_t fulls = 1;      // how many times a hold is its first, for "full" again and again
    bool silent = false, refused = false;
    Samples<Time, 32> took; // of the last answers
    Samples<std::tuple<Time, double, double>, 32>
        answers;               // when, units, and how long it took in seconds
    double unit = 0, wait = 0; // seconds, from these, when last looked at
};

} // namespace knotvane
