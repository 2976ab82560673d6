// One client's NBD session without any I/O: bytes in, calls out; answers in, bytes out. The same
// session runs behind a socket, in virtual time and under the fuzzer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::nbd {

// A request of one session, numbered by the session: clients may use a cookie twice, these are used
// once.
using Cookie = Id<struct CookieKind, std::uint64_t>;

// What a client asks, once it is known to be well formed, inside the export and aligned. `data` of
// a write lives until the call returns.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    // Names of all exports, in the order of the list.
    virtual std::vector<std::string> exports() = 0;
    // Tells size in bytes, transmission flags and block sizes (least, preferred, most; bytes);
    // false if there is no such export. An empty name asks for the default one.
    virtual bool describe(std::string_view name, std::uint64_t &size, std::uint16_t &flags,
                          std::uint32_t &least, std::uint32_t &preferred, std::uint32_t &most) = 0;
    // The client has chosen; requests follow.
    virtual void opened(std::string_view name) = 0;
    virtual void read(Cookie id, std::uint64_t offset, std::uint32_t length, bool in_one) = 0;
    virtual void write(Cookie id, std::uint64_t offset, std::string_view data, bool fua) = 0;
    virtual void zero(Cookie id, std::uint64_t offset, std::uint32_t length, bool fua, bool no_hole,
                      bool fast) = 0;
    virtual void trim(Cookie id, std::uint64_t offset, std::uint32_t length, bool fua) = 0;
    virtual void flush(Cookie id) = 0;
    virtual void cache(Cookie id, std::uint64_t offset, std::uint32_t length) = 0;
    virtual void status(Cookie id, std::uint64_t offset, std::uint32_t length, bool one) = 0;
    // The client said good-bye, or sent what can't be followed (`fault` says what; empty for a
    // good-bye).
    virtual void left(std::string_view fault) = 0;
};

class Session {
public:
    // `most_flying`: requests at work at once; past it input is kept unread. `most_request`: bytes
    // of one read or write. The least block size is what every offset and length must be a multiple
    // of.
    Session(RequestHandler &asked, std::uint32_t most_flying, std::uint32_t most_request);

    // Takes what has come from the client, in any pieces.
    void receive(std::string_view in);
    // Takes out what is to be sent to the client.
    std::string take_output();
    std::size_t pending_output_bytes() const { return out_.size(); }
    // Input is kept back until requests end: the shell should stop reading.
    bool input_paused() const { return !over_ && (held_ || flying_.size() >= most_flying_); }
    // Keeps input back, or takes it again, for reasons of the caller's own.
    void pause_input(bool held);
    bool closed() const { return over_; }
    std::size_t in_flight() const { return flying_.size(); }
    bool is_in_flight(Cookie id) const { return flying_.contains(id); }
    // Bytes held: input not yet taken and reads that are being put together.
    std::size_t buffered_bytes() const { return in_.size() - at_ + kept_; }

    // Answers. Each request ends once, by done, fail or extents; what comes for one that ended is
    // dropped. A part of a read, at its offset in the export; parts may come in any order.
    void reply_data(Cookie id, std::uint64_t offset, std::string_view bytes);
    void reply_done(Cookie id);
    // `offset`: where it went wrong, none if nowhere in particular.
    void reply_error(Cookie id, std::uint32_t error, std::string_view message,
                     std::optional<std::uint64_t> offset = {});
    // The answer to a block status: pairs of length in bytes and flags (1 hole, 2 reads as zero).
    void reply_block_status(Cookie id,
                            const std::vector<std::pair<std::uint32_t, std::uint32_t>> &runs);

private:
    enum class Phase { flags, options, requests };
    struct Flying {
        std::uint64_t cookie, offset;
        std::uint32_t length;
        std::uint16_t command;
        bool in_one;
        std::string gathered; // a read that must go out in one piece
    };

    bool step();
    bool step_option();
    bool step_request();
    void option(std::uint32_t code, std::string_view data);
    void info(std::uint32_t code, std::string_view data);
    void meta(std::uint32_t code, std::string_view data);
    void option_reply(std::uint32_t code, std::uint32_t type, std::string_view data);
    void begin(std::string_view name);
    void ask(std::uint16_t flags, std::uint16_t command, std::uint64_t cookie, std::uint64_t offset,
             std::uint32_t length, std::string_view payload);
    void end_with(std::string_view fault);
    void answer_error(std::uint64_t cookie, std::uint32_t error, std::string_view message);
    void chunk(std::uint64_t cookie, std::uint16_t flags, std::uint16_t type, std::size_t length);

    RequestHandler &asked_;
    std::uint32_t most_flying_, most_request_;
    Phase phase_ = Phase::flags;
    bool over_ = false, stepping_ = false, held_ = false, leaving_ = false, no_zeroes_ = false,
         structured_ = false, allocation_ = false;
    std::string allocation_of_; // the export for which the context was chosen
    std::string in_, out_;
    std::size_t at_ = 0;     // where in `in_` the next record begins
    std::size_t kept_ = 0;   // bytes in `gathered`
    std::uint64_t skip_ = 0; // payload of a refused write, still to come
    std::uint64_t size_ = 0;
    std::uint16_t flags_ = 0;
    std::uint32_t least_ = 1;
    std::uint64_t next_ = 0;
    std::map<Cookie, Flying> flying_;
};

} // namespace knotvane::nbd
