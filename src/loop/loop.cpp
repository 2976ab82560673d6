#include "loop/loop.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <limits>
#include <stdexcept>

#include <concurrentqueue/concurrentqueue.h>

namespace knotvane::loop {
namespace {

// What is read at once: a few large requests, or very many small ones.
constexpr std::size_t read_size = 256 << 10;

void lend_buffer(uv_handle_t *, std::size_t, uv_buf_t *buf) {
    thread_local std::vector<char> buffer(read_size);
    *buf = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
}

sockaddr_in parse(const std::string &address) {
    auto colon = address.rfind(':');
    sockaddr_in out{};
    int port = -1;
    if (colon != std::string::npos && colon + 1 < address.size() && address.size() - colon <= 6 &&
        address.find_first_not_of("0123456789", colon + 1) == std::string::npos)
        port = std::stoi(address.substr(colon + 1));
    if (port < 0 || port > 65535 || uv_ip4_addr(address.substr(0, colon).c_str(), port, &out) != 0)
        throw std::runtime_error("address '" + address + "': expected one like 127.0.0.1:10809");
    return out;
}

struct Write {
    uv_write_t req;
    std::string bytes;
    std::shared_ptr<Socket> socket;
    std::size_t *writing;
    bool told = false; // that it has left
};

} // namespace

Time now() {
    using namespace std::chrono;
    static const Time ahead =
        duration_cast<nanoseconds>(system_clock::now().time_since_epoch()).count() -
        static_cast<Time>(uv_hrtime());
    return static_cast<Time>(uv_hrtime()) + ahead;
}

struct Loop::Posted {
    moodycamel::ConcurrentQueue<std::function<void()>> queue;
};

Loop::Loop() : posted_(std::make_unique<Posted>()) {
    // A write to a connection that its peer has reset raises this, and would end the program; the
    // write's own error tells it as well. Seen with answers too long to leave in one piece.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&loop_);
    loop_.data = this;
    uv_async_init(&loop_, &wake_, [](uv_async_t *a) {
        auto &self = *static_cast<Loop *>(a->loop->data);
        std::function<void()> call;
        while (self.posted_->queue.try_dequeue(call))
            call();
    });
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_prepare_start(&prepare_, [](uv_prepare_t *p) {
        auto &self = *static_cast<Loop *>(p->loop->data);
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
        [](uv_handle_t *h, void *) {
            if (!uv_is_closing(h))
                uv_close(h, nullptr);
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
    posted_->queue.enqueue(std::move(call));
    uv_async_send(&wake_);
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
    auto *c = new Connect{{}, shared_from_this(), std::move(done)};
    c->req.data = c;
    int bad = 0;
    try {
        auto addr = parse(address);
        bad = uv_tcp_connect(&c->req, &handle_->tcp, reinterpret_cast<sockaddr *>(&addr),
                             [](uv_connect_t *req, int status) {
                                 std::unique_ptr<Connect> self(static_cast<Connect *>(req->data));
                                 if (self->socket->closed_)
                                     return;
                                 if (status == 0)
                                     self->socket->start();
                                 self->done(status == 0);
                             });
    } catch (const std::exception &) {
        bad = -1;
    }
    connect_attempted_ = bad == 0;
    if (bad != 0)
        loop_.post([c] {
            std::unique_ptr<Connect> self(c);
            if (!self->socket->closed_)
                self->done(false);
        });
}

void Socket::start() {
    if (closed_)
        return;
    up_ = true;
    handle_->owner = shared_from_this();
    uv_tcp_nodelay(&handle_->tcp, 1);
    set_reading_paused(held_);
}

void Socket::set_reading_paused(bool hold) {
    held_ = hold;
    if (closed_ || !up_ || reading_ == !hold)
        return;
    reading_ = !hold;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    if (hold) {
        uv_read_stop(stream);
        return;
    }
    uv_read_start(stream, lend_buffer, [](uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
        auto self = static_cast<Handle *>(s->data)->owner;
        if (!self || self->closed_ || n == 0)
            return;
        if (n < 0)
            return self->gone(n == UV_EOF ? DisconnectReason::end_of_stream
                                          : DisconnectReason::connection_error);
        // Once it only ends, nothing is called back any more: whoever owned it may be gone.
        if (self->on_received && !self->ending_)
            self->on_received({buf->base, static_cast<std::size_t>(n)});
    });
}

void Socket::gone(DisconnectReason how) {
    if (closed_)
        return;
    bool silent = ending_;
    // Who ends in order may still read: only a broken connection has nothing to lose by a reset.
    close(how == DisconnectReason::connection_error || !pending_.empty());
    if (on_disconnected && !silent)
        on_disconnected(how);
}

void Socket::send(std::string bytes) {
    if (!closed_ && !bytes.empty())
        pending_.push_back(std::move(bytes));
}

void Socket::flush() {
    if (closed_ || !up_ || pending_.empty())
        return;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    std::size_t left_now = 0;
    std::size_t first = 0, within = 0;
    // While an earlier write is under way, the rest queues behind it.
    while (writing_ == 0 && first < pending_.size()) {
        uv_buf_t bufs[64];
        unsigned n = 0;
        std::size_t wanted = 0;
        for (std::size_t i = first; i < pending_.size() && n < 64; ++i, ++n) {
            std::size_t skip = i == first ? within : 0;
            bufs[n] = uv_buf_init(pending_[i].data() + skip,
                                  static_cast<unsigned>(pending_[i].size() - skip));
            wanted += bufs[n].len;
        }
        int put = uv_try_write(stream, bufs, n);
        if (put == UV_EAGAIN)
            break;
        if (put < 0) {
            pending_.clear();
            // Told later: whoever flushes does not expect to lose what it holds.
            loop_.post(
                [self = shared_from_this()] { self->gone(DisconnectReason::connection_error); });
            return;
        }
        left_now += static_cast<std::size_t>(put);
        bool all = static_cast<std::size_t>(put) == wanted;
        for (auto rest = static_cast<std::size_t>(put); rest > 0 && first < pending_.size();) {
            std::size_t here = pending_[first].size() - within;
            if (rest < here) {
                within += rest;
                break;
            }
            rest -= here, ++first, within = 0;
        }
        if (!all)
            break;
    }
    std::string rest;
    for (std::size_t i = first; i < pending_.size(); ++i)
        rest.append(pending_[i], i == first ? within : 0);
    pending_.clear();
    if (!rest.empty()) {
        auto *w = new Write{{}, std::move(rest), shared_from_this(), &writing_, false};
        w->req.data = w;
        writing_ += w->bytes.size();
        auto buf = uv_buf_init(w->bytes.data(), static_cast<unsigned>(w->bytes.size()));
        uv_write(&w->req, stream, &buf, 1, [](uv_write_t *req, int status) {
            std::unique_ptr<Write> self(static_cast<Write *>(req->data));
            auto &s = *self->socket;
            s.writing_ -= self->bytes.size();
            if (s.closed_)
                return;
            if (status < 0)
                return s.gone(DisconnectReason::connection_error);
            if (s.on_written && !s.ending_ && !self->told)
                s.on_written(self->bytes.size());
            if (s.closed_)
                return;
            if (s.ending_ && s.writing_ == 0 && s.pending_.empty())
                return s.close();
            s.shutdown_if_sent();
        });
        // It may have left at once, and is called back in the next turn only: until then it would
        // pass for unsent.
        if (uv_stream_get_write_queue_size(stream) == 0)
            w->told = true, left_now += w->bytes.size();
    }
    if (left_now > 0 && on_written && !ending_)
        on_written(left_now);
}

void Socket::close_when_sent() {
    ending_ = true;
    flush();
    if (closed_)
        return;
    if (writing_ == 0)
        return close();
}

void Socket::finish_sending() {
    if (closed_ || shutting_)
        return;
    flush();
    shutting_ = true;
    shutdown_if_sent();
}
void Socket::shutdown_if_sent() {
    if (!shutting_ || closed_ || !up_ || writing_ > 0 || !pending_.empty())
        return;
    auto *req = new uv_shutdown_t;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_->tcp);
    if (uv_shutdown(req, stream, [](uv_shutdown_t *r, int) { delete r; }) != 0)
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
    auto end = [](uv_handle_t *h) { delete static_cast<Handle *>(h->data); };
    // A connection whose sending side is being ended can't be reset.
    if (!(reset && up_ && uv_tcp_close_reset(&handle_->tcp, end) == 0) &&
        !uv_is_closing(raw_handle))
        uv_close(raw_handle, end);
}

Listener::Listener(Loop &loop, const std::string &address,
                   std::function<void(std::shared_ptr<Socket>)> on_came)
    : loop_(loop), handle_(new Handle{{}, this}), on_came_(std::move(on_came)) {
    sockaddr_in addr{};
    try {
        addr = parse(address);
    } catch (...) {
        delete handle_;
        throw;
    }
    uv_tcp_init(loop_.raw(), &handle_->tcp);
    handle_->tcp.data = handle_;
    int bad = uv_tcp_bind(&handle_->tcp, reinterpret_cast<sockaddr *>(&addr), 0);
    // Reconnects after a restart come all at once: a longer backlog than the usual keeps them from
    // being lost.
    constexpr int backlog = 1024;
    if (bad == 0)
        bad = uv_listen(reinterpret_cast<uv_stream_t *>(&handle_->tcp), backlog,
                        [](uv_stream_t *s, int status) {
                            auto *self = static_cast<Handle *>(s->data)->owner;
                            if (!self || status < 0)
                                return;
                            auto socket = std::make_shared<Socket>(self->loop_);
                            if (uv_accept(s, reinterpret_cast<uv_stream_t *>(socket->raw())) == 0) {
                                socket->up_ = true;
                                self->on_came_(socket);
                            } else {
                                socket->close();
                            }
                        });
    sockaddr_in got{};
    int size = sizeof got;
    if (bad == 0)
        bad = uv_tcp_getsockname(&handle_->tcp, reinterpret_cast<sockaddr *>(&got), &size);
    if (bad != 0) {
        handle_->owner = nullptr;
        uv_close(reinterpret_cast<uv_handle_t *>(&handle_->tcp),
                 [](uv_handle_t *h) { delete static_cast<Handle *>(h->data); });
        throw std::runtime_error("address " + address +
                                 " can't be listened on: " + uv_strerror(bad));
    }
    char text[64];
    uv_ip4_name(&got, text, sizeof text);
    address_ = std::string(text) + ":" + std::to_string(ntohs(got.sin_port));
}
Listener::~Listener() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->tcp),
             [](uv_handle_t *h) { delete static_cast<Handle *>(h->data); });
}

FileWatcher::FileWatcher(Loop &loop, const std::string &path, std::function<void()> on_change)
    : handle_(new Handle{{}, this}), on_change_(std::move(on_change)) {
    // The folder is watched: a file that is replaced by another takes a watch on itself along with
    // it.
    auto slash = path.rfind('/');
    std::string folder =
        slash == std::string::npos ? "." : path.substr(0, std::max<std::size_t>(slash, 1));
    name_ = slash == std::string::npos ? path : path.substr(slash + 1);
    uv_fs_event_init(loop.raw(), &handle_->event);
    handle_->event.data = handle_;
    uv_fs_event_start(
        &handle_->event,
        [](uv_fs_event_t *e, const char *file, int, int) {
            auto *self = static_cast<Handle *>(e->data)->owner;
            if (self && (!file || self->name_ == file))
                self->on_change_();
        },
        folder.c_str(), 0);
}
FileWatcher::~FileWatcher() {
    handle_->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_->event),
             [](uv_handle_t *h) { delete static_cast<Handle *>(h->data); });
}

} // namespace knotvane::loop
