// Settings as path=value lines.
#pragma once

#include <charconv>
#include <cmath>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler_setup/record_reader.hpp"

namespace knotvane::scheduler_setup {

class Options {
public:
    explicit Options(std::string_view text) {
        while (!text.empty()) {
            auto end = text.find('\n');
            auto line = text.substr(0, end);
            text.remove_prefix(end == text.npos ? text.size() : end + 1);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (line.empty())
                continue;
            auto eq = line.find('=');
            if (eq == line.npos)
                throw Malformed("setting without '=': " + std::string(line.substr(0, 80)));
            values_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
        }
    }

    bool has(const std::string &path) const { return values_.contains(path); }

    std::string text(const std::string &path) const {
        auto it = values_.find(path);
        return it == values_.end() ? std::string() : it->second;
    }

    double number(const std::string &path, double absent = 0) const {
        auto it = values_.find(path);
        if (it == values_.end())
            return absent;
        double v = 0;
        auto [end, ec] =
            std::from_chars(it->second.data(), it->second.data() + it->second.size(), v);
        if (ec != std::errc() || end != it->second.data() + it->second.size() || !std::isfinite(v))
            throw Malformed("setting " + path + ": not a number: " + it->second.substr(0, 80));
        return v;
    }

    std::uint32_t count(const std::string &path, std::uint32_t absent = 0) const {
        double v = number(path, absent);
        if (v < 0 || v > 1e6 || v != std::floor(v))
            throw Malformed("setting " + path + ": not a count: " + text(path).substr(0, 80));
        return static_cast<std::uint32_t>(v);
    }

    Time time(const std::string &path) const { return Reader::to_time(number(path), path.c_str()); }

    bool flag(const std::string &path) const { return flag_of(text(path), path); }

    std::vector<std::string> list(const std::string &path) const {
        std::vector<std::string> items;
        std::string all = text(path);
        for (std::size_t from = 0; from < all.size();) {
            auto comma = std::min(all.find(',', from), all.size());
            items.push_back(all.substr(from, comma - from));
            from = comma + 1;
        }
        return items;
    }

    static bool flag_of(const std::string &value, const std::string &path) {
        if (value == "true")
            return true;
        if (value.empty() || value == "false")
            return false;
        throw Malformed("setting " + path + ": not true or false: " + value.substr(0, 80));
    }

private:
    std::map<std::string, std::string> values_;
};

} // namespace knotvane::scheduler_setup
