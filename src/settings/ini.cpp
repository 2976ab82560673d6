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

// The library cuts longer lines without a word, so they are refused before it sees them.
constexpr std::size_t longest_line = 190;

// What the library's callbacks work on: it reads line by line and calls back for each pair of the
// line just read.
struct Lines {
    std::string_view rest;
    int line = 0;
    std::vector<std::tuple<int, std::string, std::string, std::string>> pairs;
    std::vector<int> long_lines;
};

char *next_line(char *to, int room, void *from) {
    auto &lines = *static_cast<Lines *>(from);
    if (lines.rest.empty())
        return nullptr;
    ++lines.line;
    auto n = std::min(lines.rest.find('\n'), lines.rest.size() - 1) + 1;
    std::string_view line = lines.rest.substr(0, n);
    lines.rest.remove_prefix(n);
    auto most = std::min<std::size_t>(static_cast<std::size_t>(room) - 1, longest_line);
    if (line.size() > most) {
        lines.long_lines.push_back(lines.line);
        line = "\n";
    }
    std::memcpy(to, line.data(), line.size());
    to[line.size()] = '\0';
    return to;
}

int take_pair(void *to, const char *section, const char *key, const char *value) {
    auto &lines = *static_cast<Lines *>(to);
    lines.pairs.emplace_back(lines.line, section, key ? key : "", value ? value : "");
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

std::string File::slurp(const std::string &path, std::string &fault) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream all;
    if (!in || !(all << in.rdbuf()))
        fault = path + ": can't be read: " + (errno ? std::strerror(errno) : "it is empty");
    return all.str();
}

File::File(std::string name, const std::string &text) : name_(std::move(name)) {
    Lines lines{text, 0, {}, {}};
    int bad = ini_parse_stream(next_line, &lines, take_pair, &lines);
    for (int l : lines.long_lines)
        fault(l, "the line is longer than " + std::to_string(longest_line) + " characters");
    if (bad > 0)
        fault(bad, "neither a section, a key with a value, nor a comment");
    // Sections without a pair are not told by the library's callback, and one that is told twice is
    // a fault.
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
    for (auto &[line, section, key, value] : lines.pairs) {
        auto it = named.find(section);
        if (it == named.end()) {
            fault(line, "key '" + key + "' stands before any section");
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

Section &File::one(const std::string &kind, bool needed) {
    kinds_asked_[kind] = true;
    for (auto &s : sections_)
        if (s->kind_ == kind && s->name_.empty())
            return *s;
    if (needed)
        fault(0, "section [" + kind + "] is missing");
    auto s = std::make_unique<Section>();
    s->file_ = this, s->kind_ = kind;
    sections_.push_back(std::move(s));
    return *sections_.back();
}

std::vector<Section *> File::all(const std::string &kind) {
    kinds_asked_[kind] = true;
    std::vector<Section *> out;
    for (auto &s : sections_)
        if (s->kind_ == kind && (s->line_ > 0))
            out.push_back(s.get());
    return out;
}

std::vector<std::string> File::faults() {
    if (!closed_) {
        closed_ = true;
        for (auto &s : sections_) {
            if (!kinds_asked_.contains(s->kind_)) {
                std::string known;
                for (auto &[k, _] : kinds_asked_)
                    known += (known.empty() ? "[" : ", [") + k + "]";
                fault(s->line_,
                      "section [" + s->kind_ + "] is not known; expected one of " + known);
                continue;
            }
            for (auto &[key, v] : s->values_)
                if (!v.asked)
                    fault(v.line, "key '" + key + "' is not known in [" + s->kind_ + "]");
        }
    }
    std::vector<std::string> out;
    for (auto &[line, what] : faults_)
        out.push_back(what);
    return out;
}

const std::string *Section::find(const std::string &key, bool needed) {
    auto it = values_.find(key);
    if (it == values_.end()) {
        if (needed)
            file_->fault(line_, "[" + kind_ + (name_.empty() ? "" : " " + name_) +
                                    "] needs the key '" + key + "'");
        return nullptr;
    }
    it->second.asked = true;
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
std::string Section::text(const std::string &key, const std::string &otherwise) {
    auto *v = find(key, false);
    return v ? *v : otherwise;
}

Time Section::time(const std::string &key, Time otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
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
    return otherwise;
}
Time Section::time(const std::string &key) {
    find(key, true);
    return time(key, 0);
}

std::uint64_t Section::bytes(const std::string &key, std::uint64_t otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
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
    return otherwise;
}
std::uint64_t Section::bytes(const std::string &key) {
    find(key, true);
    return bytes(key, 0);
}

std::uint64_t Section::count(const std::string &key, std::uint64_t least, std::uint64_t most,
                             std::uint64_t otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
    std::uint64_t n = 0;
    auto [end, bad] = std::from_chars(v->data(), v->data() + v->size(), n);
    if (bad == std::errc{} && end == v->data() + v->size() && n >= least && n <= most)
        return n;
    fault(key,
          "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return otherwise;
}
std::uint64_t Section::count(const std::string &key, std::uint64_t least, std::uint64_t most) {
    find(key, true);
    return count(key, least, most, least);
}

double Section::number(const std::string &key, double least, double most, double otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
    double n = 0;
    std::string rest;
    if (split_unit(*v, n, rest) && rest.empty() && n >= least && n <= most)
        return n;
    std::ostringstream range;
    range << "expected a number from " << least << " to " << most;
    fault(key, range.str());
    return otherwise;
}
double Section::number(const std::string &key, double least, double most) {
    find(key, true);
    return number(key, least, most, least);
}

bool Section::flag(const std::string &key, bool otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
    if (*v == "yes")
        return true;
    if (*v != "no")
        fault(key, "expected yes or no");
    return false;
}

std::size_t Section::choice(const std::string &key, std::initializer_list<std::string_view> words,
                            std::size_t otherwise) {
    auto *v = find(key, false);
    if (!v)
        return otherwise;
    std::string all;
    std::size_t i = 0;
    for (auto w : words) {
        if (*v == w)
            return i;
        all += (i++ > 0 ? ", " : "") + std::string(w);
    }
    fault(key, "expected one of " + all);
    return otherwise;
}

} // namespace knotvane::settings
