/// \file
/// Builds the lines of the gateway's trace.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "common/time.hpp"

namespace knotvane::http_gateway {

/// Builds a line of the trace: the event's name, then " name=value" for each field. A value that
/// isn't known is written as a dash. `knotvane trace` and operators' tools depend on the names.
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

    /// Appends a duration in whole microseconds.
    TraceLine &microseconds(std::string_view name, Time duration) {
        return field(name, duration / us);
    }

    /// Appends a duration in whole microseconds, or a dash.
    TraceLine &microseconds(std::string_view name, std::optional<Time> duration) {
        return duration ? field(name, *duration / us) : field(name, "-");
    }

    std::string text() const { return text_; }

private:
    std::string text_;
};

} // namespace knotvane::http_gateway
