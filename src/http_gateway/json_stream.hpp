// Complete JSON objects out of a stream of bytes, cut anywhere, on one line each or on many. It
// finds where they end; what they say is the reader's to check. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::http_gateway {

class JsonStream {
public:
    // `most`: bytes of one object.
    explicit JsonStream(std::size_t most) : most_(most) {}

    // Takes bytes up to the end of one object at most and tells how many.
    std::size_t take(std::string_view in) {
        std::size_t at = 0;
        while (at < in.size() && !whole_ && !*fault_)
            step(in[at++]);
        return at;
    }
    // An object that came to its end.
    std::optional<std::string> object() {
        if (!whole_)
            return std::nullopt;
        whole_ = false;
        return std::exchange(bytes_, {});
    }
    // An empty line between objects came since this was last asked.
    bool blank() { return std::exchange(blank_, false); }
    // Why the stream can't be read on, empty while it can.
    const char *fault() const { return fault_; }

private:
    void step(char c) {
        if (depth_ == 0) {
            if (c == '\n')
                blank_ |= line_empty_, line_empty_ = true;
            if (c == ' ' || c == '\t' || c == '\r' || c == '\n')
                return;
            if (c != '{')
                return void(fault_ = "not a JSON object");
        }
        line_empty_ = false;
        bytes_ += c;
        if (bytes_.size() > most_)
            return void(fault_ = "an object is too long");
        if (in_text_) {
            in_text_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
        } else if (c == '"') {
            in_text_ = true;
        } else if (c == '{' || c == '[') {
            ++depth_;
        } else if (c == '}' || c == ']') {
            whole_ = --depth_ == 0;
        }
    }

    std::size_t most_, depth_ = 0;
    std::string bytes_;
    bool in_text_ = false, escaped_ = false, whole_ = false, blank_ = false, line_empty_ = true;
    const char *fault_ = "";
};

} // namespace knotvane::http_gateway
