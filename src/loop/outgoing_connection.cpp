#include "loop/outgoing_connection.hpp"

#include <utility>

namespace knotvane::loop {

void OutgoingConnection::connect() {
    disconnect();
    auto socket = socket_ = std::make_shared<Socket>(loop_);
    auto *expected = socket.get();
    socket->on_received = [this](std::string_view bytes) { on_received(bytes); };
    socket->on_disconnected = [this](DisconnectReason) {
        socket_.reset();
        connected_ = false;
        on_disconnected();
    };
    socket->connect(address_, [this, expected](bool succeeded) {
        if (socket_.get() != expected)
            return; // disconnected or connecting again meanwhile
        if (!succeeded) {
            disconnect();
            return on_disconnected();
        }
        connected_ = true;
        if (reading_paused_)
            socket_->set_reading_paused(true);
        on_connected();
    });
}
void OutgoingConnection::disconnect() {
    if (auto socket = std::exchange(socket_, nullptr))
        socket->close();
    connected_ = false;
}
void OutgoingConnection::send(std::string bytes) {
    if (connected_ && socket_)
        socket_->send(std::move(bytes));
}
void OutgoingConnection::flush() {
    if (auto socket = socket_; socket && connected_ && socket->has_unflushed())
        socket->flush();
}
void OutgoingConnection::set_reading_paused(bool paused) {
    reading_paused_ = paused;
    if (connected_ && socket_)
        socket_->set_reading_paused(paused);
}

} // namespace knotvane::loop
