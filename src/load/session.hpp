// Client side of the NBD protocol without I/O, for load generators, scripted days and tests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knotvane::load {

// Receives the events of one Session.
class Replies {
public:
    virtual ~Replies() = default;
    // Negotiation succeeded; `size` is the export's size in bytes, `flags` its transmission flags.
    virtual void opened(std::uint64_t size, std::uint16_t flags) = 0;
    virtual void data(std::uint64_t cookie, std::uint64_t offset, std::string_view bytes) = 0;
    // A request has completed with an NBD error, 0 for success; `message` may be empty.
    virtual void ended(std::uint64_t cookie, std::uint32_t error, std::string_view message) = 0;
    // Protocol error or refused export; the session ignores all further input.
    virtual void broken(std::string_view why) = 0;
};

class Session {
public:
    // `replies` must outlive the session; `name` is the export to open.
    Session(Replies &replies, std::string name, bool structured);
    // Takes bytes received from the server.
    void bytes(std::string_view in);
    // Returns and clears the bytes to send to the server.
    std::string take_out();
    bool is_open() const { return phase_ == Phase::open; }
    // Queues one request. `command` and `flags` are those of nbd/wire.hpp; a cookie must be unique
    // within the session.
    void ask(std::uint16_t command, std::uint16_t flags, std::uint64_t cookie, std::uint64_t offset,
             std::uint32_t length, std::string_view data = {});
    std::size_t flying() const { return pending_.size(); }

private:
    enum class Phase { greeting, structured, go, open, broken };
    bool process_next();
    void send_option(std::uint32_t code, std::string_view data);
    void fail(std::string_view why);

    Replies &replies_;
    std::string name_;
    bool want_structured_, structured_ = false;
    Phase phase_ = Phase::greeting;
    std::string input_, output_;
    std::size_t consumed_ = 0;
    std::uint64_t size_ = 0;
    std::uint16_t flags_ = 0;
    struct PendingRequest {
        std::uint16_t command;
        std::uint64_t offset;
        std::uint32_t length;
        std::uint32_t error = 0;
        std::string message;
    };
    std::map<std::uint64_t, PendingRequest> pending_;
};

} // namespace knotvane::load
