#include "loop/listener.hpp"

#include <stdexcept>
#include <utility>

#include "loop/address.hpp"

namespace knotvane::loop {
namespace {

// How many connections one iteration of the loop accepts. While clients connect faster than that,
// those that have left meanwhile are noticed before their descriptors run out.
constexpr int max_accepts_in_iteration = 32;

} // namespace

Listener::Listener(Loop &loop, const std::string &address,
                   std::function<void(std::shared_ptr<Socket>)> on_accept)
    : loop_(loop), handle_(new Handle{{}, this}), on_accept_(std::move(on_accept)) {
    sockaddr_in addr{};
    try {
        addr = parse_address(address);
    } catch (...) {
        delete handle_;
        throw;
    }
    uv_tcp_init(loop_.raw(), &handle_->tcp);
    handle_->tcp.data = handle_;
    int error = uv_tcp_bind(&handle_->tcp, reinterpret_cast<sockaddr *>(&addr), 0);
    // After a restart all clients reconnect at the same time. A longer backlog than usual keeps
    // their connection attempts from being dropped.
    constexpr int backlog = 1024;
    if (error == 0)
        error = uv_listen(reinterpret_cast<uv_stream_t *>(&handle_->tcp), backlog,
                          [](uv_stream_t *server, int status) {
                              auto *self = static_cast<Handle *>(server->data)->owner;
                              if (self && status >= 0)
                                  self->connection_ready();
                          });
    sockaddr_in bound{};
    int size = sizeof bound;
    if (error == 0)
        error = uv_tcp_getsockname(&handle_->tcp, reinterpret_cast<sockaddr *>(&bound), &size);
    if (error != 0) {
        handle_->owner = nullptr;
        uv_close(reinterpret_cast<uv_handle_t *>(&handle_->tcp),
                 [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
        throw std::runtime_error("address " + address +
                                 ": can't listen on it: " + uv_strerror(error));
    }
    char text[64];
    uv_ip4_name(&bound, text, sizeof text);
    address_ = std::string(text) + ":" + std::to_string(ntohs(bound.sin_port));
}

void Listener::connection_ready() {
    if (accepts_iteration_ != loop_.iteration()) {
        accepts_iteration_ = loop_.iteration();
        accepts_in_iteration_ = 0;
    }
    ++accepts_in_iteration_;
    if (accepts_in_iteration_ <= max_accepts_in_iteration)
        return accept_one();
    // libuv reports no further connection until this one is accepted.
    loop_.post([listener = std::weak_ptr<Listener *>(self_)] {
        if (auto self = listener.lock())
            (*self)->accept_one();
    });
}

void Listener::accept_one() {
    auto *server = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    auto socket = std::make_shared<Socket>(loop_);
    if (uv_accept(server, reinterpret_cast<uv_stream_t *>(socket->raw())) != 0)
        return socket->close();
    socket->connected_ = true;
    on_accept_(socket);
}

Listener::~Listener() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->tcp),
             [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

} // namespace knotvane::loop
