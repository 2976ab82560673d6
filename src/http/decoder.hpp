/// \file
/// Decoder for HTTP/1.1 messages, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace knotvane::http {

enum class MessageKind { request, response };

/// The progress of decoding a message.
enum class MessageState {
    empty,    ///< No byte was consumed.
    head,     ///< The start line or the headers are incomplete.
    body,     ///< The head is complete, the body isn't.
    complete, ///< The whole message was consumed.
    invalid   ///< Malformed or too long; see error(). The connection can't be read any further.
};

/// Decodes one message at a time. It rejects messages that http_parser accepts but that two
/// implementations could interpret differently: otherwise bytes of one client could be taken for
/// another client's request (request smuggling).
class Decoder {
public:
    /// @param max_head limit on the size of the start line and headers, in bytes.
    /// @param max_body limit on the size of the body, in bytes. A message that exceeds a limit
    /// becomes invalid as soon as this is known.
    Decoder(MessageKind kind, std::size_t max_head, std::size_t max_body);
    ~Decoder();
    Decoder(const Decoder &) = delete;
    Decoder &operator=(const Decoder &) = delete;
    Decoder(Decoder &&) noexcept;
    Decoder &operator=(Decoder &&) noexcept;

    /// Consumes bytes up to the end of the message at most. Returns how many were consumed.
    /// Responses with a status of 1xx are skipped.
    std::size_t consume(std::string_view bytes);
    /// Handles the end of the stream. It completes a response without a length; any other message
    /// that has begun becomes invalid.
    void finish();
    /// Discards the message and starts with the next one.
    void start_next();

    MessageState state() const;
    /// The memory that the message's parts occupy, in bytes: more than was received of it, as each
    /// field of the head is kept apart.
    std::size_t memory_bytes() const;
    /// Why the message is invalid; empty for any other message.
    const char *error() const;
    /// The HTTP status to answer an invalid request with.
    unsigned error_status() const;

    // Valid once the head is complete:

    std::string_view method() const;
    const std::string &target() const;
    unsigned status() const;
    /// Whether the connection may be used for another message.
    bool keep_alive() const;
    /// Returns the value of a header, without surrounding whitespace; nothing if the header is
    /// absent or occurs more than once.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Returns how often a header occurs.
    std::size_t header_count(std::string_view name) const;
    const std::string &body() const;
    /// Removes and returns the part of the body received so far. If it is called regularly, the
    /// limit applies to each part, and the body may be of any length.
    std::string take_body();

private:
    class Message;
    std::unique_ptr<Message> message_;
};

/// Parses a decimal number with an optional minus sign and fraction, but no exponent; returns
/// nothing for any other text.
std::optional<double> parse_decimal(std::string_view text);

/// Parses exactly sixteen hexadecimal digits; returns nothing for any other text.
std::optional<std::uint64_t> parse_hex64(std::string_view text);

/// Compares two texts, ignoring the case of ASCII letters.
bool equal_ignoring_case(std::string_view a, std::string_view b);

} // namespace knotvane::http
