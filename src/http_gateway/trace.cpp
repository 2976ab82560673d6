#include "http_gateway/trace.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace knotvane::http_gateway {
namespace {

// The whole number behind `name=`; nothing where it is absent, a dash or no number.
std::optional<std::int64_t> field(std::string_view line, std::string name) {
    auto at = line.find(" " + name + "=");
    if (at == line.npos)
        return std::nullopt;
    auto from = line.data() + at + name.size() + 2;
    std::int64_t v = 0;
    auto [end, ec] = std::from_chars(from, line.data() + line.size(), v);
    return ec == std::errc() && end != from ? std::optional(v) : std::nullopt;
}
std::string spread(std::vector<std::int64_t> v) {
    if (v.empty())
        return "none";
    std::sort(v.begin(), v.end());
    auto at = [&](std::size_t percent) {
        return std::to_string(v[(v.size() - 1) * percent / 100]);
    };
    return std::to_string(v.size()) + ", us " + at(50) + " in the middle, " + at(99) + " at 99%, " +
           at(100) + " at most";
}

} // namespace

void Trace::line(std::string_view text) {
    auto at = text.find("trace ");
    if (at == text.npos)
        return;
    text.remove_prefix(at + 5);
    if (text.starts_with(" attempt ")) {
        auto how = field(text, "how"), over = field(text, "over"), first = field(text, "first"),
             connected = field(text, "connected");
        if (!how || !over || *how < 0 || *how > 7)
            return void(++broken_);
        Attempts &s = attempts_[static_cast<int>(*how)];
        s.over.push_back(*over), s.begun += first.has_value();
        if (first)
            s.answer.push_back(*over - *first);
        if (connected)
            s.connected.push_back(*connected);
    } else if (text.starts_with(" told ")) {
        if (auto late = field(text, "late"))
            return told_.push_back(*late);
        ++broken_;
    } else if (text.starts_with(" late ")) {
        if (auto late = field(text, "us"))
            return late_.push_back(*late);
        ++broken_;
    } else if (text.starts_with(" node ")) {
        auto counted = field(text, "counted"), open = field(text, "open");
        if (!counted || !open)
            return void(++broken_);
        ++looks_, ++apart_[*counted - *open];
    }
}
std::string Trace::report() const {
    static constexpr const char *names[] = {"answered",    "error", "full",       "timed_out",
                                            "unreachable", "reset", "called_off", "unsent"};
    std::string out;
    for (auto &[how, s] : attempts_) {
        out += std::string(names[how]) + ": " + spread(s.over) + "\n";
        out += "  new connections: " + spread(s.connected) + "\n";
        out += "  begun to be answered: " + std::to_string(s.begun) +
               "; first byte to end: " + spread(s.answer) + "\n";
    }
    out += "outcomes told after they came: " + spread(told_) + "\n";
    out += "turns of the loop over 2 ms late: " + spread(late_) + "\n";
    out += "looks at a node: " + std::to_string(looks_) + "\n";
    for (auto &[by, n] : apart_)
        if (by != 0)
            out += "  counted out less open connections " + std::to_string(by) + ": " +
                   std::to_string(n) + "\n";
    if (broken_ > 0)
        out += "lines that could not be read: " + std::to_string(broken_) + "\n";
    return out;
}

} // namespace knotvane::http_gateway
