/// \file
/// Checks whether new settings may replace those in use, and applies them.
#pragma once

#include <string>
#include <vector>

#include "planner/config.hpp"
#include "planner/context.hpp"
#include "planner/node_manager.hpp"
#include "planner/quota_manager.hpp"

namespace knotvane::planner {

/// Settings are applied completely or, if there is any fault, not at all.
class DesiredStateChange {
public:
    DesiredStateChange(PlannerContext &context, const PlannerConfig &config, NodeManager &nodes,
                       const QuotaManager &quotas)
        : context_(context), config_(config), nodes_(nodes), quotas_(quotas) {}

    /// Returns the conflicts of the settings with the current cluster; empty if they may be
    /// applied.
    std::vector<DesiredStateFault> check(const DesiredState &desired) const;
    void apply(const DesiredState &desired);

private:
    using Faults = std::vector<DesiredStateFault>;

    void check_nodes(const DesiredState &desired, Faults &faults) const;
    void check_volumes(const DesiredState &desired, Faults &faults) const;
    void check_omitted(VolumeId id, const std::string &name, Faults &faults) const;
    void check_snapshots(const DesiredState &desired, Faults &faults) const;
    bool may_omit(NodeId node) const;
    void apply_nodes(const DesiredState &desired);
    void apply_plans_and_volumes(const DesiredState &desired);

    PlannerContext &context_;
    const PlannerConfig &config_;
    NodeManager &nodes_;
    const QuotaManager &quotas_;
};

} // namespace knotvane::planner
