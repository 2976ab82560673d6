/// \file
/// The planner's status for operators.
#pragma once

#include <string>

#include "planner/context.hpp"
#include "planner/node_manager.hpp"
#include "planner/quota_manager.hpp"
#include "planner/snapshot_operations.hpp"

namespace knotvane::planner {

/// The parts of the planner that a report is built from.
struct StatusSources {
    const PlannerContext &context;
    const NodeManager &nodes;
    const QuotaManager &quotas;
    const SnapshotOperations &snapshots;
    Time started; ///< when this planner started
};

/// Returns the status as JSON. Its keys are part of the interface for operators.
std::string build_status_report(const StatusSources &sources, Time now);

} // namespace knotvane::planner
