/// \file
/// The interface through which a storage node uses its sockets and its log.
#pragma once

#include <string>

#include "common/ids.hpp"

namespace knotvane::node {

/// Identifies a connection of an edge to the node.
using ConnectionId = Id<struct ConnectionKind, std::uint64_t>;

/// Implemented with sockets by the server, and by simulations.
class Transport {
public:
    virtual ~Transport() = default;

    /// Queues bytes to be sent, in the order of the calls.
    virtual void send(ConnectionId connection, std::string bytes) = 0;
    /// Closes a connection: with a reset and at once if `reset`, otherwise after all queued bytes
    /// are sent.
    virtual void close(ConnectionId connection, bool reset) = 0;
    /// Begins (`open`) or stops accepting connections.
    virtual void listen(bool open) = 0;
    /// Logs an event that an operator should know of: a crash, lost data, a protocol error.
    virtual void log_event(std::string text) = 0;
};

} // namespace knotvane::node
