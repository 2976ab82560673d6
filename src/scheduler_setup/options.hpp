/// \file
/// The settings that a scheduler is started with.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"
#include "scheduler_setup/checked_input.hpp"

namespace knotvane::scheduler_setup {

/// Settings as text by path, such as "Permissions.MaxAttempts". A setting that is absent reads as
/// empty, zero or false unless its reader is given another value. Readers throw MalformedInput,
/// with the path, for a value of the wrong kind.
class Options {
public:
    /// @param text a line "path=value" for each setting. Empty lines are skipped and a carriage
    /// return at a line's end is dropped; of lines with one path the last counts.
    /// @throws MalformedInput for a line without '='.
    explicit Options(std::string_view text);

    bool has(const std::string &path) const { return values_.contains(path); }

    std::string text(const std::string &path) const;

    /// Returns a finite number.
    double number(const std::string &path, double absent = 0) const;

    /// Returns a whole number from 0 to a million.
    std::uint32_t count(const std::string &path, std::uint32_t absent = 0) const;

    /// Returns a setting that is written in seconds.
    Time time(const std::string &path) const;

    /// Returns whether a setting is "true"; "false" and empty are false.
    bool flag(const std::string &path) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace knotvane::scheduler_setup
