/// \file
/// The interface through which the gateway's core uses sockets and the log.
#pragma once

#include <string>

#include "http_gateway/ids.hpp"

namespace knotvane::http_gateway {

/// How the other side closed a connection.
enum class CloseReason {
    end_of_stream, ///< It finished sending in order.
    reset          ///< The connection was reset or failed.
};

/// Connections and log of a gateway's core. Implemented by Server with sockets, and by tests
/// without. An implementation must not call the core from within a call; it reports results later.
class Transport {
public:
    virtual ~Transport() = default;

    /// Starts to connect to "host:port". The result is reported to Core::connected or
    /// Core::connect_failed.
    virtual void connect(ConnectionId connection, const std::string &address) = 0;

    /// Queues bytes, which are written at the end of the moment. Core::sent is called as they are
    /// written.
    virtual void send(ConnectionId connection, std::string bytes) = 0;

    /// Closes the connection at once: queued bytes are dropped and no further event of the
    /// connection is reported to the core.
    virtual void close(ConnectionId connection) = 0;

    /// Closes the sending side once all queued bytes are written. Received bytes and the other
    /// side's close are still reported to the core.
    virtual void finish_sending(ConnectionId connection) = 0;

    /// Pauses or resumes reading from a connection. While paused, its bytes stay in the kernel.
    virtual void set_reading_paused(ConnectionId connection, bool paused) = 0;

    /// Whether the other side has closed the connection or its sending side, even if that isn't
    /// reported to the core yet, as bytes before it are still to be read.
    virtual bool peer_closed(ConnectionId connection) const = 0;

    /// Writes a warning to the log.
    virtual void log_event(const std::string &text) = 0;

    /// Writes a line of the trace, as TraceLine builds it, to the log. Called only if tracing().
    virtual void trace(const std::string & /*line*/) {}

    /// Whether the trace is enabled.
    virtual bool tracing() const { return false; }
};

} // namespace knotvane::http_gateway
