/// \file
/// What the end of an attempt shows of its node.
#pragma once

#include <cstdint>

#include "common/time.hpp"
#include "scheduling/events.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/request.hpp"

namespace knotvane::scheduling {

/// Takes an attempt off its node's records and notes what its outcome shows: of latency, of the
/// concurrency window, of overload and of the node's health.
/// @param request of the attempt; result.attempt is one of its attempts.
/// @param scheduler_count the number of schedulers that share the node.
/// @return whether the node's process may have restarted.
bool record_outcome(NodeRecord &node, const Request &request, const AttemptResult &result, Time now,
                    std::uint32_t scheduler_count);

/// @return the units by which times per unit are reckoned: one at least, as what a smaller request
///     takes isn't the work of its units.
double effective_units(const Request &request);

} // namespace knotvane::scheduling
