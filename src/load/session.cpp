#include "load/session.hpp"

#include <utility>

#include "nbd/wire.hpp"

namespace knotvane::load {

using namespace nbd;

Session::Session(Replies &replies, std::string name, bool structured)
    : replies_(replies), name_(std::move(name)), want_structured_(structured) {}

std::string Session::take_out() {
    return std::exchange(output_, {});
}

void Session::fail(std::string_view why) {
    if (phase_ == Phase::broken)
        return;
    phase_ = Phase::broken;
    replies_.broken(why);
}

void Session::send_option(std::uint32_t code, std::string_view data) {
    put(output_, option_magic);
    put(output_, code);
    put(output_, static_cast<std::uint32_t>(data.size()));
    output_ += data;
}

void Session::bytes(std::string_view in) {
    if (phase_ == Phase::broken)
        return;
    input_ += in;
    while (phase_ != Phase::broken && process_next()) {
    }
    if (consumed_ > input_.size() / 2)
        input_.erase(0, consumed_), consumed_ = 0;
}

bool Session::process_next() {
    std::string_view in = std::string_view(input_).substr(consumed_);
    switch (phase_) {
    case Phase::greeting: {
        if (in.size() < 18)
            return false;
        if (get<std::uint64_t>(in, 0) != init_magic || get<std::uint64_t>(in, 8) != option_magic)
            return fail("server greeting is not NBD fixed newstyle"), false;
        consumed_ += 18;
        put(output_, std::uint32_t{flag_fixed_newstyle | flag_no_zeroes});
        std::string go;
        put(go, static_cast<std::uint32_t>(name_.size()));
        go += name_;
        put(go, std::uint16_t{0});
        if (want_structured_)
            send_option(opt_structured_reply, "");
        send_option(opt_go, go);
        phase_ = want_structured_ ? Phase::structured : Phase::go;
        return true;
    }
    case Phase::structured:
    case Phase::go: {
        if (in.size() < 20)
            return false;
        auto type = get<std::uint32_t>(in, 12), length = get<std::uint32_t>(in, 16);
        if (get<std::uint64_t>(in, 0) != option_reply_magic)
            return fail("option reply has a wrong magic number"), false;
        if (in.size() < 20 + std::size_t{length})
            return false;
        consumed_ += 20 + std::size_t{length};
        auto data = in.substr(20, length);
        if (phase_ == Phase::structured) {
            structured_ = type == rep_ack;
            phase_ = Phase::go;
        } else if (type == rep_info && length >= 12 && get<std::uint16_t>(data, 0) == info_export) {
            size_ = get<std::uint64_t>(data, 2), flags_ = get<std::uint16_t>(data, 10);
        } else if (type == rep_ack) {
            phase_ = Phase::open;
            replies_.opened(size_, flags_);
        } else if (type >= 0x80000000) {
            return fail("server refused export " + name_ + ": " + std::string(data.substr(0, 200))),
                   false;
        }
        return true;
    }
    case Phase::open:
        break;
    case Phase::broken:
        return false;
    }
    if (in.size() < 16)
        return false;
    auto magic = get<std::uint32_t>(in, 0);
    if (magic == simple_reply_magic) {
        auto error = get<std::uint32_t>(in, 4);
        auto cookie = get<std::uint64_t>(in, 8);
        auto it = pending_.find(cookie);
        if (it == pending_.end())
            return fail("reply with a cookie of no pending request: " + std::to_string(cookie)),
                   false;
        std::size_t n = it->second.command == cmd_read && error == 0 ? it->second.length : 0;
        if (in.size() < 16 + n)
            return false;
        if (n > 0)
            replies_.data(cookie, it->second.offset, in.substr(16, n));
        consumed_ += 16 + n;
        pending_.erase(it);
        replies_.ended(cookie, error, "");
        return true;
    }
    if (magic != structured_reply_magic)
        return fail("reply has a wrong magic number"), false;
    if (in.size() < 20)
        return false;
    auto flags = get<std::uint16_t>(in, 4), type = get<std::uint16_t>(in, 6);
    auto cookie = get<std::uint64_t>(in, 8);
    auto length = get<std::uint32_t>(in, 16);
    if (in.size() < 20 + std::size_t{length})
        return false;
    auto it = pending_.find(cookie);
    if (it == pending_.end())
        return fail("reply with a cookie of no pending request: " + std::to_string(cookie)), false;
    auto data = in.substr(20, length);
    if (type == reply_type_offset_data && length >= 8) {
        replies_.data(cookie, get<std::uint64_t>(data, 0), data.substr(8));
    } else if ((type == reply_type_error || type == reply_type_error_offset) && length >= 6) {
        it->second.error = get<std::uint32_t>(data, 0);
        it->second.message = data.substr(6, get<std::uint16_t>(data, 4));
    }
    consumed_ += 20 + std::size_t{length};
    if (flags & reply_flag_done) {
        auto ended = std::move(it->second);
        pending_.erase(it);
        replies_.ended(cookie, ended.error, ended.message);
    }
    return true;
}

void Session::ask(std::uint16_t command, std::uint16_t flags, std::uint64_t cookie,
                  std::uint64_t offset, std::uint32_t length, std::string_view data) {
    put(output_, request_magic);
    put(output_, flags);
    put(output_, command);
    put(output_, cookie);
    put(output_, offset);
    put(output_, length);
    output_ += data;
    if (command != cmd_disc)
        pending_[cookie] = {command, offset, length, 0, {}};
}

} // namespace knotvane::load
