/// \file
/// Tells edges and nodes what changed.
#pragma once

#include "planner/context.hpp"

namespace knotvane::planner {

/// Sends each edge what it has missed, one update at a time: what changes while an edge is slow
/// comes together in the next. An update that is not acknowledged is sent again.
class UpdateSender {
public:
    explicit UpdateSender(PlannerContext &context) : context_(context) {}

    /// To be called after a commit.
    void send();

    /// When an update is to be sent again; the maximum of Time if none is.
    Time next_due() const;

private:
    bool waits_for_acknowledgement(const Session &session) const;
    void send_state(Session &session);
    void send_update(Session &session, std::size_t &long_updates);

    PlannerContext &context_;
};

} // namespace knotvane::planner
