// Settings files: INI, read by a library, every fault of a file gathered with its line. A reader
// asks for each key by kind and name; what nobody asked for is a fault too.
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

// One section: `[kind]` or `[kind name]`.
class Section {
public:
    const std::string &kind() const { return kind_; }
    const std::string &name() const { return name_; }
    int line() const { return line_; }
    bool has(const std::string &key) const { return values_.contains(key); }

    // Each takes a default; without one the key must be there. A value that can't be read is a
    // fault, and the default (or zero) is given back.
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &otherwise);
    // "250ms", "4s", "10us", "7ns"; whole nanoseconds.
    Time time(const std::string &key);
    Time time(const std::string &key, Time otherwise);
    // "512", "64KiB", "4MiB", "10GiB".
    std::uint64_t bytes(const std::string &key);
    std::uint64_t bytes(const std::string &key, std::uint64_t otherwise);
    std::uint64_t count(const std::string &key, std::uint64_t least, std::uint64_t most);
    std::uint64_t count(const std::string &key, std::uint64_t least, std::uint64_t most,
                        std::uint64_t otherwise);
    double number(const std::string &key, double least, double most);
    double number(const std::string &key, double least, double most, double otherwise);
    bool flag(const std::string &key, bool otherwise);
    // Which of the words it is.
    std::size_t choice(const std::string &key, std::initializer_list<std::string_view> words,
                       std::size_t otherwise);
    // A fault at a key's line, or the section's where the key is absent.
    void fault(const std::string &key, const std::string &what);

private:
    friend class File;
    struct Value {
        std::string text;
        int line;
        bool asked = false;
    };
    const std::string *find(const std::string &key, bool needed);

    File *file_ = nullptr;
    std::string kind_, name_;
    int line_ = 0;
    std::map<std::string, Value> values_;
};

class File {
public:
    // From text; `name` is what faults call it.
    File(std::string name, const std::string &text);
    File(const File &) = delete;
    // Reads a file; one that can't be read is a fault.
    static std::string slurp(const std::string &path, std::string &fault);

    // The one section of a kind without a name; an empty one, with a fault, where it is absent and
    // needed.
    Section &one(const std::string &kind, bool needed);
    // All sections of a kind, in the order of the file.
    std::vector<Section *> all(const std::string &kind);
    // Adds faults for what was never asked for, then gives all of them, in the order of lines.
    std::vector<std::string> faults();
    void fault(int line, const std::string &what);

private:
    std::string name_;
    std::vector<std::unique_ptr<Section>> sections_;
    std::multimap<int, std::string> faults_;
    std::map<std::string, bool> kinds_asked_;
    bool closed_ = false;
};

} // namespace knotvane::settings
