// The client's side of NBD without I/O: what drives the gateway in loads, days and tests.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knotvane::load {

// What comes of a client's requests.
class Replies {
public:
    virtual ~Replies() = default;
    // The export is open: its size in bytes and the transmission flags.
    virtual void opened(std::uint64_t size, std::uint16_t flags) = 0;
    virtual void data(std::uint64_t cookie, std::uint64_t offset, std::string_view bytes) = 0;
    // A request's end: NBD's error, 0 for none, and the message where one came.
    virtual void ended(std::uint64_t cookie, std::uint32_t error, std::string_view message) = 0;
    // The session can't go on.
    virtual void broken(std::string_view why) = 0;
};

class Session {
public:
    Session(Replies &replies, std::string name, bool structured);
    void bytes(std::string_view in);
    std::string take_out();
    bool is_open() const { return phase_ == Phase::open; }
    // One request of a kind of command (nbd/wire.hpp), with its flags; a cookie is used once.
    void ask(std::uint16_t command, std::uint16_t flags, std::uint64_t cookie, std::uint64_t offset,
             std::uint32_t length, std::string_view data = {});
    std::size_t flying() const { return flying_.size(); }

private:
    enum class Phase { greeting, structured, go, open, broken };
    bool step();
    void option(std::uint32_t code, std::string_view data);
    void fail(std::string_view why);

    Replies &replies_;
    std::string name_;
    bool want_structured_, structured_ = false;
    Phase phase_ = Phase::greeting;
    std::string in_, out_;
    std::size_t at_ = 0;
    std::uint64_t size_ = 0;
    std::uint16_t flags_ = 0;
    struct Asked {
        std::uint16_t command;
        std::uint64_t offset;
        std::uint32_t length;
        std::uint32_t error = 0;
        std::string message;
    };
    std::map<std::uint64_t, Asked> flying_;
};

} // namespace knotvane::load
