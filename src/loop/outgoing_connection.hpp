// One outgoing connection that is dialled again and again to the same address.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.hpp"

namespace knotvane::loop {

class OutgoingConnection {
public:
    std::function<void()> on_connected,
        on_disconnected; // down: a try failed, or the other side is gone
    std::function<void(std::string_view)> on_received;

    OutgoingConnection(Loop &loop, std::string address)
        : loop_(loop), address_(std::move(address)) {}
    ~OutgoingConnection() { disconnect(); }
    void connect();
    // Nothing is called back for it.
    void disconnect();
    void send(std::string bytes);
    void flush();
    // Whether to leave what comes in unread.
    void set_reading_paused(bool hold);

private:
    Loop &loop_;
    std::string address_;
    std::shared_ptr<Socket> socket_;
    bool up_ = false, held_ = false;
};

} // namespace knotvane::loop
