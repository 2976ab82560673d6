/// \file
/// Pure functions that decide whether a request may be executed again, by this scheduler or because
/// its client repeats it.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.hpp"
#include "scheduling/config.hpp"
#include "scheduling/events.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// @return whether the outcome proves that the node did not execute the attempt.
bool proves_not_executed(AttemptOutcome outcome);

/// @return whether the request may be rejected, which tells the client that it may send it again.
///     False if its effect could then happen twice.
bool may_reject(const Request &request, const WorkloadConfig &workload);

/// Where and when a repeat would be executed.
struct RepeatTarget {
    NodeLocation location;
    Time now = 0;
    /// Upper bound of the time between the decision and the execution.
    Time margin = 0;
};

/// @param previous_attempts how many of the request's attempts come before the repeat.
/// @return whether the request may be executed at the target after these attempts. False if its
///     effect could happen twice.
bool is_repeat_safe(const Request &request, std::size_t previous_attempts,
                    const WorkloadConfig &workload, const RepeatTarget &target);

/// @return whether one more attempt of the request may start: the limits on its attempts allow it
///     and is_repeat_safe holds for the target.
bool may_start_attempt(const Request &request, const WorkloadConfig &workload,
                       const AttemptConfig &limits, const RepeatTarget &target);

} // namespace knotvane::scheduling
