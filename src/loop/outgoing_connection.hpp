/// \file
/// A connection to a fixed address that its owner may establish again and again.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.hpp"
#include "loop/socket.hpp"

namespace knotvane::loop {

/// Its owner decides when to connect; it does not reconnect by itself.
class OutgoingConnection {
public:
    std::function<void()> on_connected;
    /// A connection attempt has failed, or the other side has closed the connection.
    std::function<void()> on_disconnected;
    std::function<void(std::string_view)> on_received;

    OutgoingConnection(Loop &loop, std::string address)
        : loop_(loop), address_(std::move(address)) {}
    ~OutgoingConnection() { disconnect(); }
    /// Closes the present connection, if there is one, and starts to connect.
    void connect();
    /// Closes the connection without calling on_disconnected.
    void disconnect();
    /// Queues bytes; dropped while not connected.
    void send(std::string bytes);
    /// Writes the queued bytes.
    void flush();
    /// Pauses or resumes reading, for the present connection and all later ones.
    void set_reading_paused(bool paused);

private:
    Loop &loop_;
    std::string address_;
    std::shared_ptr<Socket> socket_;
    bool connected_ = false, reading_paused_ = false;
};

} // namespace knotvane::loop
