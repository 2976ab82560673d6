/// \file
/// Updates the record of a node from the outcome of an attempt.
#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "scheduling/events.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// Removes an attempt that ended from the in-flight state of its node, and updates the node's
/// latency estimate, concurrency window, overload backoff and health from the outcome.
/// @param request that the attempt belongs to; result.attempt is the index of one of its attempts.
/// @param scheduler_count the number of schedulers that share the node.
/// @return whether the node's process may have restarted.
bool record_outcome(NodeRecord &node, const Request &request, const AttemptResult &result, Time now,
                    std::uint32_t scheduler_count);

/// @return the request's units, but at least 1: the divisor for times per unit. The duration of a
///     smaller request isn't proportional to its units.
double effective_units(const Request &request);

} // namespace knotvane::scheduling
