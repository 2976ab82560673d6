/// \file
/// Accepts TCP connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <uv.h>

#include "loop/loop.hpp"
#include "loop/socket.hpp"

namespace knotvane::loop {

/// Accepts TCP connections on an address.
class Listener {
public:
    /// Listens on "ADDRESS:PORT"; port 0 selects a free port. Calls on_accept with each new
    /// connection. Throws std::runtime_error if the address is malformed or can't be listened on.
    Listener(Loop &loop, const std::string &address,
             std::function<void(std::shared_ptr<Socket>)> on_accept);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    /// The address with the actual port.
    const std::string &address() const { return address_; }

private:
    struct Handle {
        uv_tcp_t tcp;
        Listener *owner;
    };
    /// Accepts the connection that libuv has reported, now or in the next iteration of the loop.
    void connection_ready();
    void accept_one();

    Loop &loop_;
    Handle *handle_;
    /// The iteration of the loop that accepted last, and the number that it accepted.
    std::uint64_t accepts_iteration_ = 0;
    int accepts_in_iteration_ = 0;
    std::string address_;
    std::function<void(std::shared_ptr<Socket>)> on_accept_;
    /// Tells a call that is posted whether the listener still exists.
    std::shared_ptr<Listener *> self_ = std::make_shared<Listener *>(this);
};

} // namespace knotvane::loop
