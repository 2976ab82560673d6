/// \file
/// Accepts TCP connections.
#pragma once

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
    Loop &loop_;
    Handle *handle_;
    std::string address_;
    std::function<void(std::shared_ptr<Socket>)> on_accept_;
};

} // namespace knotvane::loop
