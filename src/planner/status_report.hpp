/// \file
/// The planner's state for operators.
#pragma once

#include <string>

#include "planner/context.hpp"
#include "planner/node_manager.hpp"
#include "planner/quota_manager.hpp"
#include "planner/snapshot_operations.hpp"

namespace knotvane::planner {

/// What a report is made from.
struct StatusSources {
    const PlannerContext &context;
    const NodeManager &nodes;
    const QuotaManager &quotas;
    const SnapshotOperations &snapshots;
    Time started; ///< when this planner did
};

/// As JSON; the keys are part of the interface.
std::string build_status_report(const StatusSources &sources, Time now);

} // namespace knotvane::planner
