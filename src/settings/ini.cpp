#include "settings/ini.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

#include <ini.h>

namespace knotvane::settings {
namespace {

// The INI library truncates longer lines without an error, so they are rejected before it gets
// them.
constexpr std::size_t max_line_length = 190;

// State of the library's callbacks. The library reads the text line by line and reports each pair
// of key and value right after reading its line.
struct ParserState {
    std::string_view rest;
    int line = 0;
    std::vector<std::tuple<int, std::string, std::string, std::string>> pairs;
    std::vector<int> long_lines;
};

char *next_line(char *buffer, int capacity, void *context) {
    auto &state = *static_cast<ParserState *>(context);
    if (state.rest.empty())
        return nullptr;
    ++state.line;
    auto length = std::min(state.rest.find('\n'), state.rest.size() - 1) + 1;
    std::string_view line = state.rest.substr(0, length);
    state.rest.remove_prefix(length);
    auto max_length =
        std::min<std::size_t>(static_cast<std::size_t>(capacity) - 1, max_line_length);
    if (line.size() > max_length) {
        state.long_lines.push_back(state.line);
        line = "\n";
    }
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\0';
    return buffer;
}

int record_pair(void *context, const char *section, const char *key, const char *value) {
    auto &state = *static_cast<ParserState *>(context);
    state.pairs.emplace_back(state.line, section, key ? key : "", value ? value : "");
    return 1;
}

// Splits "12.5ms" into its number and its unit.
bool split_unit(const std::string &text, double &number, std::string &unit) {
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{})
        return false;
    unit.assign(end, text.data() + text.size());
    return true;
}

} // namespace

std::string File::read_text(const std::string &path, std::string &fault) {
    std::ifstream input(path, std::ios::binary);
    std::ostringstream contents;
    if (!input || !(contents << input.rdbuf()))
        fault = path + ": cannot be read: " + (errno ? std::strerror(errno) : "it is empty");
    return contents.str();
}

File::File(std::string name, const std::string &text) : name_(std::move(name)) {
    ParserState state{text, 0, {}, {}};
    int invalid_line = ini_parse_stream(next_line, &state, record_pair, &state);
    for (int line : state.long_lines)
        fault(line, "the line is longer than " + std::to_string(max_line_length) + " characters");
    if (invalid_line > 0)
        fault(invalid_line, "expected a section header, a key with a value, or a comment");
    // The library does not report sections without keys, nor that a section occurs twice, so the
    // section headers are parsed here.
    std::istringstream lines(text);
    std::string raw_line;
    std::map<std::string, Section *> sections_by_header;
    for (int line = 1; std::getline(lines, raw_line); ++line) {
        auto end = raw_line.find(']');
        if (raw_line.empty() || raw_line[0] != '[' || end == std::string::npos)
            continue;
        std::string header = raw_line.substr(1, end - 1);
        if (sections_by_header.contains(header)) {
            fault(line, "section [" + header + "] stands twice; the first is in line " +
                            std::to_string(sections_by_header[header]->line_));
            continue;
        }
        auto section = std::make_unique<Section>();
        auto space = header.find(' ');
        section->file_ = this, section->line_ = line, section->kind_ = header.substr(0, space);
        section->name_ = space == std::string::npos ? "" : header.substr(space + 1);
        sections_by_header[header] = section.get();
        sections_.push_back(std::move(section));
    }
    for (auto &[line, section, key, value] : state.pairs) {
        auto it = sections_by_header.find(section);
        if (it == sections_by_header.end()) {
            fault(line,
                  "key '" + key + "' is not in a section; expected a section header before it");
            continue;
        }
        auto [place, is_new] = it->second->values_.try_emplace(key, Section::Value{value, line});
        if (!is_new)
            fault(line, "key '" + key + "' stands twice in [" + section +
                            "]; the first is in line " + std::to_string(place->second.line));
    }
}

void File::fault(int line, const std::string &what) {
    faults_.emplace(line, name_ + ":" + std::to_string(line) + ": " + what);
}

Section &File::one(const std::string &kind, bool required) {
    requested_kinds_[kind] = true;
    for (auto &section : sections_)
        if (section->kind_ == kind && section->name_.empty())
            return *section;
    if (required)
        fault(0, "section [" + kind + "] is missing");
    auto section = std::make_unique<Section>();
    section->file_ = this, section->kind_ = kind;
    sections_.push_back(std::move(section));
    return *sections_.back();
}

std::vector<Section *> File::all(const std::string &kind) {
    requested_kinds_[kind] = true;
    std::vector<Section *> result;
    for (auto &section : sections_)
        if (section->kind_ == kind && (section->line_ > 0))
            result.push_back(section.get());
    return result;
}

std::vector<std::string> File::faults() {
    if (!unknown_reported_) {
        unknown_reported_ = true;
        for (auto &section : sections_) {
            if (!requested_kinds_.contains(section->kind_)) {
                std::string known;
                for (auto &[kind, _] : requested_kinds_)
                    known += (known.empty() ? "[" : ", [") + kind + "]";
                fault(section->line_,
                      "section [" + section->kind_ + "] is not known; expected one of " + known);
                continue;
            }
            for (auto &[key, value] : section->values_)
                if (!value.is_requested)
                    fault(value.line, "key '" + key + "' is not known in [" + section->kind_ + "]");
        }
    }
    std::vector<std::string> result;
    for (auto &[line, message] : faults_)
        result.push_back(message);
    return result;
}

const std::string *Section::find(const std::string &key, bool required) {
    auto it = values_.find(key);
    if (it == values_.end()) {
        if (required)
            file_->fault(line_, "[" + kind_ + (name_.empty() ? "" : " " + name_) +
                                    "] needs the key '" + key + "'");
        return nullptr;
    }
    it->second.is_requested = true;
    return &it->second.text;
}

void Section::fault(const std::string &key, const std::string &what) {
    auto it = values_.find(key);
    std::string where = "[" + kind_ + (name_.empty() ? "" : " " + name_) + "] ";
    file_->fault(it == values_.end() ? line_ : it->second.line,
                 where + key + (it == values_.end() ? "" : " = " + it->second.text) + ": " + what);
}

std::string Section::text(const std::string &key) {
    auto *value = find(key, true);
    if (value && value->empty())
        fault(key, "the value is empty");
    return value ? *value : "";
}
std::string Section::text(const std::string &key, const std::string &default_value) {
    auto *value = find(key, false);
    return value ? *value : default_value;
}

Time Section::time(const std::string &key, Time default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    double number = 0;
    std::string unit;
    if (split_unit(*value, number, unit) && number >= 0 && number < 1e9) {
        if (unit == "s")
            return static_cast<Time>(number * 1e9);
        if (unit == "ms")
            return static_cast<Time>(number * 1e6);
        if (unit == "us")
            return static_cast<Time>(number * 1e3);
        if (unit == "ns")
            return static_cast<Time>(number);
    }
    fault(key, "expected a time like 250ms or 4s (ns, us, ms, s)");
    return default_value;
}
Time Section::time(const std::string &key) {
    find(key, true);
    return time(key, 0);
}

std::uint64_t Section::bytes(const std::string &key, std::uint64_t default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    double number = 0;
    std::string unit;
    if (split_unit(*value, number, unit) && number >= 0) {
        double multiplier = unit.empty() || unit == "B" ? 1
                            : unit == "KiB"             ? 1024.0
                            : unit == "MiB"             ? 1024.0 * 1024
                            : unit == "GiB"             ? 1024.0 * 1024 * 1024
                            : unit == "TiB"             ? 1024.0 * 1024 * 1024 * 1024
                                                        : 0;
        if (multiplier > 0 && number * multiplier < 9e18 &&
            number * multiplier ==
                static_cast<double>(static_cast<std::uint64_t>(number * multiplier)))
            return static_cast<std::uint64_t>(number * multiplier);
    }
    fault(key, "expected a size like 512, 64KiB or 4MiB (B, KiB, MiB, GiB, TiB)");
    return default_value;
}
std::uint64_t Section::bytes(const std::string &key) {
    find(key, true);
    return bytes(key, 0);
}

std::uint64_t Section::count(const std::string &key, std::uint64_t min, std::uint64_t max,
                             std::uint64_t default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    if (error == std::errc{} && end == value->data() + value->size() && number >= min &&
        number <= max)
        return number;
    fault(key,
          "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return default_value;
}
std::uint64_t Section::count(const std::string &key, std::uint64_t min, std::uint64_t max) {
    find(key, true);
    return count(key, min, max, min);
}

double Section::number(const std::string &key, double min, double max, double default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    double number = 0;
    std::string rest;
    if (split_unit(*value, number, rest) && rest.empty() && number >= min && number <= max)
        return number;
    std::ostringstream range;
    range << "expected a number from " << min << " to " << max;
    fault(key, range.str());
    return default_value;
}
double Section::number(const std::string &key, double min, double max) {
    find(key, true);
    return number(key, min, max, min);
}

bool Section::flag(const std::string &key, bool default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    if (*value == "yes")
        return true;
    if (*value != "no")
        fault(key, "expected yes or no");
    return false;
}

std::size_t Section::choice(const std::string &key, std::initializer_list<std::string_view> words,
                            std::size_t default_value) {
    auto *value = find(key, false);
    if (!value)
        return default_value;
    std::string known_words;
    std::size_t index = 0;
    for (auto word : words) {
        if (*value == word)
            return index;
        known_words += (index++ > 0 ? ", " : "") + std::string(word);
    }
    fault(key, "expected one of " + known_words);
    return default_value;
}

} // namespace knotvane::settings
