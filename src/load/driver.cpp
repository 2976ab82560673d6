#include "load/driver.hpp"

#include <algorithm>
#include <cstring>
#include <map>

#include "load/session.hpp"
#include "nbd/wire.hpp"

namespace knotvane::load {

struct Stream::Conn final : Replies {
    Stream &s;
    std::shared_ptr<loop::Socket> socket;
    std::unique_ptr<Session> session;
    bool open = false;
    Time leaves = 0;
    struct Asked {
        Time intended;
        std::uint16_t command;
        std::uint32_t length;
        bool again = false; // asked before
    };
    std::map<std::uint64_t, Asked> asked;
    Time rests_until = 0;

    explicit Conn(Stream &stream) : s(stream) {}
    void come() {
        open = false;
        if (s.over_)
            return;
        session = std::make_unique<Session>(*this, s.shape_.volume, s.shape_.structured);
        socket = std::make_shared<loop::Socket>(s.loop_);
        leaves = s.shape_.leave_every > 0 ? loop::now() + s.shape_.leave_every : 0;
        socket->on_received = [this](std::string_view in) {
            session->bytes(in);
            push();
        };
        socket->on_disconnected = [this](loop::DisconnectReason) { gone(); };
        auto self = socket;
        socket->connect(s.shape_.address, [this, self](bool well) {
            if (self != socket)
                return;
            if (!well)
                gone();
        });
    }
    // Tells of all that had no answer, and comes again at the next tick.
    void gone() {
        for (auto &[cookie, a] : asked)
            s.samples_.push_back(
                {a.intended - s.began_, loop::now() - a.intended, a.length, a.command, ~0u});
        asked.clear();
        open = false;
        if (socket)
            socket->close(true);
        socket.reset();
    }
    void push() {
        if (!socket)
            return;
        if (auto out = session->take_out(); !out.empty())
            socket->send(std::move(out));
        socket->flush();
    }
    void opened(std::uint64_t, std::uint16_t) override {
        open = true;
        if (s.shape_.rate == 0)
            s.refill(*this);
    }
    void data(std::uint64_t, std::uint64_t, std::string_view) override {}
    void ended(std::uint64_t cookie, std::uint32_t error, std::string_view) override {
        auto it = asked.find(cookie);
        if (it == asked.end())
            return;
        auto a = it->second;
        asked.erase(it);
        s.samples_.push_back(
            {a.intended - s.began_, loop::now() - a.intended, a.length, a.command, error});
        bool again = error == nbd::e_nomem && !a.again && s.shape_.again_at_once > 0 &&
                     static_cast<double>(s.chance_()) <
                         s.shape_.again_at_once * static_cast<double>(s.chance_.max());
        if (again && open && loop::now() < s.ends_)
            s.ask(*this, loop::now(), true);
        // A refused client waits: a tenth of a second is what clients of one machine do at the
        // least.
        if (error != 0)
            rests_until = loop::now() + 100 * ms;
        if (s.shape_.rate == 0 && error == 0)
            s.refill(*this);
    }
    void broken(std::string_view why) override { s.fault_ = why; }
};

Stream::Stream(loop::Loop &loop, Shape shape)
    : loop_(loop), shape_(std::move(shape)), chance_(static_cast<std::uint32_t>(shape_.seed)),
      timer_(new uv_timer_t) {
    uv_timer_init(loop_.raw(), timer_);
    timer_->data = this;
    uv_timer_start(
        timer_, [](uv_timer_t *t) { static_cast<Stream *>(t->data)->tick(); },
        static_cast<std::uint64_t>(shape_.begin / ms), 1);
}
Stream::~Stream() {
    over_ = true;
    for (auto &c : conns_)
        if (c->socket)
            c->socket->close(true);
    uv_close(reinterpret_cast<uv_handle_t *>(timer_),
             [](uv_handle_t *h) { delete reinterpret_cast<uv_timer_t *>(h); });
}

void Stream::tick() {
    Time now = loop::now();
    if (over_)
        return;
    if (!running_) {
        running_ = true;
        began_ = next_ = now;
        ends_ = now + shape_.length;
        // What is out at the end has the longest client timeout of the embedded settings to come
        // back.
        drained_by_ = ends_ + 6 * sec;
        for (std::uint32_t i = 0; i < shape_.connections; ++i) {
            conns_.push_back(std::make_unique<Conn>(*this));
            conns_.back()->come();
        }
    }
    bool quiet = true;
    for (auto &c : conns_) {
        quiet = quiet && c->asked.empty();
        if (now >= ends_)
            continue;
        if (!c->socket)
            c->come();
        else if (c->leaves > 0 && now >= c->leaves)
            c->gone();
        else if (shape_.rate == 0)
            refill(*c);
    }
    if (now >= ends_ && (quiet || now >= drained_by_)) {
        over_ = true;
        uv_timer_stop(timer_);
        for (auto &c : conns_)
            if (c->socket) {
                if (c->open)
                    c->session->ask(nbd::cmd_disc, 0, 0, 0, 0), c->push();
                c->socket->close_when_sent();
                c->socket.reset();
            }
        return;
    }
    // Open loop: what is due is sent, or missed, by its own time; a slow answer does not slow the
    // clock.
    while (shape_.rate > 0 && next_ <= now && next_ < ends_) {
        Conn *free = nullptr;
        for (std::size_t i = 0; i < conns_.size() && !free; ++i) {
            auto &c = *conns_[(turn_ + i) % conns_.size()];
            if (c.open && c.asked.size() < shape_.flying)
                free = &c;
        }
        ++turn_;
        if (free)
            ask(*free, next_);
        else
            ++missed_;
        // Evenly spread gaps between half and one and a half of the mean: arrivals that bunch a
        // little.
        auto gap = 1e9 / shape_.rate;
        next_ += static_cast<Time>(
            gap * (0.5 + static_cast<double>(chance_()) / static_cast<double>(chance_.max())));
    }
    for (auto &c : conns_)
        c->push();
}

void Stream::refill(Conn &c) {
    if (!c.open || loop::now() >= ends_ || loop::now() < c.rests_until)
        return;
    while (c.asked.size() < shape_.flying)
        ask(c, loop::now());
}

void Stream::ask(Conn &c, Time intended, bool again) {
    auto part = [&] {
        return static_cast<double>(chance_()) / (static_cast<double>(chance_.max()) + 1);
    };
    auto blocks = [&](std::uint64_t bytes) { return std::max<std::uint64_t>(1, bytes / 512); };
    auto least = blocks(shape_.least), most = blocks(shape_.most);
    auto length = static_cast<std::uint32_t>(
        (least + static_cast<std::uint64_t>(part() * static_cast<double>(most - least + 1))) * 512);
    // Aligned to its own size where all are of one size, as most programs do; anywhere else.
    std::uint64_t step = least == most ? length : 512;
    std::uint64_t places = (shape_.region - length) / step + 1;
    std::uint64_t offset =
        shape_.from + static_cast<std::uint64_t>(part() * static_cast<double>(places)) * step;
    auto cookie = ++cookie_;
    double what = part();
    std::uint16_t command = what < shape_.flushes   ? nbd::cmd_flush
                            : part() < shape_.reads ? nbd::cmd_read
                                                    : nbd::cmd_write;
    c.asked[cookie] = {intended, command, command == nbd::cmd_flush ? 0 : length, again};
    if (command == nbd::cmd_flush) {
        c.session->ask(command, 0, cookie, 0, 0);
    } else if (command == nbd::cmd_read) {
        c.session->ask(command, 0, cookie, offset, length);
    } else {
        // Each block of each write is like no other, so that what a read returns tells whose it is.
        std::string data(length, 'x');
        for (std::uint32_t i = 0; i < length / 512; ++i) {
            std::uint64_t stamp[3] = {shape_.seed, cookie, i};
            std::memcpy(data.data() + std::size_t{i} * 512, stamp, sizeof stamp);
        }
        c.session->ask(command, 0, cookie, offset, length, data);
    }
}

Time quantile(std::vector<Time> times, double part) {
    if (times.empty())
        return 0;
    auto at = static_cast<std::size_t>(part * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(at), times.end());
    return times[at];
}

} // namespace knotvane::load
