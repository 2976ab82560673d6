/// \file
/// Lines of the gateway's trace.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// Builds a line: the event's name, then " name=value" for each field. `knotvane trace` and
/// operators read the names; a value that isn't known is a dash.
class TraceLine {
public:
    explicit TraceLine(std::string event) : text_(std::move(event)) {}

    template <class Number>
    requires std::is_integral_v<Number> TraceLine &field(std::string_view name, Number value) {
        return field(name, std::to_string(value));
    }

    TraceLine &field(std::string_view name, std::string_view value) {
        text_.append(" ").append(name).append("=").append(value);
        return *this;
    }

    /// Appends a span in whole microseconds.
    TraceLine &microseconds(std::string_view name, Time span) { return field(name, span / us); }

    /// Appends a span in whole microseconds, or a dash.
    TraceLine &microseconds(std::string_view name, std::optional<Time> span) {
        return span ? field(name, *span / us) : field(name, "-");
    }

    std::string text() const { return text_; }

private:
    std::string text_;
};

} // namespace knotvane::http_gateway
