#include "loop/dialled.hpp"

#include <utility>

namespace knotvane::loop {

void Dialled::dial() {
    hang_up();
    auto s = socket_ = std::make_shared<Socket>(loop_);
    auto *mine = s.get();
    s->on_bytes = [this](std::string_view in) { on_bytes(in); };
    s->on_gone = [this](Gone) {
        socket_.reset();
        up_ = false;
        on_down();
    };
    s->connect(address_, [this, mine](bool well) {
        if (socket_.get() != mine)
            return; // hung up meanwhile
        if (!well) {
            hang_up();
            return on_down();
        }
        up_ = true;
        if (held_)
            socket_->hold(true);
        on_up();
    });
}
void Dialled::hang_up() {
    if (auto s = std::exchange(socket_, nullptr))
        s->close();
    up_ = false;
}
void Dialled::send(std::string bytes) {
    if (up_ && socket_)
        socket_->send(std::move(bytes));
}
void Dialled::flush() {
    if (auto s = socket_; s && up_ && s->has_pending())
        s->flush();
}
void Dialled::hold(bool hold) {
    held_ = hold;
    if (up_ && socket_)
        socket_->hold(hold);
}

} // namespace knotvane::loop
