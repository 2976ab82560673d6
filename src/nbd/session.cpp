#include "nbd/session.hpp"

#include <algorithm>

#include "nbd/wire.hpp"

namespace knotvane::nbd {
namespace {

// An option longer than this is answered "too big": names and context queries are far shorter.
constexpr std::uint32_t longest_option = 64 * 1024;
// An option longer than this is no option: the stream can't be trusted any more.
constexpr std::uint32_t absurd_option = 1 << 24;
// The specification's bound on strings.
constexpr std::size_t longest_name = 4096;
// How many option rounds a client gets before it must have chosen: guards against a session that
// never ends.
constexpr std::uint32_t most_options = 1024;
// The only context there is, and its number in this session.
constexpr std::string_view allocation = "base:allocation";
constexpr std::uint32_t allocation_id = 1;

} // namespace

Session::Session(RequestHandler &asked, std::uint32_t most_flying, std::uint32_t most_request)
    : asked_(asked), most_flying_(most_flying), most_request_(most_request) {
    put(out_, init_magic);
    put(out_, option_magic);
    put<std::uint16_t>(out_, flag_fixed_newstyle | flag_no_zeroes);
}

std::string Session::take_output() {
    std::string out;
    out.swap(out_);
    return out;
}

void Session::receive(std::string_view in) {
    if (over_)
        return;
    // A refused write's payload is dropped as it comes and never gathered.
    auto dropped =
        static_cast<std::size_t>(std::min<std::uint64_t>(skip_, at_ == in_.size() ? in.size() : 0));
    skip_ -= dropped;
    in_.append(in.substr(dropped));
    // An answer may come while a request is being passed on: the loop that passes it on then goes
    // on, so that many requests answered at once do not nest, and what a call still reads stays
    // where it is.
    if (stepping_)
        return;
    stepping_ = true;
    while (!over_ && !input_paused() && step()) {
    }
    stepping_ = false;
    if (over_)
        in_.clear(), at_ = 0;
    // Moved up only when most is used up, so that many small records cost no more than their own
    // bytes.
    if (at_ > in_.size() / 2)
        in_.erase(0, at_), at_ = 0;
}

void Session::pause_input(bool held) {
    held_ = held;
    if (!held)
        receive({});
}

bool Session::step() {
    if (leaving_) {
        if (flying_.empty())
            end_with("");
        return false;
    }
    if (skip_ > 0) {
        auto n = static_cast<std::size_t>(std::min<std::uint64_t>(skip_, in_.size() - at_));
        at_ += n, skip_ -= n;
        if (skip_ > 0)
            return false;
    }
    switch (phase_) {
    case Phase::flags: {
        if (in_.size() - at_ < 4)
            return false;
        auto flags = get<std::uint32_t>(in_, at_);
        at_ += 4;
        if ((flags & ~std::uint32_t{flag_fixed_newstyle | flag_no_zeroes}) != 0 ||
            (flags & flag_fixed_newstyle) == 0) {
            end_with("handshake: client flags " + std::to_string(flags) +
                     " where fixed newstyle (1), with no zeroes (2) or without, was expected");
            return false;
        }
        no_zeroes_ = (flags & flag_no_zeroes) != 0;
        phase_ = Phase::options;
        return true;
    }
    case Phase::options:
        return step_option();
    case Phase::requests:
        return step_request();
    }
    return false;
}

bool Session::step_option() {
    std::string_view in = std::string_view(in_).substr(at_);
    if (in.size() < 16)
        return false;
    if (get<std::uint64_t>(in, 0) != option_magic) {
        end_with("handshake: an option does not begin with IHAVEOPT");
        return false;
    }
    auto code = get<std::uint32_t>(in, 8), length = get<std::uint32_t>(in, 12);
    if (length > absurd_option || ++next_ > most_options) {
        end_with(length > absurd_option
                     ? "handshake: an option of " + std::to_string(length) + " bytes; at most " +
                           std::to_string(absurd_option) + " are read over"
                     : "handshake: more than " + std::to_string(most_options) +
                           " options and no export chosen");
        return false;
    }
    if (length > longest_option && code != opt_export_name) {
        at_ += 16, skip_ = length;
        option_reply(code, rep_err_too_big,
                     "option is longer than " + std::to_string(longest_option));
        return true;
    }
    if (code == opt_export_name && length > longest_name) {
        end_with("handshake: an export's name of " + std::to_string(length) + " bytes; at most " +
                 std::to_string(longest_name) + " are allowed");
        return false;
    }
    if (in.size() < 16 + std::size_t{length})
        return false;
    at_ += 16 + std::size_t{length};
    option(code, std::string(in.substr(16, length)));
    return !over_;
}

void Session::option_reply(std::uint32_t code, std::uint32_t type, std::string_view data) {
    put(out_, option_reply_magic);
    put(out_, code);
    put(out_, type);
    put(out_, static_cast<std::uint32_t>(data.size()));
    out_ += data;
}

void Session::option(std::uint32_t code, std::string_view data) {
    switch (code) {
    case opt_export_name: {
        std::uint32_t preferred = 0, most = 0;
        if (!asked_.describe(data, size_, flags_, least_, preferred, most))
            return end_with("handshake: no export is named '" + std::string(data.substr(0, 80)) +
                            "'");
        put(out_, size_);
        put(out_, static_cast<std::uint16_t>(flags_ | flag_has_flags));
        if (!no_zeroes_)
            out_.append(124, '\0');
        return begin(data);
    }
    case opt_abort:
        option_reply(code, rep_ack, "");
        return end_with("");
    case opt_list:
        if (!data.empty())
            return option_reply(code, rep_err_invalid, "LIST takes no data");
        for (const auto &name : asked_.exports()) {
            std::string entry;
            put(entry, static_cast<std::uint32_t>(name.size()));
            option_reply(code, rep_server, entry + name);
        }
        return option_reply(code, rep_ack, "");
    case opt_info:
    case opt_go:
        return info(code, data);
    case opt_structured_reply:
        if (!data.empty())
            return option_reply(code, rep_err_invalid, "STRUCTURED_REPLY takes no data");
        structured_ = true;
        return option_reply(code, rep_ack, "");
    case opt_list_meta_context:
    case opt_set_meta_context:
        return meta(code, data);
    default:
        return option_reply(code, rep_err_unsup,
                            "option " + std::to_string(code) + " is not offered");
    }
}

void Session::info(std::uint32_t code, std::string_view data) {
    if (data.size() < 6)
        return option_reply(code, rep_err_invalid, "option is cut short");
    auto n = get<std::uint32_t>(data, 0);
    if (n > longest_name || data.size() < 6 + std::size_t{n} ||
        data.size() != 6 + n + 2 * std::size_t{get<std::uint16_t>(data, 4 + n)})
        return option_reply(code, rep_err_invalid, "lengths in the option do not add up");
    std::string_view name = data.substr(4, n);
    std::uint64_t size = 0;
    std::uint16_t flags = 0;
    std::uint32_t least = 1, preferred = 1, most = 1;
    if (!asked_.describe(name, size, flags, least, preferred, most))
        return option_reply(code, rep_err_unknown, "no such export");
    std::string answer;
    put(answer, info_export);
    put(answer, size);
    put(answer, static_cast<std::uint16_t>(flags | flag_has_flags));
    option_reply(code, rep_info, answer);
    answer.clear();
    // Sent unasked, as the specification allows: requests are held to it either way.
    put(answer, info_block_size);
    put(answer, least);
    put(answer, preferred);
    put(answer, most);
    option_reply(code, rep_info, answer);
    option_reply(code, rep_ack, "");
    if (code == opt_go) {
        size_ = size, flags_ = flags, least_ = least;
        begin(name);
    }
}

void Session::meta(std::uint32_t code, std::string_view data) {
    if (code == opt_set_meta_context)
        allocation_ = false;
    if (!structured_)
        return option_reply(code, rep_err_invalid, "contexts need structured replies first");
    if (data.size() < 8)
        return option_reply(code, rep_err_invalid, "option is cut short");
    auto n = get<std::uint32_t>(data, 0);
    if (n > longest_name || data.size() < 8 + std::size_t{n})
        return option_reply(code, rep_err_invalid, "lengths in the option do not add up");
    std::string name(data.substr(4, n));
    auto queries = get<std::uint32_t>(data, 4 + n);
    std::size_t at = 8 + std::size_t{n};
    bool wanted = queries == 0 && code == opt_list_meta_context;
    for (std::uint32_t i = 0; i < queries; ++i) {
        if (data.size() - at < 4 || get<std::uint32_t>(data, at) > data.size() - at - 4)
            return option_reply(code, rep_err_invalid, "lengths in the option do not add up");
        auto length = get<std::uint32_t>(data, at);
        auto query = data.substr(at + 4, length);
        wanted |= query == allocation || (code == opt_list_meta_context && query == "base:");
        at += 4 + std::size_t{length};
    }
    if (at != data.size())
        return option_reply(code, rep_err_invalid, "bytes past the last query");
    std::uint64_t size = 0;
    std::uint16_t flags = 0;
    std::uint32_t least = 1, preferred = 1, most = 1;
    if (!asked_.describe(name, size, flags, least, preferred, most))
        return option_reply(code, rep_err_unknown, "no such export");
    if (wanted) {
        std::string answer;
        put(answer, code == opt_set_meta_context ? allocation_id : 0u);
        answer += allocation;
        option_reply(code, rep_meta_context, answer);
        if (code == opt_set_meta_context)
            allocation_ = true, allocation_of_ = name;
    }
    option_reply(code, rep_ack, "");
}

void Session::begin(std::string_view name) {
    phase_ = Phase::requests;
    next_ = 0;
    // A context holds for the export that it was chosen for and no other.
    allocation_ = allocation_ && allocation_of_ == name;
    asked_.opened(name);
}

bool Session::step_request() {
    std::string_view in = std::string_view(in_).substr(at_);
    if (in.size() < 28)
        return false;
    if (get<std::uint32_t>(in, 0) != request_magic) {
        end_with("a request does not begin with the request magic");
        return false;
    }
    auto flags = get<std::uint16_t>(in, 4), command = get<std::uint16_t>(in, 6);
    auto cookie = get<std::uint64_t>(in, 8), offset = get<std::uint64_t>(in, 16);
    auto length = get<std::uint32_t>(in, 24);
    if (command == cmd_disc) {
        leaving_ = true; // all that is at work is finished first
        return true;
    }
    std::size_t payload = 0;
    if (command == cmd_write) {
        if (length > most_request_) {
            // Read over rather than believed: a frame this large may well not be one.
            constexpr std::uint32_t absurd = 1u << 30;
            if (length > absurd) {
                end_with("a write of " + std::to_string(length) + " bytes; at most " +
                         std::to_string(most_request_) + " are taken");
                return false;
            }
            at_ += 28, skip_ = length;
            answer_error(cookie, e_overflow,
                         "a write holds at most " + std::to_string(most_request_) + " bytes");
            return true;
        }
        payload = length;
    }
    if (in.size() < 28 + payload)
        return false;
    at_ += 28 + payload;
    ask(flags, command, cookie, offset, length, in.substr(28, payload));
    return !over_;
}

void Session::ask(std::uint16_t flags, std::uint16_t command, std::uint64_t cookie,
                  std::uint64_t offset, std::uint32_t length, std::string_view payload) {
    constexpr std::uint16_t known[] = {cmd_flag_df | cmd_flag_fua,
                                       cmd_flag_fua,
                                       0,
                                       cmd_flag_fua,
                                       cmd_flag_fua,
                                       cmd_flag_fua,
                                       cmd_flag_fua | cmd_flag_no_hole | cmd_flag_fast_zero,
                                       cmd_flag_req_one | cmd_flag_fua};
    if (command > cmd_block_status)
        return answer_error(cookie, e_inval,
                            "command " + std::to_string(command) + " is not known");
    if ((flags & ~known[command]) != 0)
        return answer_error(cookie, e_inval,
                            "flags " + std::to_string(flags) + " are not known here");
    bool changes = command == cmd_write || command == cmd_trim || command == cmd_write_zeroes;
    if (changes && (flags_ & flag_read_only) != 0)
        return answer_error(cookie, e_perm, "the export is read-only");
    bool offered = (command != cmd_flush || (flags_ & flag_send_flush)) &&
                   (command != cmd_trim || (flags_ & flag_send_trim)) &&
                   (command != cmd_cache || (flags_ & flag_send_cache)) &&
                   (command != cmd_write_zeroes || (flags_ & flag_send_write_zeroes)) &&
                   (command != cmd_block_status || allocation_) &&
                   (!(flags & cmd_flag_fast_zero) || (flags_ & flag_send_fast_zero)) &&
                   (!(flags & cmd_flag_df) || (structured_ && (flags_ & flag_send_df)));
    if (!offered)
        return answer_error(cookie, e_inval, "the command or its flag was not offered");
    if (command == cmd_flush) {
        if (offset != 0 || length != 0)
            return answer_error(cookie, e_inval, "a flush has no range");
    } else {
        if (length == 0)
            return answer_error(cookie, e_inval, "the length is zero");
        if (offset > size_ || length > size_ - offset)
            return answer_error(cookie, changes ? e_nospc : e_inval,
                                "the range ends past the export");
        if (offset % least_ != 0 || length % least_ != 0)
            return answer_error(cookie, e_inval,
                                "the range is not aligned to " + std::to_string(least_));
        if (command == cmd_read && length > most_request_)
            return answer_error(cookie, e_overflow,
                                "a read holds at most " + std::to_string(most_request_) + " bytes");
    }
    Cookie id{++next_};
    bool fua = (flags & cmd_flag_fua) != 0, in_one = !structured_ || (flags & cmd_flag_df) != 0;
    auto &f = flying_[id];
    f = {cookie, offset, length, command, in_one, {}};
    switch (command) {
    case cmd_read:
        if (in_one)
            f.gathered.resize(length), kept_ += length;
        return asked_.read(id, offset, length, in_one);
    case cmd_write:
        return asked_.write(id, offset, payload, fua);
    case cmd_flush:
        return asked_.flush(id);
    case cmd_trim:
        return asked_.trim(id, offset, length, fua);
    case cmd_cache:
        return asked_.cache(id, offset, length);
    case cmd_write_zeroes:
        return asked_.zero(id, offset, length, fua, (flags & cmd_flag_no_hole) != 0,
                           (flags & cmd_flag_fast_zero) != 0);
    default:
        return asked_.status(id, offset, length, (flags & cmd_flag_req_one) != 0);
    }
}

void Session::end_with(std::string_view fault) {
    over_ = true;
    flying_.clear();
    asked_.left(fault);
}

void Session::chunk(std::uint64_t cookie, std::uint16_t flags, std::uint16_t type,
                    std::size_t length) {
    put(out_, structured_reply_magic);
    put(out_, flags);
    put(out_, type);
    put(out_, cookie);
    put(out_, static_cast<std::uint32_t>(length));
}

void Session::answer_error(std::uint64_t cookie, std::uint32_t error, std::string_view message) {
    if (structured_) {
        chunk(cookie, reply_flag_done, reply_type_error, 6 + message.size());
        put(out_, error);
        put(out_, static_cast<std::uint16_t>(message.size()));
        out_ += message;
        return;
    }
    put(out_, simple_reply_magic);
    put(out_, error);
    put(out_, cookie);
}

void Session::reply_data(Cookie id, std::uint64_t offset, std::string_view bytes) {
    auto it = flying_.find(id);
    if (it == flying_.end() || bytes.empty())
        return;
    Flying &f = it->second;
    if (f.in_one) {
        std::copy(bytes.begin(), bytes.end(),
                  f.gathered.begin() + static_cast<std::ptrdiff_t>(offset - f.offset));
        return;
    }
    chunk(f.cookie, 0, reply_type_offset_data, 8 + bytes.size());
    put(out_, offset);
    out_ += bytes;
}

void Session::reply_done(Cookie id) {
    auto it = flying_.find(id);
    if (it == flying_.end())
        return;
    Flying &f = it->second;
    if (!structured_) {
        put(out_, simple_reply_magic);
        put(out_, std::uint32_t{0});
        put(out_, f.cookie);
        out_ += f.gathered;
    } else if (f.command == cmd_read && f.in_one) {
        chunk(f.cookie, reply_flag_done, reply_type_offset_data, 8 + f.gathered.size());
        put(out_, f.offset);
        out_ += f.gathered;
    } else {
        chunk(f.cookie, reply_flag_done, reply_type_none, 0);
    }
    kept_ -= f.gathered.size();
    flying_.erase(it);
    receive({});
}

void Session::reply_error(Cookie id, std::uint32_t error, std::string_view message,
                          std::optional<std::uint64_t> offset) {
    auto it = flying_.find(id);
    if (it == flying_.end())
        return;
    message = message.substr(0, longest_name);
    if (structured_ && offset && it->second.command == cmd_read) {
        chunk(it->second.cookie, reply_flag_done, reply_type_error_offset, 14 + message.size());
        put(out_, error);
        put(out_, static_cast<std::uint16_t>(message.size()));
        out_ += message;
        put(out_, *offset);
    } else {
        answer_error(it->second.cookie, error, message);
    }
    kept_ -= it->second.gathered.size();
    flying_.erase(it);
    receive({});
}

void Session::reply_block_status(Cookie id,
                                 const std::vector<std::pair<std::uint32_t, std::uint32_t>> &runs) {
    auto it = flying_.find(id);
    if (it == flying_.end())
        return;
    chunk(it->second.cookie, reply_flag_done, reply_type_block_status, 4 + 8 * runs.size());
    put(out_, allocation_id);
    for (auto [length, flags] : runs) {
        put(out_, length);
        put(out_, flags);
    }
    flying_.erase(it);
    receive({});
}

} // namespace knotvane::nbd
