/// \file
/// Cuts a stream of bytes into JSON objects.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::http_gateway {

/// Finds the ends of JSON objects in a stream that may be cut anywhere, with blanks and line ends
/// around objects and within. What is in an object is for its reader to check.
class JsonStream {
public:
    /// @param max_object_bytes an object that is longer is a fault.
    explicit JsonStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

    /// Takes bytes up to the end of one object at most; returns how many.
    std::size_t consume(std::string_view bytes) {
        std::size_t taken = 0;
        while (taken < bytes.size() && !complete_ && !has_error()) {
            consume_byte(bytes[taken]);
            ++taken;
        }
        return taken;
    }

    /// Returns an object that was taken to its end, once.
    std::optional<std::string> take_object() {
        if (!complete_)
            return std::nullopt;
        complete_ = false;
        return std::exchange(object_, {});
    }

    /// Returns whether an empty line between objects came since the last call.
    bool take_blank_line() { return std::exchange(blank_line_, false); }

    bool has_error() const { return *error_ != '\0'; }
    /// Why the stream can't be read on; empty while it can.
    const char *error() const { return error_; }

private:
    void consume_byte(char byte) {
        if (depth_ == 0 && !starts_object(byte))
            return;
        line_empty_ = false;
        object_ += byte;
        if (object_.size() > max_object_bytes_) {
            error_ = "an object is too long";
            return;
        }
        if (in_string_) {
            in_string_ = escaped_ || byte != '"';
            escaped_ = !escaped_ && byte == '\\';
        } else if (byte == '"') {
            in_string_ = true;
        } else if (byte == '{' || byte == '[') {
            ++depth_;
        } else if (byte == '}' || byte == ']') {
            --depth_;
            complete_ = depth_ == 0;
        }
    }

    /// Takes a byte between objects.
    bool starts_object(char byte) {
        if (byte == '\n') {
            blank_line_ |= line_empty_;
            line_empty_ = true;
        }
        if (byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n')
            return false;
        if (byte != '{')
            error_ = "not a JSON object";
        return byte == '{';
    }

    std::size_t max_object_bytes_;
    std::size_t depth_ = 0;
    std::string object_;
    bool in_string_ = false;
    bool escaped_ = false;
    bool complete_ = false;
    bool blank_line_ = false;
    bool line_empty_ = true;
    const char *error_ = "";
};

} // namespace knotvane::http_gateway
