#include "nbd/session.hpp"

#include <algorithm>
#include <array>

namespace knotvane::nbd {
namespace {

constexpr std::size_t request_header_bytes = 28;
/// A longer write ends the session: the stream is taken to be corrupt.
constexpr std::uint32_t max_skipped_write_bytes = 1u << 30;

bool is_change(std::uint16_t command) {
    return command == cmd_write || command == cmd_trim || command == cmd_write_zeroes;
}

} // namespace

Session::Session(RequestHandler &handler, std::uint32_t max_in_flight,
                 std::uint32_t max_request_bytes)
    : handler_(handler), max_in_flight_(max_in_flight), max_request_bytes_(max_request_bytes),
      negotiation_(handler, output_) {}

void Session::receive(std::string_view bytes) {
    if (closed_)
        return;
    input_.append(bytes);
    // The handler may reply while a request is being passed to it. The loop below that passes it
    // then continues by itself, so that many requests answered at once do not recurse, and the
    // input that a call still reads is not moved.
    if (stepping_)
        return;
    stepping_ = true;
    while (!closed_ && !input_paused() && step()) {
    }
    stepping_ = false;
    if (closed_)
        input_.clear();
    input_.compact();
}

void Session::pause_input(bool paused) {
    paused_ = paused;
    if (!paused)
        receive({});
}

bool Session::step() {
    if (disconnecting_) {
        if (requests_.empty())
            close("");
        return false;
    }
    if (!input_.finish_drop())
        return false;
    return transmitting_ ? step_request() : step_negotiation();
}

bool Session::step_negotiation() {
    bool handled = negotiation_.step(input_);
    if (negotiation_.state() == Negotiation::State::ended)
        close(negotiation_.fault());
    if (negotiation_.state() == Negotiation::State::export_chosen) {
        transmitting_ = true;
        handler_.export_opened(negotiation_.export_name());
    }
    return handled;
}

bool Session::step_request() {
    auto unread = input_.unread();
    if (unread.size() < request_header_bytes)
        return false;
    if (get<std::uint32_t>(unread, 0) != request_magic) {
        close("transmission: a request does not begin with the request magic");
        return false;
    }
    RequestHeader header{get<std::uint16_t>(unread, 4), get<std::uint16_t>(unread, 6),
                         get<std::uint64_t>(unread, 8), get<std::uint64_t>(unread, 16),
                         get<std::uint32_t>(unread, 24)};
    if (header.command == cmd_disc) {
        disconnecting_ = true; // takes effect once all requests in flight have ended
        return true;
    }
    std::size_t payload_bytes = header.command == cmd_write ? header.length : 0;
    if (payload_bytes > max_request_bytes_)
        return reject_long_write(header);
    if (unread.size() < request_header_bytes + payload_bytes)
        return false;
    input_.consume(request_header_bytes + payload_bytes);
    start_request(header, unread.substr(request_header_bytes, payload_bytes));
    return !closed_;
}

bool Session::reject_long_write(const RequestHeader &header) {
    if (header.length > max_skipped_write_bytes) {
        close("transmission: a write has " + std::to_string(header.length) + " bytes; at most " +
              std::to_string(max_request_bytes_) + " are allowed");
        return false;
    }
    input_.consume(request_header_bytes);
    input_.drop(header.length);
    put_error(header.client_cookie, e_overflow,
              "a write holds at most " + std::to_string(max_request_bytes_) + " bytes");
    return true;
}

bool Session::is_offered(const RequestHeader &header) const {
    auto offered = negotiation_.chosen_export().transmission_flags;
    if ((header.flags & cmd_flag_fast_zero) && !(offered & flag_send_fast_zero))
        return false;
    if ((header.flags & cmd_flag_df) &&
        !(negotiation_.structured_replies() && (offered & flag_send_df)))
        return false;
    switch (header.command) {
    case cmd_flush:
        return offered & flag_send_flush;
    case cmd_trim:
        return offered & flag_send_trim;
    case cmd_cache:
        return offered & flag_send_cache;
    case cmd_write_zeroes:
        return offered & flag_send_write_zeroes;
    case cmd_block_status:
        return negotiation_.allocation_context();
    default:
        return true;
    }
}

std::optional<Session::Rejection> Session::check(const RequestHeader &header) const {
    // Indexed by command.
    constexpr std::array<std::uint16_t, cmd_block_status + 1> known_flags{
        cmd_flag_df | cmd_flag_fua,
        cmd_flag_fua,
        0,
        cmd_flag_fua,
        cmd_flag_fua,
        cmd_flag_fua,
        cmd_flag_fua | cmd_flag_no_hole | cmd_flag_fast_zero,
        cmd_flag_req_one | cmd_flag_fua};
    if (header.command > cmd_block_status)
        return Rejection{e_inval, "command " + std::to_string(header.command) + " is not known"};
    if ((header.flags & ~known_flags[header.command]) != 0)
        return Rejection{e_inval, "flags " + std::to_string(header.flags) + " are not known here"};
    if (is_change(header.command) &&
        (negotiation_.chosen_export().transmission_flags & flag_read_only) != 0)
        return Rejection{e_perm, "the export is read-only"};
    if (!is_offered(header))
        return Rejection{e_inval, "the command or its flag was not offered"};
    return check_range(header);
}

std::optional<Session::Rejection> Session::check_range(const RequestHeader &header) const {
    if (header.command == cmd_flush) {
        if (header.offset != 0 || header.length != 0)
            return Rejection{e_inval, "a flush has no range"};
        return std::nullopt;
    }
    const auto &info = negotiation_.chosen_export();
    auto alignment = info.block_sizes.minimum;
    if (header.length == 0)
        return Rejection{e_inval, "the length is zero"};
    if (header.offset > info.size_bytes || header.length > info.size_bytes - header.offset)
        return Rejection{is_change(header.command) ? e_nospc : e_inval,
                         "the range ends past the export"};
    if (header.offset % alignment != 0 || header.length % alignment != 0)
        return Rejection{e_inval, "the range is not aligned to " + std::to_string(alignment)};
    if (header.command == cmd_read && header.length > max_request_bytes_)
        return Rejection{e_overflow,
                         "a read holds at most " + std::to_string(max_request_bytes_) + " bytes"};
    return std::nullopt;
}

void Session::start_request(const RequestHeader &header, std::string_view payload) {
    if (auto rejection = check(header))
        return put_error(header.client_cookie, rejection->error, rejection->message);
    Cookie id{++last_cookie_};
    bool single_reply = !negotiation_.structured_replies() || (header.flags & cmd_flag_df) != 0;
    auto &request = requests_[id];
    request = {header, single_reply, {}};
    if (header.command == cmd_read && single_reply)
        request.gathered.resize(header.length);
    dispatch(id, header, payload);
}

void Session::dispatch(Cookie id, const RequestHeader &header, std::string_view payload) {
    bool fua = (header.flags & cmd_flag_fua) != 0;
    switch (header.command) {
    case cmd_read:
        return handler_.read(id, header.offset, header.length);
    case cmd_write:
        return handler_.write(id, header.offset, payload, fua);
    case cmd_flush:
        return handler_.flush(id);
    case cmd_trim:
        return handler_.trim(id, header.offset, header.length, fua);
    case cmd_cache:
        return handler_.cache(id, header.offset, header.length);
    case cmd_write_zeroes:
        return handler_.write_zeroes(id, header.offset, header.length, fua,
                                     (header.flags & cmd_flag_no_hole) != 0);
    default:
        return handler_.block_status(id, header.offset, header.length);
    }
}

void Session::finish_request(Cookie id) {
    requests_.erase(id);
    receive({}); // continues with input that was held back
}

void Session::close(std::string_view fault) {
    closed_ = true;
    requests_.clear();
    handler_.session_ended(fault);
}

void Session::put_simple_reply(std::uint64_t client_cookie, std::uint32_t error) {
    put(output_, simple_reply_magic);
    put(output_, error);
    put(output_, client_cookie);
}

void Session::put_chunk(std::uint64_t client_cookie, std::uint16_t flags, std::uint16_t type,
                        std::size_t length) {
    put(output_, structured_reply_magic);
    put(output_, flags);
    put(output_, type);
    put(output_, client_cookie);
    put(output_, static_cast<std::uint32_t>(length));
}

void Session::put_error(std::uint64_t client_cookie, ErrorCode error, std::string_view message) {
    if (!negotiation_.structured_replies())
        return put_simple_reply(client_cookie, error);
    put_chunk(client_cookie, reply_flag_done, reply_type_error,
              sizeof error + sizeof(std::uint16_t) + message.size());
    put(output_, error);
    put(output_, static_cast<std::uint16_t>(message.size()));
    output_ += message;
}

void Session::reply_data(Cookie request, std::uint64_t offset, std::string_view data) {
    auto it = requests_.find(request);
    if (it == requests_.end() || data.empty())
        return;
    Request &pending = it->second;
    if (pending.single_reply) {
        auto at = static_cast<std::ptrdiff_t>(offset - pending.header.offset);
        std::copy(data.begin(), data.end(), pending.gathered.begin() + at);
        return;
    }
    put_chunk(pending.header.client_cookie, 0, reply_type_offset_data, sizeof offset + data.size());
    put(output_, offset);
    output_ += data;
}

void Session::reply_done(Cookie request) {
    auto it = requests_.find(request);
    if (it == requests_.end())
        return;
    const Request &pending = it->second;
    const RequestHeader &header = pending.header;
    if (!negotiation_.structured_replies()) {
        put_simple_reply(header.client_cookie, 0);
        output_ += pending.gathered;
    } else if (header.command == cmd_read && pending.single_reply) {
        put_chunk(header.client_cookie, reply_flag_done, reply_type_offset_data,
                  sizeof header.offset + pending.gathered.size());
        put(output_, header.offset);
        output_ += pending.gathered;
    } else {
        put_chunk(header.client_cookie, reply_flag_done, reply_type_none, 0);
    }
    finish_request(request);
}

void Session::reply_error(Cookie request, ErrorCode error, std::string_view message,
                          std::optional<std::uint64_t> offset) {
    auto it = requests_.find(request);
    if (it == requests_.end())
        return;
    const RequestHeader &header = it->second.header;
    message = message.substr(0, max_string_bytes);
    if (negotiation_.structured_replies() && offset && header.command == cmd_read) {
        put_chunk(header.client_cookie, reply_flag_done, reply_type_error_offset,
                  sizeof error + sizeof(std::uint16_t) + message.size() + sizeof *offset);
        put(output_, error);
        put(output_, static_cast<std::uint16_t>(message.size()));
        output_ += message;
        put(output_, *offset);
    } else {
        put_error(header.client_cookie, error, message);
    }
    finish_request(request);
}

void Session::reply_block_status(Cookie request, const std::vector<BlockStatusExtent> &extents) {
    auto it = requests_.find(request);
    if (it == requests_.end())
        return;
    put_chunk(it->second.header.client_cookie, reply_flag_done, reply_type_block_status,
              sizeof allocation_context_id + sizeof(BlockStatusExtent) * extents.size());
    put(output_, allocation_context_id);
    for (const auto &extent : extents) {
        put(output_, extent.length_bytes);
        put(output_, extent.flags);
    }
    finish_request(request);
}

} // namespace knotvane::nbd
