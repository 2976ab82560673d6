#include "scheduler_setup/options.hpp"

#include <charconv>
#include <cmath>

namespace knotvane::scheduler_setup {
namespace {

constexpr double max_count = 1e6;

// Error messages quote at most this many bytes of an invalid value.
constexpr std::size_t max_quoted = 80;

std::string quoted(std::string_view value) {
    return std::string(value.substr(0, max_quoted));
}

} // namespace

Options::Options(std::string_view text) {
    while (!text.empty()) {
        auto end = text.find('\n');
        auto line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty())
            continue;

        auto equals = line.find('=');
        if (equals == std::string_view::npos)
            throw MalformedInput("settings line without '=': expected path=value, got " +
                                 quoted(line));
        values_[std::string(line.substr(0, equals))] = line.substr(equals + 1);
    }
}

std::string Options::text(const std::string &path) const {
    auto it = values_.find(path);
    return it == values_.end() ? std::string() : it->second;
}

double Options::number(const std::string &path, double default_value) const {
    auto it = values_.find(path);
    if (it == values_.end())
        return default_value;
    const std::string &value = it->second;
    const char *value_end = value.data() + value.size();
    double parsed = 0;
    auto [end, error] = std::from_chars(value.data(), value_end, parsed);
    if (error != std::errc() || end != value_end || !std::isfinite(parsed))
        throw MalformedInput("setting " + path + ": expected a finite number, got " +
                             quoted(value));
    return parsed;
}

std::uint32_t Options::count(const std::string &path, std::uint32_t default_value) const {
    double value = number(path, default_value);
    if (value < 0 || value > max_count || value != std::floor(value))
        throw MalformedInput("setting " + path +
                             ": expected a whole number from 0 to 1000000, got " +
                             quoted(text(path)));
    return static_cast<std::uint32_t>(value);
}

Time Options::time(const std::string &path) const {
    return time_from_seconds(number(path), path);
}

bool Options::flag(const std::string &path) const {
    std::string value = text(path);
    if (value == "true")
        return true;
    if (value.empty() || value == "false")
        return false;
    throw MalformedInput("setting " + path + ": expected true or false, got " + quoted(value));
}

} // namespace knotvane::scheduler_setup
