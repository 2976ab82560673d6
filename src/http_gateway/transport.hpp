// What the front's parts ask of the shell.
#pragma once

#include <string>

#include "http_gateway/ids.hpp"

namespace knotvane::http_gateway {

// How the other side let go of a connection: it ended its sending in order, or the connection
// broke.
enum class CloseReason { end_of_stream, reset };

class Transport {
public:
    virtual ~Transport() = default;
    virtual void connect(ConnectionId conn, const std::string &address) = 0;
    // Gathers; what is gathered leaves at the end of the moment, and is then told as written.
    virtual void send(ConnectionId conn, std::string bytes) = 0;
    // At once; nothing is told of it any more, and what was gathered does not leave.
    virtual void close(ConnectionId conn) = 0;
    // Ends the sending side once all that was sent has left. What comes in, and the other side's
    // end, are still told.
    virtual void finish_sending(ConnectionId conn) = 0;
    virtual void log_event(std::string text) = 0;
    // A line of the trace: a word for what, then names and values. Only where tracing() is true.
    virtual void trace(std::string) {}
    virtual bool tracing() const { return false; }
};

} // namespace knotvane::http_gateway
