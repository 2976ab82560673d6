// What the front's parts ask of the shell.
#pragma once

#include <string>

#include "platform/ids.hpp"

namespace knotvane::platform {

class Wires {
  public:
    virtual ~Wires() = default;
    virtual void connect(ConnId conn, const std::string &address) = 0;
    // Gathers; what is gathered leaves at the end of the moment, and is then told as written.
    virtual void send(ConnId conn, std::string bytes) = 0;
    // At once, nothing is told of it any more; or once all that was sent has left.
    virtual void close(ConnId conn, bool when_sent) = 0;
    // Whether to leave what comes in unread.
    virtual void hold(ConnId conn, bool hold) = 0;
    virtual void say(std::string text) = 0;
    // A line of the trace: a word for what, then names and values. Only where traces() is true.
    virtual void trace(std::string) {}
    virtual bool traces() const { return false; }
};

} // namespace knotvane::platform
