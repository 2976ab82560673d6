/// \file
/// What the planner asks of its sockets.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"

namespace knotvane::planner {

/// A connection to the planner; never used twice in one process.
using SessionId = Id<struct SessionKind, std::uint64_t>;

/// The sockets, the log and the process around the planner's core.
class PlannerTransport {
public:
    virtual ~PlannerTransport() = default;
    virtual void send(SessionId session, std::string bytes) = 0;

    /// Close once all is sent; answered by Core::disconnected, not from within this call.
    virtual void close(SessionId session) = 0;

    /// One line for the log: what changed in the cluster, and what was refused.
    virtual void log_event(std::string text) = 0;

    /// Another planner is followed: this one plans nothing more.
    virtual void retired() = 0;
};

} // namespace knotvane::planner
