/// \file
/// Whether a request may be executed again, here or by the client. Pure functions.
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

/// @return whether a client may be told that nothing was done and that it may ask again. Guards
///     against effects that happen twice.
bool may_reject(const Request &request, const WorkloadConfig &workload);

/// Where and when a repeat would be executed.
struct RepeatTarget {
    NodeLocation location;
    Time now = 0;
    /// Time between the decision and the execution at most.
    Time margin = 0;
};

/// @param previous_attempts how many of the request's attempts come before the repeat.
/// @return whether an execution at the target can do no harm after those. Guards against effects
///     that happen twice.
bool is_repeat_safe(const Request &request, std::size_t previous_attempts,
                    const WorkloadConfig &workload, const RepeatTarget &target);

/// @return whether the request may have one more attempt, by its number of attempts and by what a
///     repeat at the target may do.
bool may_start_attempt(const Request &request, const WorkloadConfig &workload,
                       const AttemptConfig &limits, const RepeatTarget &target);

} // namespace knotvane::scheduling
