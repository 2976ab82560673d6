// Settings as the simulator's first message has them, told to the decisions; one way for all that
// run them.
#pragma once

#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::scheduler_setup {

// All set-up calls, in order, but for ready. Throws Malformed with the path of a setting that is
// wrong.
void set_up(Scheduler &to, const Options &options);

} // namespace knotvane::scheduler_setup
