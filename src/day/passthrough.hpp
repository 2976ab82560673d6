// A scheduler that schedules nothing: each task goes at once to the node that holds its data, once.
// Kept as the baseline that the decisions are measured against, and for nothing else.
#pragma once

#include <memory>

#include "scheduling/scheduler.hpp"

namespace knotvane::day {

std::unique_ptr<Scheduler> make_passthrough(SchedulerActions &actions);

} // namespace knotvane::day
