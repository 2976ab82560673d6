/// \file
/// Load shedding: which requests in a node's queue are given up early.
#pragma once

#include <vector>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "scheduling/early_disconnects.hpp"
#include "scheduling/node_record.hpp"
#include "scheduling/request_table.hpp"

namespace knotvane::scheduling {

/// Finds the requests in the node's queue that aren't worth an attempt any more:
/// - those whose expected answer comes after their latency deadline, or after their client is
///   expected to disconnect;
/// - while the window is full and first requests wait, all repeats. A repeat earns no more than the
///   value of a late answer. Otherwise, in a retry storm, repeats would delay first requests until
///   these are late, too.
/// @param node whose latency estimate is up to date.
/// @return the requests in the order in which to give them up.
std::vector<RequestId> requests_to_shed(const NodeRecord &node, const RequestTable &requests,
                                        const EarlyDisconnects &disconnects, Time now);

} // namespace knotvane::scheduling
