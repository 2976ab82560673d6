/// \file
/// Decodes HTTP/1.1 messages from bytes, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace knotvane::http {

enum class MessageKind { request, response };

/// How far a message has come.
enum class State {
    empty,    ///< No byte of it.
    head,     ///< In its first line or headers.
    body,     ///< Its head is complete.
    complete, ///< Complete.
    invalid   ///< Not a message; see fault. The connection can't be read on.
};

/// Decodes one message at a time. Stricter than the parser below it where two readers could see two
/// things in one message, which would let one client's bytes count as another's request.
class Decoder {
public:
    /// Bounds in bytes; a message that is longer is broken as soon as that shows.
    Decoder(MessageKind kind, std::size_t max_head, std::size_t max_body);
    ~Decoder();
    Decoder(const Decoder &) = delete;
    Decoder &operator=(const Decoder &) = delete;
    Decoder(Decoder &&) noexcept;
    Decoder &operator=(Decoder &&) noexcept;

    /// Takes bytes up to the end of one message at most; returns how many. Responses of status 1xx
    /// are skipped.
    std::size_t consume(std::string_view bytes);
    /// The stream ended in order: a response without a length is whole then; any other message that
    /// has begun is broken.
    void finish();
    /// Starts over with the next message.
    void start_next();

    State state() const;
    /// What is wrong with a broken message; else empty.
    const char *error() const;
    /// The HTTP status that tells its sender.
    unsigned error_status() const;

    // Of a message whose head is complete:

    std::string_view method() const;
    const std::string &target() const;
    unsigned status() const;
    /// Whether the connection may be used for another message.
    bool keep_alive() const;
    /// Returns a header's value, without blanks around it; nothing if it is absent or stands there
    /// more than once.
    std::optional<std::string_view> header(std::string_view name) const;
    /// How often a header stands there.
    std::size_t header_count(std::string_view name) const;
    const std::string &body() const;
    /// Takes what came of the body so far. A body that is taken as it comes may be of any length.
    std::string take_body();

private:
    class Message;
    std::unique_ptr<Message> message_;
};

/// Reads digits, with decimals or without and a minus in front or without; nothing for other texts.
std::optional<double> parse_decimal(std::string_view text);

/// Reads sixteen hex digits, no more and no fewer; nothing for other texts.
std::optional<std::uint64_t> parse_hex64(std::string_view text);

/// Whether two texts are equal but for the case of ASCII letters.
bool equal_ignoring_case(std::string_view a, std::string_view b);

} // namespace knotvane::http
