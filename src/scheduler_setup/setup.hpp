/// \file
/// Configures a scheduler from the site's settings. Shared by all programs that run a scheduler
/// with these settings.
#pragma once

#include "scheduler_setup/options.hpp"
#include "scheduling/scheduler.hpp"

namespace knotvane::scheduler_setup {

/// Makes all calls that configure a scheduler: configure, set_workload and set_plan. The settings
/// have the paths of the simulator's start record.
/// @throws MalformedInput if a setting is invalid; the message names its path.
void configure_scheduler(Scheduler &scheduler, const Options &options);

} // namespace knotvane::scheduler_setup
