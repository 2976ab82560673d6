#include "http/decoder.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include <http_parser.h>

namespace knotvane::http {
namespace {

// Messages of this protocol have at most 10 headers, those of other programs rarely more than 30.
constexpr std::size_t max_headers = 64;

// A Content-Length with more digits might not fit into the parser's 64 bits.
constexpr std::size_t max_length_digits = 18;

// Limit on the size of a chunked message as a multiple of the body limit. It leaves room for the
// headers of chunks of the usual size.
constexpr std::size_t max_encoding_factor = 8;

bool is_token(std::string_view text) {
    constexpr std::string_view special_characters = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               special_characters.find(c) != std::string_view::npos;
    });
}

bool is_length(std::string_view text) {
    return !text.empty() && text.size() <= max_length_digits &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool has_control_characters(std::string_view text) {
    constexpr char delete_character = 127;
    return std::any_of(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == delete_character;
    });
}

std::string_view trimmed(std::string_view text) {
    auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Empties a container and frees its memory, which clear() and an assignment keep.
template <class Container>
void free_memory(Container &container) {
    Container().swap(container);
}

} // namespace

/// The message that is being decoded. Holds http_parser's state and handles its callbacks.
class Decoder::Message {
public:
    using Header = std::pair<std::string, std::string>;

    Message(MessageKind message_kind, std::size_t max_head_bytes, std::size_t max_body_bytes)
        : kind(message_kind), max_head(max_head_bytes), max_body(max_body_bytes) {
        reset();
    }

    void reset() {
        http_parser_init(&parser, kind == MessageKind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        state = MessageState::empty;
        error = "";
        error_status = 400;
        // A connection that has once sent a large message may stay idle.
        free_memory(target);
        free_memory(body);
        free_memory(headers);
        in_header_name_ = false;
        head_complete_ = false;
        keep_alive = true;
        raw_bytes = 0;
    }

    /// Consumes bytes up to the end of the message at most. Returns how many were consumed.
    std::size_t consume(std::string_view bytes);

    /// Marks the message as invalid and keeps the first error. Returns the value with which a
    /// callback stops the parser.
    int fail(const char *reason, unsigned status = 400) {
        if (state != MessageState::invalid) {
            error = reason;
            error_status = status;
        }
        state = MessageState::invalid;
        return -1;
    }

    /// Returns how often a header occurs.
    std::size_t count(std::string_view name) const {
        return static_cast<std::size_t>(
            std::count_if(headers.begin(), headers.end(), [&](const auto &header) {
                return equal_ignoring_case(header.first, name);
            }));
    }

    /// Returns the value of the first header with this name; empty if there is none.
    std::string_view value(std::string_view name) const {
        for (const auto &[header_name, header_value] : headers)
            if (equal_ignoring_case(header_name, name))
                return header_value;
        return {};
    }

    /// Returns the memory that the message's parts occupy, in bytes.
    std::size_t memory_bytes() const {
        std::size_t bytes =
            target.capacity() + body.capacity() + headers.capacity() * sizeof(Header);
        for (const auto &[name, value] : headers)
            bytes += name.capacity() + value.capacity();
        return bytes;
    }

    /// Returns the table of callbacks for the parser.
    static const http_parser_settings &callbacks();

    http_parser parser{};
    MessageKind kind;
    std::size_t max_head;
    std::size_t max_body;
    MessageState state = MessageState::empty;
    const char *error = "";
    unsigned error_status = 400;
    std::string target;
    std::string body;
    std::vector<Header> headers;
    bool keep_alive = true;
    /// Bytes consumed since the message began or since take_body() was last called.
    std::size_t raw_bytes = 0;

private:
    static Message &from_parser(http_parser *source) {
        return *static_cast<Message *>(source->data);
    }

    int on_header_name(std::string_view bytes);
    int on_header_value(std::string_view bytes);
    int on_head_complete();
    int on_body(std::string_view bytes);
    /// Check what the parser accepts too leniently. Each returns 0, or the value that stops the
    /// parser.
    int check_headers();
    int check_length();
    /// Marks the message as invalid if it is too long or the parser reported an error.
    void check_progress(std::size_t consumed);

    bool in_header_name_ = false;
    bool head_complete_ = false;
};

int Decoder::Message::on_header_name(std::string_view bytes) {
    if (head_complete_)
        return 0; // ignores trailers
    if (!in_header_name_) {
        if (headers.size() >= max_headers)
            return fail("too many headers", 431);
        headers.emplace_back();
    }
    in_header_name_ = true;
    headers.back().first += bytes;
    return 0;
}

int Decoder::Message::on_header_value(std::string_view bytes) {
    if (head_complete_)
        return 0; // ignores trailers
    if (headers.empty())
        return fail("a header without a name");
    in_header_name_ = false;
    headers.back().second += bytes;
    return 0;
}

int Decoder::Message::check_headers() {
    for (auto &[name, value] : headers) {
        if (!is_token(name))
            return fail("a header's name has odd characters");
        value = std::string(trimmed(value));
        if (has_control_characters(value))
            return fail("a header's value has control characters");
    }
    return 0;
}

int Decoder::Message::check_length() {
    auto length_count = count("content-length");
    auto coding_count = count("transfer-encoding");
    if (length_count + coding_count > 1)
        return fail("the length is told twice");
    if (length_count == 1 && !is_length(value("content-length")))
        return fail("Content-Length is not a number");
    if (coding_count == 1 && !equal_ignoring_case(value("transfer-encoding"), "chunked"))
        return fail("Transfer-Encoding is not chunked", 501);
    return 0;
}

int Decoder::Message::on_head_complete() {
    if (int stop = check_headers())
        return stop;
    if (int stop = check_length())
        return stop;
    if (parser.http_major != 1)
        return fail("not HTTP/1", 505);
    if (parser.upgrade)
        return fail("another protocol is asked for", 501);
    constexpr auto unknown_length = std::numeric_limits<std::uint64_t>::max();
    if (count("content-length") == 1 && parser.content_length != unknown_length &&
        parser.content_length > max_body)
        return fail("the body is too long", 413);
    keep_alive = http_should_keep_alive(&parser) != 0;
    head_complete_ = true;
    state = MessageState::body;
    return 0;
}

int Decoder::Message::on_body(std::string_view bytes) {
    if (body.size() + bytes.size() > max_body)
        return fail("the body is too long", 413);
    body.append(bytes);
    return 0;
}

const http_parser_settings &Decoder::Message::callbacks() {
    static const http_parser_settings callbacks = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser *source, const char *bytes, std::size_t size) {
            from_parser(source).target.append(bytes, size);
            return 0;
        };
        settings.on_header_field = [](http_parser *source, const char *bytes, std::size_t size) {
            return from_parser(source).on_header_name({bytes, size});
        };
        settings.on_header_value = [](http_parser *source, const char *bytes, std::size_t size) {
            return from_parser(source).on_header_value({bytes, size});
        };
        settings.on_headers_complete = [](http_parser *source) {
            return from_parser(source).on_head_complete();
        };
        settings.on_body = [](http_parser *source, const char *bytes, std::size_t size) {
            return from_parser(source).on_body({bytes, size});
        };
        settings.on_message_complete = [](http_parser *source) {
            from_parser(source).state = MessageState::complete;
            http_parser_pause(source, 1);
            return 0;
        };
        return settings;
    }();
    return callbacks;
}

std::size_t Decoder::Message::consume(std::string_view bytes) {
    std::size_t total = 0;
    while (total < bytes.size() && state != MessageState::complete &&
           state != MessageState::invalid) {
        if (state == MessageState::empty)
            state = MessageState::head;
        // Passes at most one byte more than the head's limit to the parser until the head is
        // complete.
        auto max_piece =
            head_complete_ ? std::string_view::npos : max_head + 1 - std::min(raw_bytes, max_head);
        auto piece = bytes.substr(total, max_piece);
        auto consumed = http_parser_execute(&parser, &callbacks(), piece.data(), piece.size());
        total += consumed;
        raw_bytes += consumed;
        if (state != MessageState::complete)
            check_progress(consumed);
        else if (kind == MessageKind::response && parser.status_code < 200)
            reset();
    }
    return total;
}

void Decoder::Message::check_progress(std::size_t consumed) {
    auto parser_error = static_cast<enum http_errno>(parser.http_errno);
    if (parser_error != HPE_OK)
        fail(http_errno_description(parser_error));
    else if (!head_complete_ && raw_bytes > max_head)
        fail("the head is too long", 431);
    // Possible with tiny chunks, or with endless chunk extensions or trailers.
    else if (raw_bytes > max_head + max_encoding_factor * max_body)
        fail("the body is wrapped in too much", 413);
    else if (consumed == 0)
        fail("cannot be read");
}

Decoder::Decoder(MessageKind kind, std::size_t max_head, std::size_t max_body)
    : message_(std::make_unique<Message>(kind, max_head, max_body)) {}

Decoder::~Decoder() = default;
Decoder::Decoder(Decoder &&) noexcept = default;
Decoder &Decoder::operator=(Decoder &&) noexcept = default;

std::size_t Decoder::consume(std::string_view bytes) {
    return message_->consume(bytes);
}

void Decoder::finish() {
    Message &message = *message_;
    if (message.state != MessageState::head && message.state != MessageState::body)
        return;
    http_parser_execute(&message.parser, &Message::callbacks(), nullptr, 0);
    if (message.state != MessageState::complete)
        message.fail("it ended in the middle");
}

void Decoder::start_next() {
    message_->reset();
}

MessageState Decoder::state() const {
    return message_->state;
}

std::size_t Decoder::memory_bytes() const {
    return message_->memory_bytes();
}

const char *Decoder::error() const {
    return message_->error;
}

unsigned Decoder::error_status() const {
    return message_->error_status;
}

std::string_view Decoder::method() const {
    return http_method_str(static_cast<enum http_method>(message_->parser.method));
}

const std::string &Decoder::target() const {
    return message_->target;
}

unsigned Decoder::status() const {
    return message_->parser.status_code;
}

bool Decoder::keep_alive() const {
    return message_->keep_alive;
}

std::optional<std::string_view> Decoder::header(std::string_view name) const {
    if (message_->count(name) != 1)
        return std::nullopt;
    return message_->value(name);
}

std::size_t Decoder::header_count(std::string_view name) const {
    return message_->count(name);
}

const std::string &Decoder::body() const {
    return message_->body;
}

std::string Decoder::take_body() {
    message_->raw_bytes = 0;
    return std::exchange(message_->body, {});
}

std::optional<double> parse_decimal(std::string_view text) {
    constexpr std::size_t max_size = 32;
    if (text.empty() || text.size() > max_size ||
        text.find_first_not_of("0123456789.-") != std::string_view::npos)
        return std::nullopt;
    const char *text_end = text.data() + text.size();
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text_end, value, std::chars_format::fixed);
    if (error != std::errc() || end != text_end || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<std::uint64_t> parse_hex64(std::string_view text) {
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    const char *text_end = text.data() + text.size();
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text_end, value, hexadecimal);
    if (text.size() != digits || error != std::errc() || end != text_end)
        return std::nullopt;
    return value;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

} // namespace knotvane::http
