/// \file
/// Sends changes of the cluster state to edges and nodes.
#pragma once

#include "planner/context.hpp"

namespace knotvane::planner {

/// Sends each edge the changes since its acknowledged version, and each node its state. An edge has
/// at most one update in flight, so the changes made meanwhile are combined in the next one. An
/// update that is not acknowledged in time is sent again.
class UpdateSender {
public:
    explicit UpdateSender(PlannerContext &context) : context_(context) {}

    /// Sends what is due. To be called after a commit.
    void send();

    /// When the next unacknowledged update is to be sent again; the maximum of Time if there is
    /// none.
    Time next_due() const;

private:
    bool waits_for_acknowledgement(const Session &session) const;
    void send_node_state(Session &session);
    void send_update(Session &session, std::size_t &long_updates);

    PlannerContext &context_;
};

} // namespace knotvane::planner
