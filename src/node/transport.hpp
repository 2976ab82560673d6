/// \file
/// What a storage node asks of its sockets and its log.
#pragma once

#include <string>

#include "common/ids.hpp"

namespace knotvane::node {

/// One edge's connection to the node.
using ConnectionId = Id<struct ConnectionKind, std::uint64_t>;

/// Implemented by the server on sockets and by simulations.
class Transport {
public:
    virtual ~Transport() = default;

    /// Sends bytes in the order of the calls.
    virtual void send(ConnectionId connection, std::string bytes) = 0;
    /// Ends a connection: at once if `reset`, else after all that was sent went out.
    virtual void close(ConnectionId connection, bool reset) = 0;
    /// Begins or stops to accept connections.
    virtual void listen(bool open) = 0;
    /// Logs what an operator should know: a crash, lost data, a protocol error.
    virtual void log_event(std::string text) = 0;
};

} // namespace knotvane::node
