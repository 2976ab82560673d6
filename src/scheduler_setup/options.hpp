/// \file
/// The settings with which a scheduler is started.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "scheduler_setup/input_validation.hpp"

namespace knotvane::scheduler_setup {

/// Settings as text by path, such as "Permissions.MaxAttempts". For a setting that is absent the
/// accessors return an empty text, zero or false, or the default that they are given. They throw
/// MalformedInput, with the path in the message, for a value of the wrong type.
class Options {
public:
    /// @param text one line "path=value" for each setting. Empty lines are skipped, and a carriage
    ///     return at the end of a line is removed. If a path occurs more than once its last line
    ///     is used.
    /// @throws MalformedInput for a line without '='.
    explicit Options(std::string_view text);

    bool has(const std::string &path) const { return values_.contains(path); }

    std::string text(const std::string &path) const;

    /// @return the value as a finite number.
    double number(const std::string &path, double default_value = 0) const;

    /// @return the value as a whole number from 0 to 1000000.
    std::uint32_t count(const std::string &path, std::uint32_t default_value = 0) const;

    /// @return the value, a number of seconds, as a Time.
    Time time(const std::string &path) const;

    /// @return whether the value is "true"; "false" and an empty value are false.
    bool flag(const std::string &path) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace knotvane::scheduler_setup
