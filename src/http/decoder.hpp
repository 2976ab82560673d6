// HTTP/1.1 messages out of bytes, one at a time, on http-parser; no I/O. Stricter than the parser
// where two readers could see two things in one message.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct http_parser;

namespace knotvane::http {

enum class MessageKind { request, response };
enum class State { empty, head, body, whole, broken };

class Decoder {
public:
    // `most_head`, `most_body`: bytes; what is longer is broken as soon as that shows.
    Decoder(MessageKind side, std::size_t most_head, std::size_t most_body);
    ~Decoder();
    Decoder(Decoder &&) noexcept;
    Decoder &operator=(Decoder &&) noexcept;
    // Takes bytes up to the end of one message at most and tells how many. Answers of 1xx are
    // passed over.
    std::size_t take(std::string_view in);
    // The stream ended in order: an answer without a length is whole then, all else that has begun
    // is broken.
    void finish();
    // Makes ready for the next message.
    void next();

    State state() const;
    // What is wrong with a broken one, and the status that says so to who sent it.
    const char *fault() const;
    unsigned fault_status() const;

    // Of a message whose head is done.
    std::string_view method() const;
    const std::string &target() const;
    unsigned status() const;
    bool keeps_open() const;
    // The only value of a header, without blanks around it; nothing if it is absent or stands there
    // twice.
    std::optional<std::string_view> header(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::string &body() const;
    // Takes what came of the body so far, for one that does not end.
    std::string take_body();

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

// Digits, with decimals or without, with a minus in front or without, and nothing around them.
// Nothing for all else.
std::optional<double> number(std::string_view text);
// Sixteen hex digits, no more and no fewer.
std::optional<std::uint64_t> hex16(std::string_view text);
bool alike(std::string_view a, std::string_view b); // but for case

} // namespace knotvane::http
