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

char *next_line(char *to, int room, void *from) {
    auto &state = *static_cast<ParserState *>(from);
    if (state.rest.empty())
        return nullptr;
    ++state.line;
    auto n = std::min(state.rest.find('\n'), state.rest.size() - 1) + 1;
    std::string_view line = state.rest.substr(0, n);
    state.rest.remove_prefix(n);
    auto most = std::min<std::size_t>(static_cast<std::size_t>(room) - 1, max_line_length);
    if (line.size() > most) {
        state.long_lines.push_back(state.line);
        line = "\n";
    }
    std::memcpy(to, line.data(), line.size());
    to[line.size()] = '\0';
    return to;
}

int record_pair(void *to, const char *section, const char *key, const char *value) {
    auto &state = *static_cast<ParserState *>(to);
    state.pairs.emplace_back(state.line, section, key ? key : "", value ? value : "");
    return 1;
}

// Splits "12.5ms" into its number and its unit.
bool split_unit(const std::string &s, double &number, std::string &unit) {
    auto [end, bad] = std::from_chars(s.data(), s.data() + s.size(), number);
    if (bad != std::errc{})
        return false;
    unit.assign(end, s.data() + s.size());
    return true;
}

} // namespace

std::string File::read_text(const std::string &path, std::string &fault) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream all;
    if (!in || !(all << in.rdbuf()))
        fault = path + ": cannot be read: " + (errno ? std::strerror(errno) : "it is empty");
    return all.str();
}

File::File(std::string name, const std::string &text) : name_(std::move(name)) {
    ParserState state{text, 0, {}, {}};
    int bad = ini_parse_stream(next_line, &state, record_pair, &state);
    for (int line : state.long_lines)
        fault(line, "the line is longer than " + std::to_string(max_line_length) + " characters");
    if (bad > 0)
        fault(bad, "expected a section header, a key with a value, or a comment");
    // The library does not report sections without keys, nor that a section occurs twice, so the
    // section headers are parsed here.
    std::istringstream all(text);
    std::string raw;
    std::map<std::string, Section *> named;
    for (int line = 1; std::getline(all, raw); ++line) {
        auto end = raw.find(']');
        if (raw.empty() || raw[0] != '[' || end == std::string::npos)
            continue;
        std::string whole = raw.substr(1, end - 1);
        if (named.contains(whole)) {
            fault(line, "section [" + whole + "] stands twice; the first is in line " +
                            std::to_string(named[whole]->line_));
            continue;
        }
        auto s = std::make_unique<Section>();
        auto space = whole.find(' ');
        s->file_ = this, s->line_ = line, s->kind_ = whole.substr(0, space);
        s->name_ = space == std::string::npos ? "" : whole.substr(space + 1);
        named[whole] = s.get();
        sections_.push_back(std::move(s));
    }
    for (auto &[line, section, key, value] : state.pairs) {
        auto it = named.find(section);
        if (it == named.end()) {
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
    for (auto &s : sections_)
        if (s->kind_ == kind && s->name_.empty())
            return *s;
    if (required)
        fault(0, "section [" + kind + "] is missing");
    auto s = std::make_unique<Section>();
    s->file_ = this, s->kind_ = kind;
    sections_.push_back(std::move(s));
    return *sections_.back();
}

std::vector<Section *> File::all(const std::string &kind) {
    requested_kinds_[kind] = true;
    std::vector<Section *> out;
    for (auto &s : sections_)
        if (s->kind_ == kind && (s->line_ > 0))
            out.push_back(s.get());
    return out;
}

std::vector<std::string> File::faults() {
    if (!unknown_reported_) {
        unknown_reported_ = true;
        for (auto &s : sections_) {
            if (!requested_kinds_.contains(s->kind_)) {
                std::string known;
                for (auto &[k, _] : requested_kinds_)
                    known += (known.empty() ? "[" : ", [") + k + "]";
                fault(s->line_,
                      "section [" + s->kind_ + "] is not known; expected one of " + known);
                continue;
            }
            for (auto &[key, v] : s->values_)
                if (!v.is_requested)
                    fault(v.line, "key '" + key + "' is not known in [" + s->kind_ + "]");
        }
    }
    std::vector<std::string> out;
    for (auto &[line, what] : faults_)
        out.push_back(what);
    return out;
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
    auto *v = find(key, true);
    if (v && v->empty())
        fault(key, "the value is empty");
    return v ? *v : "";
}
std::string Section::text(const std::string &key, const std::string &default_value) {
    auto *v = find(key, false);
    return v ? *v : default_value;
}

Time Section::time(const std::string &key, Time default_value) {
    auto *v = find(key, false);
    if (!v)
        return default_value;
    double n = 0;
    std::string unit;
    if (split_unit(*v, n, unit) && n >= 0 && n < 1e9) {
        if (unit == "s")
            return static_cast<Time>(n * 1e9);
        if (unit == "ms")
            return static_cast<Time>(n * 1e6);
        if (unit == "us")
            return static_cast<Time>(n * 1e3);
        if (unit == "ns")
            return static_cast<Time>(n);
    }
    fault(key, "expected a time like 250ms or 4s (ns, us, ms, s)");
    return default_value;
}
Time Section::time(const std::string &key) {
    find(key, true);
    return time(key, 0);
}

std::uint64_t Section::bytes(const std::string &key, std::uint64_t default_value) {
    auto *v = find(key, false);
    if (!v)
        return default_value;
    double n = 0;
    std::string unit;
    if (split_unit(*v, n, unit) && n >= 0) {
        double by = unit.empty() || unit == "B" ? 1
                    : unit == "KiB"             ? 1024.0
                    : unit == "MiB"             ? 1024.0 * 1024
                    : unit == "GiB"             ? 1024.0 * 1024 * 1024
                    : unit == "TiB"             ? 1024.0 * 1024 * 1024 * 1024
                                                : 0;
        if (by > 0 && n * by < 9e18 &&
            n * by == static_cast<double>(static_cast<std::uint64_t>(n * by)))
            return static_cast<std::uint64_t>(n * by);
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
    auto *v = find(key, false);
    if (!v)
        return default_value;
    std::uint64_t n = 0;
    auto [end, bad] = std::from_chars(v->data(), v->data() + v->size(), n);
    if (bad == std::errc{} && end == v->data() + v->size() && n >= min && n <= max)
        return n;
    fault(key,
          "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return default_value;
}
std::uint64_t Section::count(const std::string &key, std::uint64_t min, std::uint64_t max) {
    find(key, true);
    return count(key, min, max, min);
}

double Section::number(const std::string &key, double min, double max, double default_value) {
    auto *v = find(key, false);
    if (!v)
        return default_value;
    double n = 0;
    std::string rest;
    if (split_unit(*v, n, rest) && rest.empty() && n >= min && n <= max)
        return n;
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
    auto *v = find(key, false);
    if (!v)
        return default_value;
    if (*v == "yes")
        return true;
    if (*v != "no")
        fault(key, "expected yes or no");
    return false;
}

std::size_t Section::choice(const std::string &key, std::initializer_list<std::string_view> words,
                            std::size_t default_value) {
    auto *v = find(key, false);
    if (!v)
        return default_value;
    std::string all;
    std::size_t i = 0;
    for (auto w : words) {
        if (*v == w)
            return i;
        all += (i++ > 0 ? ", " : "") + std::string(w);
    }
    fault(key, "expected one of " + all);
    return default_value;
}

} // namespace knotvane::settings
