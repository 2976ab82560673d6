#include "loop/outgoing_connection.hpp"

#include <utility>

namespace knotvane::loop {

void OutgoingConnection::connect() {
    disconnect();
    auto s = socket_ = std::make_shared<Socket>(loop_);
    auto *mine = s.get();
    s->on_received = [this](std::string_view in) { on_received(in); };
    s->on_disconnected = [this](DisconnectReason) {
        socket_.reset();
        up_ = false;
        on_disconnected();
    };
    s->connect(address_, [this, mine](bool well) {
        if (socket_.get() != mine)
            return; // hung up meanwhile
        if (!well) {
            disconnect();
            return on_disconnected();
        }
        up_ = true;
        if (held_)
            socket_->set_reading_paused(true);
        on_connected();
    });
}
void OutgoingConnection::disconnect() {
    if (auto s = std::exchange(socket_, nullptr))
        s->close();
    up_ = false;
}
void OutgoingConnection::send(std::string bytes) {
    if (up_ && socket_)
        socket_->send(std::move(bytes));
}
void OutgoingConnection::flush() {
    if (auto s = socket_; s && up_ && s->has_unflushed())
        s->flush();
}
void OutgoingConnection::set_reading_paused(bool hold) {
    held_ = hold;
    if (up_ && socket_)
        socket_->set_reading_paused(hold);
}

} // namespace knotvane::loop
