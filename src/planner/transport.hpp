/// \file
/// The interface through which the planner's core does I/O.
#pragma once

#include <cstdint>
#include <string>

#include "common/ids.hpp"

namespace knotvane::planner {

/// Identifies a connection to the planner; never reused within a process.
using SessionId = Id<struct SessionKind, std::uint64_t>;

/// Gives the planner's core access to the sockets, the log and the process.
class PlannerTransport {
public:
    virtual ~PlannerTransport() = default;
    virtual void send(SessionId session, std::string bytes) = 0;

    /// Closes the connection once all pending bytes are sent. Core::disconnected is called later,
    /// not from within this call.
    virtual void close(SessionId session) = 0;

    /// Writes one line to the log: a change in the cluster or a rejected request.
    virtual void log_event(std::string text) = 0;

    /// Called when this planner stops because edges follow another planner.
    virtual void retired() = 0;
};

} // namespace knotvane::planner
