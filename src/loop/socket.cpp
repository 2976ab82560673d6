#include "loop/socket.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <utility>
#include <vector>

#include "loop/address.hpp"

namespace knotvane::loop {
namespace {

// Size of one read: holds a few large requests or very many small ones.
constexpr std::size_t read_size = 256 << 10;

// How often one iteration of the loop reads a socket whose peer sends faster than it is read: all
// other sockets wait meanwhile.
constexpr int max_reads_in_iteration = 4;

// How many pieces one write takes.
constexpr std::size_t max_buffers = 64;

/// Returns how the peer ended a connection for which libuv has reported UV_EOF. libuv also reports
/// it when it polls a hang-up after a read that did not fill the buffer, without reading again. If
/// the hang-up is a reset, the socket still holds the error.
DisconnectReason reason_of_reported_end(const uv_tcp_t &tcp) {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp), &descriptor) != 0)
        return DisconnectReason::connection_error;
    char next_byte = 0;
    ssize_t count = 0;
    do {
        count = ::recv(descriptor, &next_byte, sizeof next_byte, MSG_PEEK | MSG_DONTWAIT);
    } while (count < 0 && errno == EINTR);
    return count == 0 ? DisconnectReason::end_of_stream : DisconnectReason::connection_error;
}

} // namespace

/// A connection that is being established. Deletes itself in its callback.
struct Socket::PendingConnect {
    uv_connect_t request;
    std::shared_ptr<Socket> socket;
    std::function<void(bool)> done;
};

/// A write that libuv has queued. Deletes itself in its callback.
struct Socket::QueuedWrite {
    uv_write_t request;
    std::string bytes;
    std::shared_ptr<Socket> socket;
    /// Whether the bytes were already reported to on_written.
    bool reported = false;
};

Socket::Socket(Loop &loop) : loop_(loop), handle_(new Handle) {
    uv_tcp_init(loop_.raw(), &handle_->tcp);
    handle_->tcp.data = handle_;
}

Socket::~Socket() {
    if (!closed_)
        close_handle(true);
}

void Socket::connect(const std::string &address, std::function<void(bool)> done) {
    handle_->owner = shared_from_this();
    auto *connect = new PendingConnect{{}, shared_from_this(), std::move(done)};
    connect->request.data = connect;
    int error = 0;
    try {
        auto parsed = parse_address(address);
        error = uv_tcp_connect(
            &connect->request, &handle_->tcp, reinterpret_cast<sockaddr *>(&parsed),
            [](uv_connect_t *request, int status) {
                std::unique_ptr<PendingConnect> self(static_cast<PendingConnect *>(request->data));
                self->socket->connect_finished(status == 0, self->done);
            });
    } catch (const std::exception &) {
        error = UV_EINVAL;
    }
    connect_attempted_ = error == 0;
    if (error != 0)
        loop_.post([connect] {
            std::unique_ptr<PendingConnect> self(connect);
            self->socket->connect_finished(false, self->done);
        });
}

void Socket::connect_finished(bool succeeded, const std::function<void(bool)> &done) {
    if (closed_)
        return;
    if (succeeded)
        start();
    done(succeeded);
}

void Socket::start() {
    if (closed_)
        return;
    connected_ = true;
    handle_->owner = shared_from_this();
    uv_tcp_nodelay(&handle_->tcp, 1);
    set_reading_paused(reading_paused_);
}

void Socket::set_reading_paused(bool paused) {
    reading_paused_ = paused;
    if (closed_ || !connected_ || reading_ == !paused)
        return;
    reading_ = !paused;
    if (paused) {
        uv_read_stop(stream());
        return;
    }
    auto provide_buffer = [](uv_handle_t *source, std::size_t, uv_buf_t *buffer) {
        *buffer = static_cast<Handle *>(source->data)->owner->next_read_buffer();
    };
    uv_read_start(stream(), provide_buffer,
                  [](uv_stream_t *source, ssize_t result, const uv_buf_t *buf) {
                      // Keeps the socket until its callbacks have returned.
                      auto self = static_cast<Handle *>(source->data)->owner;
                      if (self)
                          self->read_finished(result, buf->base);
                  });
}

uv_buf_t Socket::next_read_buffer() {
    thread_local std::vector<char> buffer(read_size);
    if (reads_iteration_ != loop_.iteration()) {
        reads_iteration_ = loop_.iteration();
        reads_in_iteration_ = 0;
    }
    ++reads_in_iteration_;
    if (reads_in_iteration_ > max_reads_in_iteration)
        return uv_buf_init(nullptr, 0);
    return uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
}

bool Socket::peer_closed() const {
    uv_os_fd_t descriptor = -1;
    if (closed_ ||
        uv_fileno(reinterpret_cast<const uv_handle_t *>(&handle_->tcp), &descriptor) != 0)
        return closed_;
    pollfd polled{descriptor, POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Socket::read_finished(ssize_t result, const char *bytes) {
    // UV_ENOBUFS: the iteration has read enough of this socket; the next one goes on.
    if (closed_ || result == 0 || result == UV_ENOBUFS)
        return;
    if (result < 0)
        return handle_disconnect(disconnect_reason(result));
    // After close_when_sent no callback is called: the owner may no longer exist.
    if (on_received && !closing_when_sent_)
        on_received({bytes, static_cast<std::size_t>(result)});
}

DisconnectReason Socket::disconnect_reason(ssize_t read_error) const {
    if (read_error != UV_EOF || write_failed_)
        return DisconnectReason::connection_error;
    return reason_of_reported_end(handle_->tcp);
}

void Socket::handle_disconnect(DisconnectReason reason) {
    if (closed_)
        return;
    bool silent = closing_when_sent_;
    // A peer that has finished sending may still read, so it must not get a reset that discards
    // what was written. A failed connection has nothing to lose by a reset.
    close(reason == DisconnectReason::connection_error || !unflushed_.empty());
    if (on_disconnected && !silent)
        on_disconnected(reason);
}

void Socket::send(std::string bytes) {
    if (!closed_)
        unflushed_.append(std::move(bytes));
}

void Socket::flush() {
    if (closed_ || !connected_ || unflushed_.empty())
        return;
    std::size_t written = 0;
    if (!write_unflushed(written)) {
        write_failed_ = true;
        unflushed_.clear();
        // Reported later: the caller of flush doesn't expect its socket to be closed by it.
        loop_.post([self = shared_from_this()] {
            self->handle_disconnect(DisconnectReason::connection_error);
        });
        return;
    }
    written += queue_unflushed();
    if (written > 0 && on_written && !closing_when_sent_)
        on_written(written);
}

bool Socket::write_unflushed(std::size_t &written) {
    // If libuv still has a queued write, the bytes must be queued behind it.
    while (writing_bytes_ == 0 && !unflushed_.empty()) {
        std::array<uv_buf_t, max_buffers> storage;
        auto buffers = unflushed_.first_buffers(storage);
        std::size_t requested = 0;
        for (const uv_buf_t &buffer : buffers)
            requested += buffer.len;
        int result = uv_try_write(stream(), buffers.data(), static_cast<unsigned>(buffers.size()));
        if (result == UV_EAGAIN)
            return true;
        if (result < 0)
            return false;
        auto accepted = static_cast<std::size_t>(result);
        unflushed_.remove_prefix(accepted);
        written += accepted;
        if (accepted < requested)
            return true;
    }
    return true;
}

std::size_t Socket::queue_unflushed() {
    if (unflushed_.empty())
        return 0;
    auto *write = new QueuedWrite{{}, unflushed_.take_all(), shared_from_this(), false};
    write->request.data = write;
    writing_bytes_ += write->bytes.size();
    auto buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    uv_write(&write->request, stream(), &buffer, 1, [](uv_write_t *request, int status) {
        std::unique_ptr<QueuedWrite> self(static_cast<QueuedWrite *>(request->data));
        self->socket->queued_write_finished(*self, status == 0);
    });
    // libuv may have written everything already, but calls back in the next iteration of the loop
    // only. It is reported now, or it would count as unsent until then.
    write->reported = uv_stream_get_write_queue_size(stream()) == 0;
    return write->reported ? write->bytes.size() : 0;
}

void Socket::queued_write_finished(const QueuedWrite &write, bool succeeded) {
    writing_bytes_ -= write.bytes.size();
    if (closed_)
        return;
    if (!succeeded)
        return handle_disconnect(DisconnectReason::connection_error);
    if (on_written && !closing_when_sent_ && !write.reported)
        on_written(write.bytes.size());
    if (closed_)
        return;
    if (closing_when_sent_ && writing_bytes_ == 0 && unflushed_.empty())
        return close();
    shut_down_if_sent();
}

void Socket::close_when_sent() {
    closing_when_sent_ = true;
    flush();
    if (!closed_ && writing_bytes_ == 0)
        close();
}

void Socket::finish_sending() {
    if (closed_ || finishing_sending_)
        return;
    flush();
    finishing_sending_ = true;
    shut_down_if_sent();
}

void Socket::shut_down_if_sent() {
    if (!finishing_sending_ || closed_ || !connected_ || writing_bytes_ > 0 || !unflushed_.empty())
        return;
    auto *request = new uv_shutdown_t;
    auto delete_request = [](uv_shutdown_t *finished, int) { delete finished; };
    if (uv_shutdown(request, stream(), delete_request) != 0)
        delete request;
}

void Socket::close(bool reset) {
    if (closed_)
        return;
    if (!reset)
        flush();
    if (!closed_)
        close_handle(reset);
}

void Socket::close_handle(bool reset) {
    closed_ = true;
    auto *raw_handle = reinterpret_cast<uv_handle_t *>(&handle_->tcp);
    auto delete_handle = [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); };
    // libuv can't reset a connection whose sending side is being closed.
    if (!(reset && connected_ && uv_tcp_close_reset(&handle_->tcp, delete_handle) == 0) &&
        !uv_is_closing(raw_handle))
        uv_close(raw_handle, delete_handle);
}

} // namespace knotvane::loop
