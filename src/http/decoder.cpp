#include "http/decoder.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>

#include <http_parser.h>

namespace knotvane::http {
namespace {

// Names of a message's headers: ours have ten at most, other programs' seldom more than thirty.
constexpr std::size_t most_headers = 64;

bool token(std::string_view name) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               marks.find(c) != marks.npos;
    });
}
bool digits(std::string_view v) {
    return !v.empty() && v.size() <= 18 && v.find_first_not_of("0123456789") == v.npos;
}
std::string_view trimmed(std::string_view v) {
    auto from = v.find_first_not_of(" \t");
    return from == v.npos ? std::string_view()
                          : v.substr(from, v.find_last_not_of(" \t") - from + 1);
}

} // namespace

struct Decoder::Parts {
    http_parser parser{};
    MessageKind side;
    std::size_t most_head, most_body;
    State state = State::empty;
    const char *fault = "";
    unsigned fault_status = 400;
    std::string target, body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool in_name = false, head_done = false, keeps_open = true;
    std::size_t raw = 0; // bytes since the message began, or since its body was last taken

    Parts(MessageKind s, std::size_t head, std::size_t most)
        : side(s), most_head(head), most_body(most) {
        begin();
    }
    void begin() {
        http_parser_init(&parser, side == MessageKind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        state = State::empty, fault = "", fault_status = 400;
        target.clear(), body.clear(), headers.clear();
        in_name = head_done = false, keeps_open = true, raw = 0;
    }
    int bad(const char *what, unsigned as = 400) {
        if (state != State::broken)
            fault = what, fault_status = as;
        state = State::broken;
        return -1;
    }
    std::size_t counted(std::string_view name) const {
        return static_cast<std::size_t>(std::count_if(
            headers.begin(), headers.end(), [&](auto &h) { return alike(h.first, name); }));
    }
    std::string_view value(std::string_view name) const {
        for (auto &[n, v] : headers)
            if (alike(n, name))
                return v;
        return {};
    }
    int name_bytes(std::string_view in) {
        if (head_done)
            return 0; // a trailer
        if (!in_name) {
            if (headers.size() >= most_headers)
                return bad("too many headers", 431);
            headers.emplace_back();
        }
        in_name = true;
        headers.back().first += in;
        return 0;
    }
    int value_bytes(std::string_view in) {
        if (head_done)
            return 0;
        if (headers.empty())
            return bad("a header without a name");
        in_name = false;
        headers.back().second += in;
        return 0;
    }
    // What the parser lets pass and two readers might take in two ways.
    int head() {
        for (auto &[name, v] : headers) {
            if (!token(name))
                return bad("a header's name has odd characters");
            v = std::string(trimmed(v));
            if (std::any_of(v.begin(), v.end(), [](char c) {
                    return (static_cast<unsigned char>(c) < 32 && c != '\t') || c == 127;
                }))
                return bad("a header's value has control characters");
        }
        auto lengths = counted("content-length"), codings = counted("transfer-encoding");
        if (lengths + codings > 1)
            return bad("the length is told twice");
        if (lengths == 1 && !digits(value("content-length")))
            return bad("Content-Length is not a number");
        if (codings == 1 && !alike(value("transfer-encoding"), "chunked"))
            return bad("Transfer-Encoding is not chunked", 501);
        if (parser.http_major != 1)
            return bad("not HTTP/1", 505);
        if (parser.upgrade)
            return bad("another protocol is asked for", 501);
        if (lengths == 1 && parser.content_length != std::numeric_limits<std::uint64_t>::max() &&
            parser.content_length > most_body)
            return bad("the body is too long", 413);
        keeps_open = http_should_keep_alive(&parser) != 0;
        head_done = true, state = State::body;
        return 0;
    }
    static Parts &of(http_parser *p) { return *static_cast<Parts *>(p->data); }
    static const http_parser_settings &calls() {
        static const http_parser_settings all = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_url = [](http_parser *p, const char *at, std::size_t n) {
                Parts::of(p).target.append(at, n);
                return 0;
            };
            s.on_header_field = [](http_parser *p, const char *at, std::size_t n) {
                return Parts::of(p).name_bytes({at, n});
            };
            s.on_header_value = [](http_parser *p, const char *at, std::size_t n) {
                return Parts::of(p).value_bytes({at, n});
            };
            s.on_headers_complete = [](http_parser *p) { return Parts::of(p).head(); };
            s.on_body = [](http_parser *p, const char *at, std::size_t n) {
                auto &m = Parts::of(p);
                if (m.body.size() + n > m.most_body)
                    return m.bad("the body is too long", 413);
                m.body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser *p) {
                Parts::of(p).state = State::whole;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return all;
    }
};

Decoder::Decoder(MessageKind side, std::size_t most_head, std::size_t most_body)
    : parts_(std::make_unique<Parts>(side, most_head, most_body)) {}
Decoder::~Decoder() = default;
Decoder::Decoder(Decoder &&) noexcept = default;
Decoder &Decoder::operator=(Decoder &&) noexcept = default;

std::size_t Decoder::take(std::string_view in) {
    Parts &m = *parts_;
    std::size_t taken = 0;
    while (taken < in.size() && m.state != State::whole && m.state != State::broken) {
        if (m.state == State::empty)
            m.state = State::head;
        // A head is read in no larger bites than it may be long.
        auto bite = in.substr(taken, m.head_done ? in.npos
                                                 : m.most_head + 1 - std::min(m.raw, m.most_head));
        auto n = http_parser_execute(&m.parser, &Parts::calls(), bite.data(), bite.size());
        taken += n, m.raw += n;
        auto error = static_cast<enum http_errno>(m.parser.http_errno);
        if (m.state == State::whole && m.side == MessageKind::response &&
            m.parser.status_code < 200) {
            m.begin();
            continue;
        }
        if (m.state == State::whole)
            break;
        if (error != HPE_OK)
            m.bad(http_errno_description(error));
        else if (!m.head_done && m.raw > m.most_head)
            m.bad("the head is too long", 431);
        else if (m.raw >
                 m.most_head + 8 * m.most_body) // tiny chunks, endless extensions or trailers
            m.bad("the body is wrapped in too much", 413);
        else if (n == 0)
            m.bad("cannot be read");
    }
    return taken;
}
void Decoder::finish() {
    Parts &m = *parts_;
    if (m.state != State::head && m.state != State::body)
        return;
    http_parser_execute(&m.parser, &Parts::calls(), nullptr, 0);
    if (m.state != State::whole)
        m.bad("it ended in the middle");
}
void Decoder::next() {
    parts_->begin();
}
State Decoder::state() const {
    return parts_->state;
}
const char *Decoder::fault() const {
    return parts_->fault;
}
unsigned Decoder::fault_status() const {
    return parts_->fault_status;
}
std::string_view Decoder::method() const {
    return http_method_str(static_cast<enum http_method>(parts_->parser.method));
}
const std::string &Decoder::target() const {
    return parts_->target;
}
unsigned Decoder::status() const {
    return parts_->parser.status_code;
}
bool Decoder::keeps_open() const {
    return parts_->keeps_open;
}
std::optional<std::string_view> Decoder::header(std::string_view name) const {
    if (parts_->counted(name) != 1)
        return std::nullopt;
    return parts_->value(name);
}
std::size_t Decoder::count(std::string_view name) const {
    return parts_->counted(name);
}
const std::string &Decoder::body() const {
    return parts_->body;
}
std::string Decoder::take_body() {
    parts_->raw = 0;
    return std::exchange(parts_->body, {});
}

std::optional<double> number(std::string_view text) {
    if (text.empty() || text.size() > 32 || text.find_first_not_of("0123456789.-") != text.npos)
        return std::nullopt;
    double v = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), v, std::chars_format::fixed);
    if (ec != std::errc() || end != text.data() + text.size() || !std::isfinite(v))
        return std::nullopt;
    return v;
}
std::optional<std::uint64_t> hex16(std::string_view text) {
    std::uint64_t v = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), v, 16);
    if (text.size() != 16 || ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return v;
}
bool alike(std::string_view a, std::string_view b) {
    auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return low(x) == low(y); });
}

} // namespace knotvane::http
