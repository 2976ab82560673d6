#include "loop/loop.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <limits>
#include <stdexcept>

#include <concurrentqueue/concurrentqueue.h>

namespace knotvane::loop {
namespace {

// Size of one read: holds a few large requests or very many small ones.
constexpr std::size_t read_size = 256 << 10;

void provide_read_buffer(uv_handle_t *, std::size_t, uv_buf_t *buf) {
    thread_local std::vector<char> buffer(read_size);
    *buf = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
}

sockaddr_in parse_address(const std::string &address) {
    auto colon = address.rfind(':');
    sockaddr_in out{};
    int port = -1;
    if (colon != std::string::npos && colon + 1 < address.size() && address.size() - colon <= 6 &&
        address.find_first_not_of("0123456789", colon + 1) == std::string::npos)
        port = std::stoi(address.substr(colon + 1));
    if (port < 0 || port > 65535 || uv_ip4_addr(address.substr(0, colon).c_str(), port, &out) != 0)
        throw std::runtime_error("address '" + address +
                                 "': expected an IPv4 address and a port, such as 127.0.0.1:10809");
    return out;
}

// A write that libuv has queued. Deletes itself in its callback.
struct QueuedWrite {
    uv_write_t req;
    std::string bytes;
    std::shared_ptr<Socket> socket;
    std::size_t *writing_bytes;
    bool reported = false; // to on_written
};

// Returns how the peer ended a connection for which libuv has reported UV_EOF. libuv also reports
// it when it polls a hang-up after a read that did not fill the buffer, without reading again. If
// the hang-up is a reset, the socket still holds the error.
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

Time now() {
    using namespace std::chrono;
    static const Time epoch_offset =
        duration_cast<nanoseconds>(system_clock::now().time_since_epoch()).count() -
        static_cast<Time>(uv_hrtime());
    return static_cast<Time>(uv_hrtime()) + epoch_offset;
}

struct Loop::PostedCalls {
    moodycamel::ConcurrentQueue<std::function<void()>> queue;
};

Loop::Loop() : posted_calls_(std::make_unique<PostedCalls>()) {
    // Writing to a connection that the peer has reset raises SIGPIPE, which would end the program.
    // The write reports the error as well. Seen with responses too long for a single write.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop_);
    loop_.data = this;
    uv_async_init(&loop_, &wake_up_, [](uv_async_t *async) {
        auto &self = *static_cast<Loop *>(async->loop->data);
        std::function<void()> call;
        while (self.posted_calls_->queue.try_dequeue(call))
            call();
    });
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_prepare_start(&prepare_, [](uv_prepare_t *prepare) {
        auto &self = *static_cast<Loop *>(prepare->loop->data);
        if (!self.before_wait_)
            return;
        Time due = self.before_wait_();
        if (due == std::numeric_limits<Time>::max()) {
            uv_timer_stop(&self.timer_);
            return;
        }
        uv_update_time(&self.loop_);
        auto wait = std::max<Time>(0, due - now());
        uv_timer_start(
            &self.timer_, [](uv_timer_t *) {}, static_cast<std::uint64_t>((wait + ms - 1) / ms), 0);
    });
}
Loop::~Loop() {
    uv_walk(
        &loop_,
        [](uv_handle_t *handle, void *) {
            if (!uv_is_closing(handle))
                uv_close(handle, nullptr);
        },
        nullptr);
    while (uv_run(&loop_, UV_RUN_NOWAIT) != 0) {
    }
    uv_loop_close(&loop_);
}
void Loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}
void Loop::post(std::function<void()> call) {
    posted_calls_->queue.enqueue(std::move(call));
    uv_async_send(&wake_up_);
}
void Loop::stop() {
    post([this] { uv_stop(&loop_); });
}

Socket::Socket(Loop &loop) : loop_(loop), handle_(new Handle) {
    uv_tcp_init(loop_.raw(), &handle_->tcp);
    handle_->tcp.data = handle_;
}
Socket::~Socket() {
    if (!closed_)
        close(true);
}

void Socket::connect(const std::string &address, std::function<void(bool)> done) {
    handle_->owner = shared_from_this();
    struct Connect {
        uv_connect_t req;
        std::shared_ptr<Socket> socket;
        std::function<void(bool)> done;
    };
    auto *connect = new Connect{{}, shared_from_this(), std::move(done)};
    connect->req.data = connect;
    int error = 0;
    try {
        auto addr = parse_address(address);
        error = uv_tcp_connect(&connect->req, &handle_->tcp, reinterpret_cast<sockaddr *>(&addr),
                               [](uv_connect_t *req, int status) {
                                   std::unique_ptr<Connect> self(static_cast<Connect *>(req->data));
                                   if (self->socket->closed_)
                                       return;
                                   if (status == 0)
                                       self->socket->start();
                                   self->done(status == 0);
                               });
    } catch (const std::exception &) {
        error = -1;
    }
    connect_attempted_ = error == 0;
    if (error != 0)
        loop_.post([connect] {
            std::unique_ptr<Connect> self(connect);
            if (!self->socket->closed_)
                self->done(false);
        });
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
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    if (paused) {
        uv_read_stop(stream);
        return;
    }
    uv_read_start(
        stream, provide_read_buffer, [](uv_stream_t *source, ssize_t count, const uv_buf_t *buf) {
            auto self = static_cast<Handle *>(source->data)->owner;
            if (!self || self->closed_ || count == 0)
                return;
            if (count < 0)
                return self->handle_disconnect(count == UV_EOF && !self->write_failed_
                                                   ? reason_of_reported_end(self->handle_->tcp)
                                                   : DisconnectReason::connection_error);
            // After close_when_sent no callback is called: the owner may no longer exist.
            if (self->on_received && !self->closing_when_sent_)
                self->on_received({buf->base, static_cast<std::size_t>(count)});
        });
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
    if (!closed_ && !bytes.empty())
        unflushed_.push_back(std::move(bytes));
}

void Socket::flush() {
    if (closed_ || !connected_ || unflushed_.empty())
        return;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    std::size_t written_now = 0;
    std::size_t first = 0, offset = 0; // the first byte that is not written yet
    // If libuv still has a queued write, the bytes must be queued behind it.
    while (writing_bytes_ == 0 && first < unflushed_.size()) {
        uv_buf_t bufs[64];
        unsigned buffer_count = 0;
        std::size_t requested = 0;
        for (std::size_t i = first; i < unflushed_.size() && buffer_count < 64;
             ++i, ++buffer_count) {
            std::size_t skip = i == first ? offset : 0;
            bufs[buffer_count] = uv_buf_init(unflushed_[i].data() + skip,
                                             static_cast<unsigned>(unflushed_[i].size() - skip));
            requested += bufs[buffer_count].len;
        }
        int result = uv_try_write(stream, bufs, buffer_count);
        if (result == UV_EAGAIN)
            break;
        if (result < 0) {
            write_failed_ = true;
            unflushed_.clear();
            // Reported later: the caller of flush doesn't expect its socket to be closed by it.
            loop_.post([self = shared_from_this()] {
                self->handle_disconnect(DisconnectReason::connection_error);
            });
            return;
        }
        written_now += static_cast<std::size_t>(result);
        bool all_written = static_cast<std::size_t>(result) == requested;
        for (auto remaining = static_cast<std::size_t>(result);
             remaining > 0 && first < unflushed_.size();) {
            std::size_t unwritten = unflushed_[first].size() - offset;
            if (remaining < unwritten) {
                offset += remaining;
                break;
            }
            remaining -= unwritten, ++first, offset = 0;
        }
        if (!all_written)
            break;
    }
    std::string rest;
    for (std::size_t i = first; i < unflushed_.size(); ++i)
        rest.append(unflushed_[i], i == first ? offset : 0);
    unflushed_.clear();
    if (!rest.empty()) {
        auto *write =
            new QueuedWrite{{}, std::move(rest), shared_from_this(), &writing_bytes_, false};
        write->req.data = write;
        writing_bytes_ += write->bytes.size();
        auto buf = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
        uv_write(&write->req, stream, &buf, 1, [](uv_write_t *req, int status) {
            std::unique_ptr<QueuedWrite> self(static_cast<QueuedWrite *>(req->data));
            auto &socket = *self->socket;
            socket.writing_bytes_ -= self->bytes.size();
            if (socket.closed_)
                return;
            if (status < 0)
                return socket.handle_disconnect(DisconnectReason::connection_error);
            if (socket.on_written && !socket.closing_when_sent_ && !self->reported)
                socket.on_written(self->bytes.size());
            if (socket.closed_)
                return;
            if (socket.closing_when_sent_ && socket.writing_bytes_ == 0 &&
                socket.unflushed_.empty())
                return socket.close();
            socket.shut_down_if_sent();
        });
        // libuv may have written everything already, but calls back in the next iteration of the
        // loop only. It is reported now, or it would count as unsent until then.
        if (uv_stream_get_write_queue_size(stream) == 0)
            write->reported = true, written_now += write->bytes.size();
    }
    if (written_now > 0 && on_written && !closing_when_sent_)
        on_written(written_now);
}

void Socket::close_when_sent() {
    closing_when_sent_ = true;
    flush();
    if (closed_)
        return;
    if (writing_bytes_ == 0)
        return close();
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
    auto *req = new uv_shutdown_t;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    if (uv_shutdown(req, stream, [](uv_shutdown_t *finished, int) { delete finished; }) != 0)
        delete req;
}

void Socket::close(bool reset) {
    if (closed_)
        return;
    if (!reset)
        flush();
    if (closed_)
        return;
    closed_ = true;
    auto *raw_handle = reinterpret_cast<uv_handle_t *>(&handle_->tcp);
    auto delete_handle = [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); };
    // libuv can't reset a connection whose sending side is being closed.
    if (!(reset && connected_ && uv_tcp_close_reset(&handle_->tcp, delete_handle) == 0) &&
        !uv_is_closing(raw_handle))
        uv_close(raw_handle, delete_handle);
}

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
        error = uv_listen(
            reinterpret_cast<uv_stream_t *>(&handle_->tcp), backlog,
            [](uv_stream_t *server, int status) {
                auto *self = static_cast<Handle *>(server->data)->owner;
                if (!self || status < 0)
                    return;
                auto socket = std::make_shared<Socket>(self->loop_);
                if (uv_accept(server, reinterpret_cast<uv_stream_t *>(socket->raw())) == 0) {
                    socket->connected_ = true;
                    self->on_accept_(socket);
                } else {
                    socket->close();
                }
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
Listener::~Listener() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->tcp),
             [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

FileWatcher::FileWatcher(Loop &loop, const std::string &path, std::function<void()> on_change)
    : handle_(new Handle{{}, this}), on_change_(std::move(on_change)) {
    // Watches the directory: a watch on the file itself would be lost when the file is replaced by
    // another one.
    auto slash = path.rfind('/');
    std::string directory =
        slash == std::string::npos ? "." : path.substr(0, std::max<std::size_t>(slash, 1));
    name_ = slash == std::string::npos ? path : path.substr(slash + 1);
    uv_fs_event_init(loop.raw(), &handle_->event);
    handle_->event.data = handle_;
    uv_fs_event_start(
        &handle_->event,
        [](uv_fs_event_t *event, const char *file, int, int) {
            auto *self = static_cast<Handle *>(event->data)->owner;
            if (self && (!file || self->name_ == file))
                self->on_change_();
        },
        directory.c_str(), 0);
}
FileWatcher::~FileWatcher() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->event),
             [](uv_handle_t *handle) { delete static_cast<Handle *>(handle->data); });
}

} // namespace knotvane::loop
