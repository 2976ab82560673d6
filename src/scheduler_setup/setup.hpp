/// \file
/// Configures a scheduler from the site's settings, in one way for every program that runs one.
#pragma once

#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::scheduler_setup {

/// Makes all calls that configure a scheduler: configure, set_workload and set_plan. The settings'
/// paths are those of the simulator's boot record.
/// @throws MalformedInput with the path of a setting that is wrong.
void configure_scheduler(Scheduler &scheduler, const Options &options);

} // namespace knotvane::scheduler_setup
