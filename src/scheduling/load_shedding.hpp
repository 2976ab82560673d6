/// \file
/// Which waiting requests are given up early.
#pragma once

#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/early_disconnects.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/request_table.hpp"

namespace knotvane::scheduling {

/// Requests that wait at the node and can't be in time any more: their latency deadline, or the
/// time when their client disconnects, comes before the expected answer. And, while the window is
/// full and first requests wait, all repeats: they earn the part of a late answer at most, and make
/// room. Guards against a retry storm in which everybody is served late.
/// @param node whose latency estimate is up to date.
/// @return in the order in which they are given up.
std::vector<RequestId> requests_to_shed(const NodeRecord &node, const RequestTable &requests,
                                        const EarlyDisconnects &disconnects, Time now);

} // namespace knotvane::scheduling
