// A scheduler that makes no decisions: each request is sent at once, in a single attempt, to the
// node that holds its data. Serves only as the baseline that the real scheduler is measured
// against.
#pragma once

#include <memory>

#include "scheduling/scheduler.hpp"

namespace knotvane::day {

std::unique_ptr<Scheduler> make_passthrough(SchedulerActions &actions);

} // namespace knotvane::day
