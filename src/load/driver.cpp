#include "load/driver.hpp"

#include <algorithm>
#include <cstring>
#include <map>

#include "load/session.hpp"
#include "loop/socket.hpp"
#include "nbd/wire.hpp"

namespace knotvane::load {

struct Stream::Connection final : Replies {
    Stream &stream;
    std::shared_ptr<loop::Socket> socket;
    std::unique_ptr<Session> session;
    bool open = false;
    Time disconnect_at = 0;
    struct Pending {
        Time intended;
        std::uint16_t command;
        std::uint32_t length;
        bool is_retry = false; // sent before and denied
    };
    std::map<std::uint64_t, Pending> pending;
    Time backoff_until = 0;

    explicit Connection(Stream &owner) : stream(owner) {}
    void connect_to_edge() {
        open = false;
        if (stream.finished_)
            return;
        session = std::make_unique<Session>(*this, stream.shape_.volume, stream.shape_.structured);
        socket = std::make_shared<loop::Socket>(stream.loop_);
        disconnect_at = stream.shape_.leave_every > 0 ? loop::now() + stream.shape_.leave_every : 0;
        socket->on_received = [this](std::string_view in) {
            session->bytes(in);
            flush_output();
        };
        socket->on_disconnected = [this](loop::DisconnectReason) { disconnect(); };
        auto self = socket;
        socket->connect(stream.shape_.address, [this, self](bool connected) {
            if (self != socket)
                return;
            if (!connected)
                disconnect();
        });
    }
    // Records every unanswered request as lost and closes the socket; the next tick reconnects.
    void disconnect() {
        for (auto &[cookie, a] : pending)
            stream.samples_.push_back({a.intended - stream.started_at_, loop::now() - a.intended,
                                       a.length, a.command, ~0u});
        pending.clear();
        open = false;
        if (socket)
            socket->close(true);
        socket.reset();
    }
    void flush_output() {
        if (!socket)
            return;
        if (auto out = session->take_out(); !out.empty())
            socket->send(std::move(out));
        socket->flush();
    }
    void opened(std::uint64_t, std::uint16_t) override {
        open = true;
        if (stream.shape_.rate == 0)
            stream.fill_window(*this);
    }
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t cookie, std::uint32_t error, std::string_view) override {
        auto it = pending.find(cookie);
        if (it == pending.end())
            return;
        auto a = it->second;
        pending.erase(it);
        stream.samples_.push_back({a.intended - stream.started_at_, loop::now() - a.intended,
                                   a.length, a.command, error});
        bool retry = error == nbd::e_nomem && !a.is_retry && stream.shape_.again_at_once > 0 &&
                     static_cast<double>(stream.random_()) <
                         stream.shape_.again_at_once * static_cast<double>(stream.random_.max());
        if (retry && open && loop::now() < stream.ends_at_)
            stream.send_request(*this, loop::now(), true);
        // After an error the client waits 100 ms, the shortest backoff of clients on one machine.
        if (error != 0)
            backoff_until = loop::now() + 100 * ms;
        if (stream.shape_.rate == 0 && error == 0)
            stream.fill_window(*this);
    }
    void broken(std::string_view why) override { stream.fault_ = why; }
};

Stream::Stream(loop::Loop &loop, Shape shape)
    : loop_(loop), shape_(std::move(shape)), random_(static_cast<std::uint32_t>(shape_.seed)),
      timer_(new uv_timer_t) {
    uv_timer_init(loop_.raw(), timer_);
    timer_->data = this;
    uv_timer_start(
        timer_, [](uv_timer_t *t) { static_cast<Stream *>(t->data)->tick(); },
        static_cast<std::uint64_t>(shape_.begin / ms), 1);
}
Stream::~Stream() {
    finished_ = true;
    for (auto &c : connections_)
        if (c->socket)
            c->socket->close(true);
    uv_close(reinterpret_cast<uv_handle_t *>(timer_),
             [](uv_handle_t *h) { delete reinterpret_cast<uv_timer_t *>(h); });
}

void Stream::tick() {
    Time now = loop::now();
    if (finished_)
        return;
    if (!running_) {
        running_ = true;
        started_at_ = next_due_ = now;
        ends_at_ = now + shape_.length;
        // Requests in flight at the end get the longest client timeout of the embedded settings
        // to be answered.
        drained_by_ = ends_at_ + 6 * sec;
        for (std::uint32_t i = 0; i < shape_.connections; ++i) {
            connections_.push_back(std::make_unique<Connection>(*this));
            connections_.back()->connect_to_edge();
        }
    }
    bool all_idle = true;
    for (auto &c : connections_) {
        all_idle = all_idle && c->pending.empty();
        if (now >= ends_at_)
            continue;
        if (!c->socket)
            c->connect_to_edge();
        else if (c->disconnect_at > 0 && now >= c->disconnect_at)
            c->disconnect();
        else if (shape_.rate == 0)
            fill_window(*c);
    }
    if (now >= ends_at_ && (all_idle || now >= drained_by_)) {
        finished_ = true;
        uv_timer_stop(timer_);
        for (auto &c : connections_)
            if (c->socket) {
                if (c->open)
                    c->session->ask(nbd::cmd_disc, 0, 0, 0, 0), c->flush_output();
                c->socket->close_when_sent();
                c->socket.reset();
            }
        return;
    }
    // Open loop: each due request is sent or counted as missed at its intended time; slow replies
    // don't delay later requests.
    while (shape_.rate > 0 && next_due_ <= now && next_due_ < ends_at_) {
        Connection *available = nullptr;
        for (std::size_t i = 0; i < connections_.size() && !available; ++i) {
            auto &c = *connections_[(next_connection_ + i) % connections_.size()];
            if (c.open && c.pending.size() < shape_.flying)
                available = &c;
        }
        ++next_connection_;
        if (available)
            send_request(*available, next_due_);
        else
            ++missed_;
        // Gaps are uniform between 0.5 and 1.5 times the mean, so that arrivals cluster slightly.
        auto gap = 1e9 / shape_.rate;
        next_due_ += static_cast<Time>(
            gap * (0.5 + static_cast<double>(random_()) / static_cast<double>(random_.max())));
    }
    for (auto &c : connections_)
        c->flush_output();
}

void Stream::fill_window(Connection &c) {
    if (!c.open || loop::now() >= ends_at_ || loop::now() < c.backoff_until)
        return;
    while (c.pending.size() < shape_.flying)
        send_request(c, loop::now());
}

void Stream::send_request(Connection &c, Time intended, bool is_retry) {
    auto random_fraction = [&] {
        return static_cast<double>(random_()) / (static_cast<double>(random_.max()) + 1);
    };
    auto blocks = [&](std::uint64_t bytes) { return std::max<std::uint64_t>(1, bytes / 512); };
    auto least = blocks(shape_.least), most = blocks(shape_.most);
    auto length = static_cast<std::uint32_t>(
        (least +
         static_cast<std::uint64_t>(random_fraction() * static_cast<double>(most - least + 1))) *
        512);
    // Requests of a fixed size are aligned to that size, as most programs do; others to 512 bytes.
    std::uint64_t step = least == most ? length : 512;
    std::uint64_t positions = (shape_.region - length) / step + 1;
    std::uint64_t offset =
        shape_.from +
        static_cast<std::uint64_t>(random_fraction() * static_cast<double>(positions)) * step;
    auto cookie = ++cookie_;
    double command_draw = random_fraction();
    std::uint16_t command = command_draw < shape_.flushes      ? nbd::cmd_flush
                            : random_fraction() < shape_.reads ? nbd::cmd_read
                                                               : nbd::cmd_write;
    c.pending[cookie] = {intended, command, command == nbd::cmd_flush ? 0 : length, is_retry};
    if (command == nbd::cmd_flush) {
        c.session->ask(command, 0, cookie, 0, 0);
    } else if (command == nbd::cmd_read) {
        c.session->ask(command, 0, cookie, offset, length);
    } else {
        // Each 512-byte block of each write is unique, so that read data identifies its write.
        std::string data(length, 'x');
        for (std::uint32_t i = 0; i < length / 512; ++i) {
            std::uint64_t stamp[3] = {shape_.seed, cookie, i};
            std::memcpy(data.data() + std::size_t{i} * 512, stamp, sizeof stamp);
        }
        c.session->ask(command, 0, cookie, offset, length, data);
    }
}

Time quantile(std::vector<Time> times, double fraction) {
    if (times.empty())
        return 0;
    auto at = static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(at), times.end());
    return times[at];
}

} // namespace knotvane::load
