/// \file
/// Splits a byte stream into JSON objects.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::http_gateway {

/// Finds the boundaries of the JSON objects in a byte stream that arrives in pieces of any size.
/// Objects may be separated by whitespace and may contain it. The contents of an object are not
/// validated; that is left to the JSON parser.
class JsonStream {
public:
    /// @param max_object_bytes a longer object is an error.
    explicit JsonStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

    /// Consumes bytes up to the end of the next object at most. Returns how many were
    /// consumed: none after an error, or while a complete object waits for take_object().
    std::size_t consume(std::string_view bytes) {
        std::size_t consumed = 0;
        while (consumed < bytes.size() && !complete_ && !has_error()) {
            consume_byte(bytes[consumed]);
            ++consumed;
        }
        return consumed;
    }

    /// Returns the complete object, if there is one, and starts with the next.
    std::optional<std::string> take_object() {
        if (!complete_)
            return std::nullopt;
        complete_ = false;
        return std::exchange(object_, {});
    }

    /// Returns whether an empty line between objects was consumed since the last call.
    bool take_blank_line() { return std::exchange(blank_line_, false); }

    bool has_error() const { return *error_ != '\0'; }
    /// Why the stream can't be read any further; empty if there is no error.
    const char *error() const { return error_; }

private:
    void consume_byte(char byte) {
        if (depth_ == 0 && !starts_object(byte))
            return;
        line_empty_ = false;
        object_ += byte;
        if (object_.size() > max_object_bytes_) {
            error_ = "a JSON object exceeds the size limit";
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

    /// Handles a byte between objects. Returns whether it starts an object.
    bool starts_object(char byte) {
        if (byte == '\n') {
            blank_line_ |= line_empty_;
            line_empty_ = true;
        }
        if (byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n')
            return false;
        if (byte != '{')
            error_ = "unexpected character before a JSON object";
        return byte == '{';
    }

    std::size_t max_object_bytes_;
    /// Number of open braces and brackets; 0 between objects.
    std::size_t depth_ = 0;
    std::string object_;
    bool in_string_ = false;
    bool escaped_ = false;
    bool complete_ = false;
    bool blank_line_ = false;
    /// Whether only whitespace was consumed since the last line end.
    bool line_empty_ = true;
    const char *error_ = "";
};

} // namespace knotvane::http_gateway
