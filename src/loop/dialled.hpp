// One outgoing connection that is dialled again and again to the same address.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "loop/loop.hpp"

namespace knotvane::loop {

class Dialled {
public:
    std::function<void()> on_up, on_down; // down: a try failed, or the other side is gone
    std::function<void(std::string_view)> on_bytes;

    Dialled(Loop &loop, std::string address) : loop_(loop), address_(std::move(address)) {}
    ~Dialled() { hang_up(); }
    void dial();
    // Nothing is called back for it.
    void hang_up();
    void send(std::string bytes);
    void flush();
    // Whether to leave what comes in unread.
    void hold(bool hold);

private:
    Loop &loop_;
    std::string address_;
    std::shared_ptr<Socket> socket_;
    bool up_ = false, held_ = false;
};

} // namespace knotvane::loop
