/// \file
/// Settings files in INI format. All errors of a file are collected with their line numbers, and
/// sections and keys that the program never requested are reported as errors too.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"

namespace knotvane::settings {

class File;

/// One section, `[kind]` or `[kind name]`. Owned by its File.
class Section {
public:
    const std::string &kind() const { return kind_; }
    const std::string &name() const { return name_; }
    int line() const { return line_; }
    bool has(const std::string &key) const { return values_.contains(key); }

    // Each of the following functions reads the value of a key. Overloads without a default value
    // require the key. An invalid value is added to the file's errors, and the default value is
    // returned (without one, the minimum, zero or an empty text). An invalid flag counts as no.

    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &default_value);
    /// Reads a time like "250ms", "4s", "10us" or "7ns", in nanoseconds.
    Time time(const std::string &key);
    Time time(const std::string &key, Time default_value);
    /// Reads a size like "512", "64KiB", "4MiB" or "10GiB", in bytes.
    std::uint64_t bytes(const std::string &key);
    std::uint64_t bytes(const std::string &key, std::uint64_t default_value);
    std::uint64_t count(const std::string &key, std::uint64_t min, std::uint64_t max);
    std::uint64_t count(const std::string &key, std::uint64_t min, std::uint64_t max,
                        std::uint64_t default_value);
    double number(const std::string &key, double min, double max);
    double number(const std::string &key, double min, double max, double default_value);
    bool flag(const std::string &key, bool default_value);
    /// @return the index in `words` of the value.
    std::size_t choice(const std::string &key, std::initializer_list<std::string_view> words,
                       std::size_t default_value);
    /// Adds an error at the line of a key, or at the section's line if the key is absent.
    void fault(const std::string &key, const std::string &what);

private:
    friend class File;
    struct Value {
        std::string text;
        int line;
        bool is_requested = false;
    };
    const std::string *find(const std::string &key, bool required);

    File *file_ = nullptr;
    std::string kind_, name_;
    int line_ = 0;
    std::map<std::string, Value> values_;
};

/// A parsed settings file and the errors found in it.
class File {
public:
    /// Parses a settings text. `name` stands for the file in error messages.
    File(std::string name, const std::string &text);
    File(const File &) = delete;
    /// Reads a whole file. If that fails, `fault` is set to a description of the error.
    /// @return the text of the file.
    static std::string read_text(const std::string &path, std::string &fault);

    /// @return the section `[kind]` without a name. If it is absent, an empty section is returned
    /// and an error is added if it is `required`.
    Section &one(const std::string &kind, bool required);
    /// @return all sections of a kind, in the order of the file.
    std::vector<Section *> all(const std::string &kind);
    /// Adds an error for each section and key that was never requested.
    /// @return all errors of the file, in the order of lines.
    std::vector<std::string> faults();
    /// Adds an error at a line; 0: of the file as a whole.
    void fault(int line, const std::string &what);

private:
    std::string name_;
    std::vector<std::unique_ptr<Section>> sections_;
    std::multimap<int, std::string> faults_;
    std::map<std::string, bool> requested_kinds_;
    bool unknown_reported_ = false;
};

} // namespace knotvane::settings
