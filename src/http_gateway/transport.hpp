/// \file
/// What the gateway's core asks of its sockets and its log.
#pragma once

#include <string>

#include "http_gateway/ids.hpp"

namespace knotvane::http_gateway {

/// How the other side closed a connection.
enum class CloseReason {
    end_of_stream, ///< It ended its sending in order.
    reset          ///< The connection broke.
};

/// Implemented by the server on sockets, and by tests without. No call may call the core back.
class Transport {
public:
    virtual ~Transport() = default;

    /// Connects to "host:port"; the core is told of the outcome.
    virtual void connect(ConnectionId connection, const std::string &address) = 0;

    /// Gathers bytes, which leave at the end of the moment; the core is told as they are written.
    virtual void send(ConnectionId connection, std::string bytes) = 0;

    /// Closes at once: gathered bytes don't leave and the core is told nothing more of it.
    virtual void close(ConnectionId connection) = 0;

    /// Ends the sending side once all that was sent has left. The core is still told of what is
    /// received and of the other side's close.
    virtual void finish_sending(ConnectionId connection) = 0;

    virtual void log_event(const std::string &text) = 0;

    /// Logs a line of the trace, as TraceLine builds it. Called only if tracing() is true.
    virtual void trace(const std::string & /*line*/) {}

    virtual bool tracing() const { return false; }
};

} // namespace knotvane::http_gateway
